package gateway

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/placing"
)

// While the log was unavailable and the base version had few servers, new streams began at other versions without a
// record, although a server of their base version could take them.
func TestNewStreamsBeginWithoutARecordThoughTheirBaseVersionHasCapacity(t *testing.T) {
	shares := []baseversion.Share{{Version: "v1", Weight: 4}, {Version: "v2", Weight: 12}}
	tests := []struct {
		name string
		base baseversion.Base
		// full means that the memory of the server of v1 is in use.
		full bool
		want func(base baseversion.Base, stream uint64) string
	}{
		{"one base version with a quarter of the servers", baseversion.Base{Version: "v1", Present: true}, false, func(baseversion.Base, uint64) string { return "v1" }},
		{"one base version without memory", baseversion.Base{Version: "v1", Present: true}, true, func(baseversion.Base, uint64) string { return "v2" }},
		{"shares by the number of servers", baseversion.Base{Version: "v1", Present: true, Shares: shares}, false, func(base baseversion.Base, stream uint64) string { return base.For(stream) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			f := fleet.New(fleet.Config{})
			c := resumableCatalog(g, 3)
			protocol := newPlanProtocol()
			protocol.info.Prompt = largeMemoryPrompt()
			gateway := promptGateway(protocol, f, emptyIndex(c), c)
			log := useOrigins(t, g, gateway, f, test.base)
			for i, version := range []string{"v1", "v2", "v2", "v2"} {
				name := fmt.Sprint(version, i)
				startVersion(t, f, name, version, serveEvents(version, 0))
				if version == "v1" && test.full {
					hold := f.PlaceAt(fleet.Query{Service: "r", Load: placing.Query{Tokens: 100_000}}, name)
					defer hold.Done(fleet.OutcomeAbandoned)
				}
			}
			log.Underlying().SetFaults(fakelog.Faults{Down: true})
			for i := range 12 {
				protocol.info.RequestID = fmt.Sprint("request-", i)
				g.Expect(serveStream(gateway)).To(ContainSubstring("data: "+test.want(test.base, baseversion.HashOf(protocol.info.RequestID))), protocol.info.RequestID)
			}
		})
	}
}
