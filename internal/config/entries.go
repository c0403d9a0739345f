package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"

	"github.com/ansel1/merry/v2"
)

// Entry is a part of a file that can change independently: a name such as
// "organisations/studio-nord" and the part as JSON.
type Entry struct {
	Name  string `msgpack:"n"`
	Value []byte `msgpack:"v"`
}

// Entries is a whole file split into entries, sorted by name and without duplicates.
type Entries []Entry

// Digest is the hash of a whole configuration.
type Digest [sha256.Size]byte

// String returns the first 12 hexadecimal digits, enough for comparison by eye.
func (d Digest) String() string { return hex.EncodeToString(d[:6]) }

// Prefixes of entry names, before the slash: the lists of a file, and listTop for the settings
// outside them.
const (
	listTop           = "deployment"
	listZones         = "zones"
	listOrganisations = "organisations"
	listModels        = "models"
	listServers       = "backend_servers"
	listLinks         = "links"
	listServices      = "plain_services"
	listRoutes        = "routes"
)

// Digest hashes all names and values, each preceded by its length, so that different entries
// cannot result in the same input of the hash.
func (e Entries) Digest() Digest {
	hash := sha256.New()
	var length [8]byte
	write := func(part []byte) {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	for _, entry := range e {
		write([]byte(entry.Name))
		write(entry.Value)
	}
	return Digest(hash.Sum(nil))
}

// Change is the difference between two sets of entries.
type Change struct {
	Set    []Entry  `msgpack:"s"`
	Remove []string `msgpack:"r"`
}

// Empty reports whether the change has no effect.
func (c Change) Empty() bool { return len(c.Set) == 0 && len(c.Remove) == 0 }

// Diff returns the change from e to target.
func (e Entries) Diff(target Entries) Change {
	var change Change
	i, j := 0, 0
	for i < len(e) || j < len(target) {
		switch {
		case j == len(target) || (i < len(e) && e[i].Name < target[j].Name):
			change.Remove = append(change.Remove, e[i].Name)
			i++
		case i == len(e) || target[j].Name < e[i].Name:
			change.Set = append(change.Set, target[j])
			j++
		default:
			if !slices.Equal(e[i].Value, target[j].Value) {
				change.Set = append(change.Set, target[j])
			}
			i++
			j++
		}
	}
	return change
}

// Apply returns the entries after the change and does not modify e.
func (e Entries) Apply(change Change) Entries {
	result := slices.Clone(e)
	for _, name := range change.Remove {
		if at, ok := result.find(name); ok {
			result = slices.Delete(result, at, at+1)
		}
	}
	for _, entry := range change.Set {
		at, ok := result.find(entry.Name)
		if ok {
			result[at] = entry
			continue
		}
		result = slices.Insert(result, at, entry)
	}
	return result
}

func (e Entries) find(name string) (int, bool) {
	return slices.BinarySearchFunc(e, name, func(entry Entry, name string) int {
		return cmp.Compare(entry.Name, name)
	})
}

// globalSettings is the part of a file outside its lists.
type globalSettings struct {
	Deployment  string      `json:"deployment"`
	Objectives  Objectives  `json:"objectives"`
	Limits      Limits      `json:"limits"`
	WeightStore WeightStore `json:"weight_store"`
}

// Entries splits the file into entries.
func (f *File) Entries() (Entries, error) {
	builder := entryBuilder{}
	builder.add(listTop, globalSettings{Deployment: f.Deployment, Objectives: f.Objectives, Limits: f.Limits, WeightStore: f.WeightStore})
	addList(&builder, listZones, f.Zones, func(z Zone) string { return z.Name })
	addList(&builder, listOrganisations, f.Organisations, func(o Organisation) string { return o.Name })
	addList(&builder, listModels, f.Models, func(m Model) string { return m.Name })
	addList(&builder, listServers, f.BackendServers, func(s BackendServer) string { return s.Name })
	addList(&builder, listLinks, f.Links, Link.name)
	addList(&builder, listServices, f.PlainServices, func(s PlainService) string { return s.Name })
	addList(&builder, listRoutes, f.Routes, func(r Route) string { return r.Name })
	if builder.err != nil {
		return nil, builder.err
	}
	slices.SortFunc(builder.entries, func(a, b Entry) int { return cmp.Compare(a.Name, b.Name) })
	return builder.entries, nil
}

type entryBuilder struct {
	entries Entries
	err     error
}

func (b *entryBuilder) add(name string, part any) {
	value, err := json.Marshal(part)
	if err != nil {
		b.err = merry.Wrap(err, merry.AppendMessagef("entry %s", name))
		return
	}
	b.entries = append(b.entries, Entry{Name: name, Value: value})
}

func addList[T any](b *entryBuilder, list string, items []T, name func(T) string) {
	for _, item := range items {
		b.add(list+"/"+name(item), item)
	}
}

// File assembles a file from its entries.
func (e Entries) File() (*File, error) {
	file := &File{}
	for _, entry := range e {
		if err := file.addEntry(entry); err != nil {
			return nil, merry.Prependf(err, "entry %s", entry.Name)
		}
	}
	file.sortLists()
	return file, nil
}

func (f *File) addEntry(entry Entry) error {
	list, _, _ := strings.Cut(entry.Name, "/")
	switch list {
	case listTop:
		var part globalSettings
		if err := json.Unmarshal(entry.Value, &part); err != nil {
			return err
		}
		f.Deployment, f.Objectives, f.Limits, f.WeightStore = part.Deployment, part.Objectives, part.Limits, part.WeightStore
		return nil
	case listZones:
		return appendItem(&f.Zones, entry.Value)
	case listOrganisations:
		return appendItem(&f.Organisations, entry.Value)
	case listModels:
		return appendItem(&f.Models, entry.Value)
	case listServers:
		return appendItem(&f.BackendServers, entry.Value)
	case listLinks:
		return appendItem(&f.Links, entry.Value)
	case listServices:
		return appendItem(&f.PlainServices, entry.Value)
	case listRoutes:
		return appendItem(&f.Routes, entry.Value)
	default:
		return merry.Errorf("unknown list %q", list)
	}
}

func appendItem[T any](list *[]T, value []byte) error {
	var item T
	if err := json.Unmarshal(value, &item); err != nil {
		return err
	}
	*list = append(*list, item)
	return nil
}
