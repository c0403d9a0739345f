package config_test

import (
	"errors"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, rapidtest.Config{Checks: 500, Steps: 30}) }

const small = `deployment: test
zones: [{name: a, region: r}]
organisations:
  - name: one
    key_hashes: [a80e62cdb84aefab006bacf82fe0ff1c9d9c3c4e1409b6db1a425b54c46637eb]
models: [{name: m, weights: v1}]
backend_servers:
  - {name: r1, zone: a, role: runner, address: '127.0.0.1:9000', models: [m]}
`

func TestExamplesAreValidAndHaveTheExpectedSizes(t *testing.T) {
	cases := []struct {
		file                                             string
		zones, organisations, runners, services, storage int
	}{
		{"fjordlinje", 4, 10, 18, 4, 2},
		{"lot-operations", 3, 10, 14, 3, 2},
		{"local", 2, 2, 6, 2, 2},
	}
	for _, c := range cases {
		t.Run(c.file, func(t *testing.T) {
			g := NewWithT(t)
			source, err := os.ReadFile("../../examples/" + c.file + ".yaml")
			g.Expect(err).NotTo(HaveOccurred())
			file, err := config.Parse(source)
			g.Expect(err).NotTo(HaveOccurred())
			count := func(role config.Role) int {
				n := 0
				for _, server := range file.BackendServers {
					if server.Role == role {
						n++
					}
				}
				return n
			}
			g.Expect(file.Zones).To(HaveLen(c.zones))
			g.Expect(file.Organisations).To(HaveLen(c.organisations))
			g.Expect(count(config.RoleRunner)).To(Equal(c.runners))
			g.Expect(count(config.RolePlainService)).To(Equal(c.services))
			g.Expect(count(config.RoleStoreBox)).To(Equal(c.storage))
		})
	}
}

func TestDemoKeysResolveToTheirOrganisations(t *testing.T) {
	g := NewWithT(t)
	source, err := os.ReadFile("../../examples/local.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	file, err := config.Parse(source)
	g.Expect(err).NotTo(HaveOccurred())
	entries, err := file.Entries()
	g.Expect(err).NotTo(HaveOccurred())
	snapshot, err := config.NewSnapshot(3, entries)
	g.Expect(err).NotTo(HaveOccurred())
	for _, c := range []struct{ key, organisation string }{
		{"sk-fjordlinje-demo", "nordlys-arkitekter"},
		{"sk-lot-demo", "lot-central"},
		{"sk-other", ""},
		{"", ""},
	} {
		organisation, ok := snapshot.OrganisationByKey(c.key)
		g.Expect(ok).To(Equal(c.organisation != ""), c.key)
		if ok {
			g.Expect(organisation.Name).To(Equal(c.organisation))
		}
	}
}

func TestEveryFaultIsListedWithItsLine(t *testing.T) {
	cases := []struct {
		name   string
		change func(string) string
		want   []string
	}{
		{"nothing", func(string) string { return "" }, []string{"line 1: the file is empty"}},
		{"invalid YAML", func(string) string { return "a: [" }, []string{"line 1: did not find expected node content"}},
		{"an unknown key", replace("region: r", "regon: r"), []string{`line 2: unknown key "regon" in zone`}},
		{"a wrong type", replace("name: one", "name: one\n    share: many"), []string{"line 5: cannot unmarshal !!str `many` into int"}},
		{"a model without runner", replace("models: [m]}", "models: [x]}"), []string{
			`line 6: models[0]: no runner holds "m"`, `line 8: backend_servers[0].models[0]: there is no model "x"`,
		}},
		{"an undefined zone", replace("zone: a", "zone: b"), []string{`line 8: backend_servers[0].zone: there is no availability zone "b"`}},
		{"a host name as address", replace("127.0.0.1:9000", "localhost:9000"), []string{`line 8: backend_servers[0].address: "localhost:9000" is not an IP address with a port`}},
		{"a negative limit", replace("deployment: test", "deployment: test\nlimits:\n  body_bytes: -1"), []string{"line 3: limits.body_bytes: must be above 0, is -1"}},
		{"a key window above the limit of claims", replace("deployment: test", "deployment: test\nlimits:\n  key_window_seconds: 9000"), []string{"line 3: limits.key_window_seconds: must be at most 7200, is 9000"}},
		{"a duplicate name", replace("zones: [", "zones: [{name: a, region: q}, "), []string{`line 2: zones[1].name: "a" is already the name of zones[0]`}},
		{"several faults", func(s string) string {
			return replace("name: one", "name: one\n    share: -2")(replace("role: runner", "role: walker")(s))
		}, []string{
			"line 5: organisations[0].share: must be above 0, is -2", `line 7: models[0]: no runner holds "m"`, `line 9: backend_servers[0].role: "walker" is not a role`,
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := config.Parse([]byte(c.change(small)))
			invalid, ok := errors.AsType[*config.InvalidError](err)
			g.Expect(ok).To(BeTrue(), "got %v", err)
			g.Expect(strings.Split(invalid.Error(), "\n")).To(Equal(c.want))
		})
	}
}

// routedServices is appended to small in the cases about routes.
const routedServices = `  - {name: p1, zone: a, role: plain-service, address: '127.0.0.1:9001'}
plain_services:
  - {name: shop, servers: [p1]}
routes:
  - {name: pages, host: h.example, path_prefix: /, kind: repeatable, splits: [{service: shop}]}
  - {name: more, host: h.example, path_prefix: /more/, kind: stream, resumable: true, splits: [{service: shop}]}
`

func TestFaultsOfRoutesAreListedWithTheirLines(t *testing.T) {
	g := NewWithT(t)
	file, err := config.Parse([]byte(small + routedServices))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(file.Routes).To(HaveLen(2))
	g.Expect(file.Routes[1]).To(Equal(config.Route{
		Name: "pages", Host: "h.example", PathPrefix: "/", Kind: config.RouteRepeatable, Splits: []config.Split{{Service: "shop", Weight: 1}},
		TimeLimitMillis: config.DefaultTimeLimitMillis, ObjectiveMillis: config.DefaultObjectiveMillis, MaxServers: config.DefaultMaxServers,
		Priority: config.PriorityNormal,
	}))
	entries, err := file.Entries()
	g.Expect(err).NotTo(HaveOccurred())
	again, err := entries.File()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(file))
	for _, c := range []struct{ name, from, to, want string }{
		{"a host with a port", "name: pages, host: h.example", "name: pages, host: 'h.example:80'", `line 13: routes[0].host: "h.example:80" is not the name of a host without a port`},
		{"no host", "name: pages, host: h.example", "name: pages", `line 13: routes[0].host: "" is not the name of a host without a port`},
		{"a path without a slash", "path_prefix: /more/", "path_prefix: more", `line 14: routes[1].path_prefix: "more" does not begin with /`},
		{"the same host and prefix", "host: h.example, path_prefix: /more/", "host: H.example, path_prefix: /", `line 14: routes[1].path_prefix: h.example/ is already the place of "pages"`},
		{"an unknown kind", "kind: repeatable", "kind: idle", `line 13: routes[0].kind: "idle" is not repeatable, once or stream`},
		{"a resumable call that is not a stream", "kind: stream", "kind: once", `line 14: routes[1].resumable: only a stream can be resumed`},
		{"an unknown priority", "kind: stream", "kind: stream, priority: soon", `line 14: routes[1].priority: "soon" is not a priority`},
		{"a negative limit", "kind: stream", "kind: stream, time_limit_ms: -1", `line 14: routes[1].time_limit_ms: must be above 0, is -1`},
		{"no service", "kind: repeatable, splits: [{service: shop}]", "kind: repeatable", `line 13: routes[0].splits: a route needs at least one plain service`},
		{"an unknown service", "kind: repeatable, splits: [{service: shop}]", "kind: repeatable, splits: [{service: ship}]", `line 13: routes[0].splits[0].service: there is no plain service "ship"`},
		{"a negative weight", "kind: repeatable, splits: [{service: shop}]", "kind: repeatable, splits: [{service: shop, weight: -1}]", `line 13: routes[0].splits[0].weight: must be above 0, is -1`},
		{"a service with prompts but no model", "servers: [p1]", "servers: [p1], context_tokens: 1000", `line 11: plain_services[0].servers[0]: "p1" answers prompts and needs at least one model`},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := config.Parse([]byte(replace(c.from, c.to)(small + routedServices)))
			g.Expect(err).To(MatchError(c.want))
		})
	}
}

