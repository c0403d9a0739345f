package fleet

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
)

// Guards against a server whose kept total differs from what other boxes report and this box granted
// after servers restart, are listed late, or grants end.
func TestTheKeptTotalOfOtherBoxesDiffersFromTheirReports(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	f := New(Config{Logger: zerolog.Nop()})
	var grants []*Grant
	for step := range 3000 {
		incarnation := fmt.Sprint("s-", random.IntN(4))
		switch random.IntN(5) {
		case 0:
			f.Apply([]Update{{Key: "s", Offset: int64(step + 1), Server: &Server{Incarnation: incarnation, Service: "s", Slots: 4}}})
		case 1:
			f.Apply([]Update{{Key: "s", Offset: int64(step + 1)}})
		case 2:
			f.SetRemoteLoads(fmt.Sprint("box-", random.IntN(3)), []Load{{Incarnation: incarnation, InFlight: random.IntN(3), HeldTokens: random.IntN(100)}})
		case 3:
			if grant := f.Grant(Query{Service: "s"}); grant != nil {
				grants = append(grants, grant)
			}
		default:
			if len(grants) > 0 {
				grants[0].Release()
				grants = grants[1:]
			}
		}
		for _, state := range f.servers {
			g.Expect(state.others).To(Equal(f.remoteWork(state.Incarnation)))
		}
	}
}
