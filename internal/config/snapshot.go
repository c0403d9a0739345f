package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"slices"
	"strings"
)

// NoVersion is the version of the empty configuration before the first record of the log.
const NoVersion int64 = -1

// Snapshot is one version of the configuration, indexed for requests. It is immutable; a
// request uses the snapshot that it started with.
type Snapshot struct {
	version  int64
	digest   Digest
	file     *File
	byKey    map[Digest]*Organisation
	byName   map[string]*Organisation
	models   map[string]*Model
	servers  map[string]*BackendServer
	services map[string]*PlainService
	// evacuated reports by zone name whether the zone is evacuated.
	evacuated map[string]bool
}

// NewSnapshot indexes the entries of one version, which is the offset of the log record that
// created it.
func NewSnapshot(version int64, entries Entries) (*Snapshot, error) {
	file, err := entries.File()
	if err != nil {
		return nil, err
	}
	s := &Snapshot{
		version:  version,
		digest:   entries.Digest(),
		file:     file,
		byKey:    map[Digest]*Organisation{},
		byName:   map[string]*Organisation{},
		models:   map[string]*Model{},
		servers:  map[string]*BackendServer{},
		services: map[string]*PlainService{},

		evacuated: map[string]bool{},
	}
	for _, zone := range file.Zones {
		s.evacuated[zone.Name] = zone.Evacuated
	}
	for i := range file.Organisations {
		s.addOrganisation(&file.Organisations[i])
	}
	for i := range file.Models {
		s.models[file.Models[i].Name] = &file.Models[i]
	}
	for i := range file.BackendServers {
		s.servers[file.BackendServers[i].Name] = &file.BackendServers[i]
	}
	for i := range file.PlainServices {
		s.services[file.PlainServices[i].Name] = &file.PlainServices[i]
	}
	return s, nil
}

func (s *Snapshot) addOrganisation(organisation *Organisation) {
	s.byName[organisation.Name] = organisation
	for _, text := range organisation.KeyHashes {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != len(Digest{}) {
			continue
		}
		s.byKey[Digest(raw)] = organisation
	}
}

// Version returns the offset of the log record that created this configuration.
func (s *Snapshot) Version() int64 { return s.version }

// Evacuated reports whether a zone is evacuated, so that its servers get no new requests.
func (s *Snapshot) Evacuated(zone string) bool { return s.evacuated[zone] }

// Digest returns the hash of the content.
func (s *Snapshot) Digest() Digest { return s.digest }

// File returns the whole configuration, which callers must not modify.
func (s *Snapshot) File() *File { return s.file }

// OrganisationByKey finds the organisation that an API key belongs to. The lookup uses only the
// key's hash, so that its time reveals nothing about a stored key; the final comparison is in
// constant time as well.
func (s *Snapshot) OrganisationByKey(key string) (*Organisation, bool) {
	hash := Digest(sha256.Sum256([]byte(key)))
	organisation, ok := s.byKey[hash]
	if !ok {
		return nil, false
	}
	for _, text := range organisation.KeyHashes {
		if subtle.ConstantTimeCompare([]byte(text), []byte(hex.EncodeToString(hash[:]))) == 1 {
			return organisation, true
		}
	}
	return nil, false
}

// Organisation finds an organisation by name.
func (s *Snapshot) Organisation(name string) (*Organisation, bool) {
	organisation, ok := s.byName[name]
	return organisation, ok
}

// Model finds a model by name.
func (s *Snapshot) Model(name string) (*Model, bool) {
	model, ok := s.models[name]
	return model, ok
}

// Server finds a backend server by name.
func (s *Snapshot) Server(name string) (*BackendServer, bool) {
	server, ok := s.servers[name]
	return server, ok
}

// Service finds a plain service by name.
func (s *Snapshot) Service(name string) (*PlainService, bool) {
	service, ok := s.services[name]
	return service, ok
}

// ServersOf lists the backend servers of a zone with a role, ordered by name.
func (s *Snapshot) ServersOf(zone string, role Role) []*BackendServer {
	var found []*BackendServer
	for i := range s.file.BackendServers {
		server := &s.file.BackendServers[i]
		if server.Zone == zone && server.Role == role {
			found = append(found, server)
		}
	}
	return found
}

// Repeatable reports whether a call of the service may run more than once. The path is the one
// that the backend server receives.
func (p *PlainService) Repeatable(method, path string) bool {
	return !slices.ContainsFunc(p.NotRepeatable, func(call Call) bool {
		return call.Method == method && coversPath(call.Path, path)
	})
}

// coversPath reports whether path is prefix itself or below it: "/charges" covers "/charges",
// "/Charges", "/charges;v=1" and "/charges/7" but not "/chargesheet". Paths that a server might
// treat as equivalent count as equal.
func coversPath(prefix, path string) bool {
	prefix, path = strings.ToLower(strings.TrimSuffix(prefix, "/")), strings.ToLower(path)
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || rest[0] == ';')
}