func replace(from, to string) func(string) string {
	return func(s string) string { return strings.Replace(s, from, to, 1) }
}

func TestFileRoundTripsThroughEntries(t *testing.T) {
	g := NewWithT(t)
	source, err := os.ReadFile("../../examples/fjordlinje.yaml")
	g.Expect(err).NotTo(HaveOccurred())
	file, err := config.Parse(source)
	g.Expect(err).NotTo(HaveOccurred())
	entries, err := file.Entries()
	g.Expect(err).NotTo(HaveOccurred())
	again, err := entries.File()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again).To(Equal(file))
}

// drawEntries draws entries with few distinct names, so that two sets have many in common.
func drawEntries(t *rapid.T, label string) config.Entries {
	values := rapid.MapOf(rapid.StringMatching(`[a-f]`), rapid.StringMatching(`[xyz]`)).Draw(t, label)
	var entries config.Entries
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		if value, ok := values[name]; ok {
			entries = append(entries, config.Entry{Name: name, Value: []byte(value)})
		}
	}
	return entries
}

func TestApplyingADiffResultsInTheTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawEntries(t, "from"), drawEntries(t, "to")
		before := from.Digest()
		if got := from.Apply(from.Diff(to)); got.Digest() != to.Digest() {
			t.Fatalf("got %v, want %v", got, to)
		}
		if from.Digest() != before {
			t.Fatal("applying a change altered the entries it was applied to")
		}
	})
}

func TestRepeatableTreatsEquivalentPathsAsEqual(t *testing.T) {
	g := NewWithT(t)
	service := config.PlainService{NotRepeatable: []config.Call{{Method: "POST", Path: "/charges"}}}
	for _, c := range []struct {
		method, path string
		repeatable   bool
	}{
		{"POST", "/charges", false},
		{"POST", "/charges/7", false},
		{"POST", "/Charges", false},
		{"POST", "/charges;v=1", false},
		{"POST", "/chargesheet", true},
		{"GET", "/charges", true},
		{"POST", "/receipts", true},
	} {
		g.Expect(service.Repeatable(c.method, c.path)).To(Equal(c.repeatable), "%s %s", c.method, c.path)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(small))
	f.Add([]byte(small + routedServices))
	f.Add([]byte("a: &x [*x]"))
	f.Fuzz(func(t *testing.T, source []byte) {
		file, err := config.Parse(source)
		if err != nil {
			if _, ok := errors.AsType[*config.InvalidError](err); !ok {
				t.Fatalf("not a list of faults: %v", err)
			}
			return
		}
		if _, err := file.Entries(); err != nil {
			t.Fatal(err)
		}
	})
}
