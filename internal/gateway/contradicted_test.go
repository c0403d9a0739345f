package gateway

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/baseversion"
	"github.com/cometlock/cometlock/internal/fakelog"
	"github.com/cometlock/cometlock/internal/fleet"
)

// A stream began without a record at the base version although its call had been announced at another one before the
// log went away: it was resumed at that one after all boxes crashed.
func TestAStreamBeginsAtAVersionThatItsAnnouncementContradicts(t *testing.T) {
	tests := []struct {
		name string
		// again is set if a second server of the announced version is there.
		again bool
		want  string
	}{
		{"another server of the announced version", true, fullStream("v2", false)},
		{"no other server of it", false, fullStream("v1", false)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			f := fleet.New(fleet.Config{})
			c := resumableCatalogWith(g, 4, 5*time.Second)
			gateway := promptGateway(newPlanProtocol(), f, emptyIndex(c), c)
			log := useOrigins(t, g, gateway, f, baseversion.Base{Version: "v1", Present: true})
			startVersion(t, f, "first", "v2", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				time.Sleep(300 * time.Millisecond) // the announcement is in the log
				log.Underlying().SetFaults(fakelog.Faults{Down: true})
				startVersion(t, f, "base", "v1", serveEvents("v1", 100*time.Millisecond))
				refuse(w, r)
			}))
			if test.again {
				time.AfterFunc(450*time.Millisecond, func() { startVersion(t, f, "second", "v2", serveEvents("v2", 0)) })
			}
			g.Expect(serveStream(gateway)).To(Equal(test.want))
		})
	}
}
