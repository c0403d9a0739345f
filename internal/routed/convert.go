// Conversion of a version of the configuration file to the catalog and the server list that calls
// are routed by.

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

// headerLimit bounds the header of a routed call, in bytes. The port has the same limit.
const headerLimit = 64 << 10

var kinds = map[config.RouteKind]catalog.Kind{
	config.RouteRepeatable: catalog.Repeatable, config.RouteOnce: catalog.AtMostOnce, config.RouteStream: catalog.Stream,
}

// catalogOf returns the catalog for a version of the configuration: its routes, services,
// organisations and limits.
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
	converted := catalog.Route{
		Name: route.Name, Host: strings.ToLower(route.Host), PathPrefix: route.PathPrefix, Kind: kinds[route.Kind],
		Timeout: millis(route.TimeLimitMillis), Objective: millis(route.ObjectiveMillis), Urgency: urgencyOf(route.Priority),
		MaxServers: route.MaxServers, Public: route.Public, Resumable: route.Resumable,
	}
	for _, split := range route.Splits {
		converted.Splits = append(converted.Splits, catalog.Split{Service: split.Service, Weight: split.Weight})
	}
	return converted
}

func serviceOf(service *config.PlainService) catalog.Service {
	converted := catalog.Service{Name: service.Name, ConnectionLimit: service.ConnectionLimit}
	if service.ContextTokens > 0 {
		converted.Engine = &catalog.Engine{CapacityTokens: service.ContextTokens}
	}
	return converted
}

// organisationOf returns an organisation with its own namespace of kept context, as on the other
// paths.
func organisationOf(organisation *config.Organisation) (catalog.Organisation, error) {
	converted := catalog.Organisation{Name: organisation.Name, Isolated: true}
	for _, text := range organisation.KeyHashes {
		raw, err := hex.DecodeString(text)
		if err != nil || len(raw) != len(catalog.KeyHash{}) {
			return converted, merry.Errorf("organisation %q: the hash of a key is not a SHA-256", organisation.Name)
		}
		converted.KeyHashes = append(converted.KeyHashes, catalog.KeyHash(raw))
	}
	if organisation.Priority != config.PriorityNormal && organisation.Priority != "" {
		urgency := urgencyOf(organisation.Priority)
		converted.Urgency = &urgency
	}
	return converted, nil
}

// serverUpdates returns the servers of all plain services as updates for the fleet, numbered by
// offset. An address from the platform's box list takes precedence over the one in the file.
func serverUpdates(snapshot *config.Snapshot, listStates map[string]*listState, offset int64) []fleet.Update {
	var updates []fleet.Update
	for i := range snapshot.File().PlainServices {
		service := &snapshot.File().PlainServices[i]
		for _, name := range service.Servers {
			server, found := snapshot.Server(name)
			if !found {
				continue // validation of the file excludes unknown names
			}
			listed := listState{}
			if state := listStates[name]; state != nil {
				listed = *state
			}
			address := cmp.Or(listed.address, server.Address)
			key := identity(service.Name, name, address, listed.incarnation)
			updates = append(updates, fleet.Update{Key: key, Offset: offset, Server: &fleet.Server{
				Incarnation: key, Service: service.Name, Address: address, Zone: server.Zone, Slots: server.Slots,
				Leaving: listed.leaving, Weights: weightsOf(snapshot, server),
			}})
		}
	}
	return updates
}

// weightsOf returns a number for the weights of each model that a server runs. The names of weights
// versions have no order here. Their numbers only have to differ, since they are part of the
// namespace of kept context.
func weightsOf(snapshot *config.Snapshot, server *config.BackendServer) map[string]int {
	if len(server.Models) == 0 {
		return nil
	}
	weights := map[string]int{}
	for _, name := range server.Models {
		if model, found := snapshot.Model(name); found {
			weights[name] = int(xxhash.Sum64String(model.Weights)>>33) + 1 // 31 bits, never 0
		}
	}
	return weights
}
