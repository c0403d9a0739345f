// From a version of the configuration file to the plain data that calls are routed by.

package routed

import (
	"cmp"
	"encoding/hex"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"

	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/fleet"
)

// headerLimit bounds the head of a routed call, in bytes; the port's own limit is the
// same.
const headerLimit = 64 << 10

var kinds = map[config.RouteKind]catalog.Kind{
	config.RouteRepeatable: catalog.Repeatable, config.RouteOnce: catalog.AtMostOnce, config.RouteStream: catalog.Stream,
}

// catalogOf gives the routes of a version of the configuration, with all they need.
func catalogOf(snapshot *config.Snapshot) (*catalog.Catalog, error) {
	file := snapshot.File()
	cfg := catalog.Config{
		Version: snapshot.Version(), KeysRequired: true,
		Limits: catalog.Limits{HeaderBytes: headerLimit, BodyBytes: file.Limits.BodyBytes},
	}
	for i := range file.Routes {
		cfg.Routes = append(cfg.Routes, routeOf(&file.Routes[i]))
	}
	for i := range file.PlainServices {
		cfg.Services = append(cfg.Services, serviceOf(&file.PlainServices[i]))
	}
	for i := range file.Organisations {
		organisation, err := organisationOf(&file.Organisations[i])
		if err != nil {
			return nil, err
		}
		cfg.Organisations = append(cfg.Organisations, organisation)
	}
	return catalog.New(cfg)
}

func routeOf(route *config.Route) catalog.Route {
	made := catalog.Route{
		Name: route.Name, Host: strings.ToLower(route.Host), PathPrefix: route.PathPrefix, Kind: kinds[route.Kind],
		Timeout: millis(route.TimeLimitMillis), Objective: millis(route.ObjectiveMillis), Urgency: urgencyOf(route.Priority),
		MaxServers: route.MaxServers, Public: route.Public, Resumable: route.Resumable,
	}
	for _, split := range route.Splits {
		made.Splits = append(made.Splits, catalog.Split{Service: split.Service, Weight: split.Weight})
	}
	return made
}

func serviceOf(service *config.PlainService) catalog.Service {
	made := catalog.Service{Name: service.Name, ConnectionLimit: service.ConnectionLimit}
	if service.ContextTokens > 0 {
		made.Engine = &catalog.Engine{CapacityTokens: service.ContextTokens}
	}
	return made
}

// organisationOf gives an organisation with its own namespace of kept context, as on
// the other paths.
func organisationOf(organisation *config.Organisation) (catalog.Organisation, error) {
	made := catalog.Organisation{Name: organisation.Name, Isolated: true}
	for _, text := range organisation.KeyHashes {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != len(catalog.KeyHash{}) {
			return made, merry.Errorf("organisation %q: a key's hash is no SHA-256", organisation.Name)
		}
		made.KeyHashes = append(made.KeyHashes, catalog.KeyHash(raw))
	}
	if organisation.Priority != config.PriorityNormal && organisation.Priority != "" {
		urgency := urgencyOf(organisation.Priority)
		made.Urgency = &urgency
	}
	return made, nil
}

// serversOf gives the servers of all plain services. What the platform's list says goes
// before the file's address. word numbers what the fleet is told.
func serversOf(snapshot *config.Snapshot, beliefs map[string]*belief, word int64) []fleet.Update {
	var updates []fleet.Update
	for i := range snapshot.File().PlainServices {
		service := &snapshot.File().PlainServices[i]
		for _, name := range service.Servers {
			server, known := snapshot.Server(name)
			if !known {
				continue // the check of the file leaves no such name
			}
			listed := belief{}
			if known := beliefs[name]; known != nil {
				listed = *known
			}
			address := cmp.Or(listed.address, server.Address)
			one := identity(service.Name, name, address, listed.incarnation)
			updates = append(updates, fleet.Update{Key: one, Offset: word, Server: &fleet.Server{
				Incarnation: one, Service: service.Name, Address: address, Zone: server.Zone, Slots: server.Slots,
				Leaving: listed.leaving, Weights: weightsOf(snapshot, server),
			}})
		}
	}
	return updates
}

// weightsOf numbers the weights of the models that a server answers with. The names of
// versions have no order here; their numbers only have to differ, since they are a part
// of the namespace of kept context.
func weightsOf(snapshot *config.Snapshot, server *config.BackendServer) map[string]int {
	if len(server.Models) == 0 {
		return nil
	}
	weights := map[string]int{}
	for _, name := range server.Models {
		if model, known := snapshot.Model(name); known {
			weights[name] = int(xxhash.Sum64String(model.Weights)>>33) + 1 // 31 bits, and never 0
		}
	}
	return weights
}
