package gateway

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/catalog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/streamorigin"
)

// splitCatalog has a route for resumable streams that is split between services of runners.
func splitCatalog(g *WithT, splits ...catalog.Split) *catalog.Catalog {
	made, err := catalog.New(catalog.Config{
		Version: 1, Limits: catalog.Limits{HeaderBytes: 1 << 16, BodyBytes: 1 << 16},
		Services: []catalog.Service{
			{Name: "r", Engine: &catalog.Engine{CapacityTokens: 100_000, BytesPerToken: 1000}},
			{Name: "s", Engine: &catalog.Engine{CapacityTokens: 100_000, BytesPerToken: 1000}},
		},
		Routes: []catalog.Route{{
			Name: "prompts", Host: "example.com", PathPrefix: "/", Kind: catalog.Stream, Resumable: true, MaxServers: 2,
			Objective: 300 * time.Millisecond, Timeout: 10 * time.Second, Splits: splits, Public: true,
		}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	return made
}

// startVersionOf is startVersion for a service.
func startVersionOf(t *testing.T, f *fleet.Fleet, service, version string) {
	t.Helper()
	name := service + version
	server := httptest.NewServer(serveEvents(name, 0))
	t.Cleanup(server.Close)
	f.Apply([]fleet.Update{{Key: name, Offset: 1, Server: &fleet.Server{
		Incarnation: name, Service: service, Software: version, Address: server.Listener.Addr().String(), Slots: 4, Weights: map[string]int{"m": 1},
	}}})
}

// A stream that its caller resumed continued at another service, and at another software version, when its route
// was split between services or had been moved to another one.
func TestAResumedStreamContinuesAtAnotherServicesVersion(t *testing.T) {
	r, s := catalog.Split{Service: "r", Weight: 1}, catalog.Split{Service: "s", Weight: 1}
	tests := []struct {
		name string
		// splits are the services of the route when the caller resumes the stream that v1 of service s began.
		splits []catalog.Split
		// servers are the software versions of the servers, by service.
		servers map[string][]string
		// want is the service and version that continues the stream; empty if it is refused.
		want string
	}{
		{"split, each service has one version", []catalog.Split{r, s}, map[string][]string{"r": {"v2"}, "s": {"v1"}}, "sv1"},
		{"split, the service has several versions", []catalog.Split{r, s}, map[string][]string{"r": {"v1"}, "s": {"v1", "v2"}}, "sv1"},
		{"split, the version has gone", []catalog.Split{r, s}, map[string][]string{"r": {"v1"}, "s": {"v2"}}, ""},
		{"moved to one of another version", []catalog.Split{r}, map[string][]string{"r": {"v2"}, "s": {"v1"}}, ""},
		{"moved to one of several versions", []catalog.Split{r}, map[string][]string{"r": {"v1", "v2"}, "s": {"v1"}}, "rv1"},
		{"moved to one of the same version", []catalog.Split{r}, map[string][]string{"r": {"v1"}, "s": {"v2"}}, "rv1"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := fleet.New(fleet.Config{})
			for service, versions := range test.servers {
				for _, version := range versions {
					startVersionOf(t, f, service, version)
				}
			}
			protocol := newPlanProtocol()
			protocol.info.Prompt = largeMemoryPrompt()
			protocol.info.ResumeAfter = "1"
			c := splitCatalog(g, test.splits...)
			gateway := promptGateway(protocol, f, emptyIndex(c), c)
			gateway.cfg.Origins = streamorigin.New(streamorigin.Config{Logger: zerolog.Nop(), Others: func() []streamorigin.Box { return nil }, Versions: f.SoftwareVersions})
			for number := range 6 {
				protocol.info.Resumes = "first-" + strconv.Itoa(number)
				gateway.cfg.Origins.Note(streamorigin.KeyOf("", protocol.info.Resumes), streamorigin.Origin{Service: "s", Software: "v1", Expires: time.Now().Add(time.Minute)})
				recorder := httptest.NewRecorder()
				gateway.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
				if test.want == "" {
					g.Expect(recorder.Code).To(Equal(http.StatusServiceUnavailable), recorder.Body.String())
					g.Expect(recorder.Body.String()).To(ContainSubstring(reasonNoVersion))
					continue
				}
				g.Expect(recorder.Code).To(Equal(http.StatusOK), recorder.Body.String())
				g.Expect(recorder.Body.String()).To(ContainSubstring("data: " + test.want + "\n"))
			}
		})
	}
}

// The parts of a resumed stream's prompt counted for the service that the route chose, rather than for the one that
// continues the stream.
func TestPartsOfAResumedStreamCountForAnotherService(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New(fleet.Config{})
	c := splitCatalog(g, catalog.Split{Service: "r", Weight: 1}, catalog.Split{Service: "s", Weight: 1})
	protocol := newPlanProtocol()
	protocol.info.ResumeAfter, protocol.info.Resumes = "1", "first"
	gateway := promptGateway(protocol, f, emptyIndex(c), c)
	gateway.cfg.Origins = streamorigin.New(streamorigin.Config{Logger: zerolog.Nop(), Others: func() []streamorigin.Box { return nil }, Versions: f.SoftwareVersions})
	for _, service := range []string{"r", "s"} {
		gateway.cfg.Origins.Note(streamorigin.KeyOf("", "first"), streamorigin.Origin{Service: service, Software: "v1", Expires: time.Now().Add(time.Minute)})
		x := gateway.newExchange(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
		g.Expect(gateway.accept(x) && gateway.readBody(x) && gateway.findSoftware(x)).To(BeTrue())
		g.Expect(x.service.Name).To(Equal(service))
		g.Expect(x.parts).NotTo(BeEmpty())
		g.Expect(x.parts).To(Equal(x.partFingerprints()))
	}
}

// A stream without a record continued at the other service of a split route when its caller resumed it at another
// box.
func TestAStreamWithoutARecordContinuesAtAnotherServiceOfASplitRoute(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New(fleet.Config{})
	startVersionOf(t, f, "r", "v1")
	startVersionOf(t, f, "s", "v2")
	c := splitCatalog(g, catalog.Split{Service: "r", Weight: 3}, catalog.Split{Service: "s", Weight: 1})
	protocol := newPlanProtocol()
	protocol.info.Prompt = largeMemoryPrompt()
	send := func(box *Gateway) string {
		recorder := httptest.NewRecorder()
		box.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
		g.Expect(recorder.Code).To(Equal(http.StatusOK), recorder.Body.String())
		return dataOfLastEvent(recorder.Body.String())
	}
	boxes := make([]*Gateway, 2)
	for i := range boxes {
		boxes[i] = promptGateway(protocol, f, emptyIndex(c), c)
		boxes[i].cfg.Origins = streamorigin.New(streamorigin.Config{Logger: zerolog.Nop(), Others: func() []streamorigin.Box { return nil }, Versions: f.SoftwareVersions})
	}
	const streams = 40
	began, byService := map[int]string{}, map[string]int{}
	for number := range streams {
		protocol.info.RequestID = "q" + strconv.Itoa(number)
		began[number] = send(boxes[0])
		byService[began[number]]++
	}
	protocol.info.ResumeAfter = "1"
	joined := 0
	for number := range streams {
		number = streams - 1 - number // in another order
		protocol.info.RequestID, protocol.info.Resumes = "again"+strconv.Itoa(number), "q"+strconv.Itoa(number)
		if send(boxes[1]) != began[number] {
			joined++
		}
	}
	g.Expect(joined).To(BeZero(), "streams with events of two services")
	g.Expect(byService).To(HaveLen(2), "streams begin at both services")
}

// dataOfLastEvent returns the data of a stream's last event.
func dataOfLastEvent(stream string) string {
	_, last, _ := strings.Cut(strings.TrimSpace(stream[strings.LastIndex(stream, "data: "):]), "data: ")
	return last
}

// A stream that broke off within its box continued at the other service of a split route when its box forwarded it.
func TestAForwardedStreamContinuesAtAnotherServiceOfASplitRoute(t *testing.T) {
	tests := []struct {
		name string
		// second are the weights of the services at the box that gets the call.
		second [2]int
	}{
		{"both boxes have the same configuration", [2]int{1, 1}},
		{"the other box has newer weights", [2]int{1, 1000}},
		{"the other box has newer weights for the first service", [2]int{1000, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			split := func(weights [2]int) *catalog.Catalog {
				return forwardCatalog(g, func(cfg *catalog.Config) {
					cfg.Services = append(cfg.Services, catalog.Service{Name: "t", ConnectionLimit: 1000})
					for i := range cfg.Routes {
						cfg.Routes[i].Splits = []catalog.Split{{Service: "s", Weight: weights[0]}, {Service: "t", Weight: weights[1]}}
					}
				})
			}
			for number := range 6 {
				var near, far forwardServers
				var first *forwardBox
				for i, service := range []string{"s", "t"} {
					near.start(t, "near-"+service, func(w http.ResponseWriter, r *http.Request) {
						sign(w, r)
						sendEvent(w, service, 1)
						first.partitionAmidStream(g, service)
						panic(http.ErrAbortHandler)
					})
					near.entries[i].Service = service
					far.start(t, "far-"+service, serveEventsOf(service))
					far.entries[i].Service = service
				}
				first = startForwardBox(t, g, forwardBoxConfig{name: "first", servers: near.entries, catalog: split([2]int{1, 1})})
				first.forwardTo(startForwardBox(t, g, forwardBoxConfig{name: "second", servers: far.entries, catalog: split(test.second)}))
				response := first.send(t.Context(), pathStream, "q"+strconv.Itoa(number), "")
				g.Expect(response.err).NotTo(HaveOccurred())
				g.Expect(strings.Contains(response.body, "data: s")).NotTo(Equal(strings.Contains(response.body, "data: t")), response.body)
			}
		})
	}
}

// A stream whose caller's key had been moved to another organisation, or whose route had become public, was not found.
func TestAStreamIsNotFoundAfterItsKeyMovedToAnotherOrganisation(t *testing.T) {
	testResumedByKey(t, []resumedByKey{
		{"nothing changes", keyConfig{organisation: "north"}, keyConfig{organisation: "north"}, firstKey},
		{"the key moves", keyConfig{organisation: "north"}, keyConfig{organisation: "south"}, firstKey},
		{"the route becomes public", keyConfig{organisation: "north"}, keyConfig{organisation: "north", public: true}, firstKey},
	})
}

// A stream was not found, and counted as one of the base version, when its caller resumed it with another key of its
// organisation.
func TestAStreamIsNotFoundWithAnotherKeyOfItsOrganisation(t *testing.T) {
	both := keyConfig{organisation: "north", second: true}
	testResumedByKey(t, []resumedByKey{
		{"both keys are valid", both, both, secondKey},
		{"the first key is replaced", keyConfig{organisation: "north"}, keyConfig{organisation: "north", second: true, onlySecond: true}, secondKey},
	})
}

const firstKey, secondKey = "key", "second key"

// keyConfig is a configuration with one organisation.
type keyConfig struct {
	organisation string
	// public is set if the route needs no key.
	public bool
	// second is set if the organisation has secondKey, and onlySecond if it does not have firstKey.
	second, onlySecond bool
}

func (c keyConfig) catalog(g *WithT) *catalog.Catalog {
	var keys []string
	if !c.onlySecond {
		keys = append(keys, firstKey)
	}
	if c.second {
		keys = append(keys, secondKey)
	}
	made, err := catalog.New(catalog.Config{
		Version: 1, Limits: catalog.Limits{HeaderBytes: 1 << 16, BodyBytes: 1 << 16}, KeysRequired: true,
		Services:      []catalog.Service{{Name: "r", Engine: &catalog.Engine{CapacityTokens: 100_000, BytesPerToken: 1000}}},
		Organisations: []catalog.Organisation{{Name: c.organisation, Keys: keys}},
		Routes: []catalog.Route{{
			Name: "prompts", Host: "example.com", PathPrefix: "/", Kind: catalog.Stream, Resumable: true, MaxServers: 2,
			Objective: 300 * time.Millisecond, Timeout: 10 * time.Second, Splits: []catalog.Split{{Service: "r", Weight: 1}}, Public: c.public,
		}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	return made
}

// resumedByKey is a stream that begins with firstKey before a change of the configuration, and is resumed with a key
// after it.
type resumedByKey struct {
	name          string
	before, after keyConfig
	key           string
}

// testResumedByKey checks that streams continue at the software version that began them.
func testResumedByKey(t *testing.T, tests []resumedByKey) {
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := fleet.New(fleet.Config{})
			startVersionOf(t, f, "r", "v1")
			startVersionOf(t, f, "r", "v2")
			before, after := test.before.catalog(g), test.after.catalog(g)
			protocol := newPlanProtocol()
			protocol.info.Prompt, protocol.info.Key = largeMemoryPrompt(), firstKey
			box := promptGateway(protocol, f, emptyIndex(before), before)
			box.cfg.Origins = streamorigin.New(streamorigin.Config{Logger: zerolog.Nop(), Others: func() []streamorigin.Box { return nil }, Versions: f.SoftwareVersions})
			send := func() string {
				recorder := httptest.NewRecorder()
				box.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, "http://example.com/", nil))
				g.Expect(recorder.Code).To(Equal(http.StatusOK), recorder.Body.String())
				return dataOfLastEvent(recorder.Body.String())
			}
			began := send()
			box.cfg.Catalog = func() *catalog.Catalog { return after }
			protocol.info.RequestID, protocol.info.ResumeAfter, protocol.info.Resumes = "again", "1", protocol.info.RequestID
			protocol.info.Key = test.key
			g.Expect(send()).To(Equal(began))
		})
	}
}
