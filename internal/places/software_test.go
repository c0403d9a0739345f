package places

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
)

// An owner that ignores the software version of a stream grants it a place at any runner, and its box can't
// use it.
func TestOwnerGrantsPlacesAtTheRequestedSoftwareVersion(t *testing.T) {
	tests := []struct {
		name     string
		software string
		granted  int
	}{
		{"one of three runners", "v1", 4},
		{"two of three runners", "v2", 8},
		{"runners without a version", "", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			inZone(t, 2, 3, func(g *WithT, z *zone) {
				for i, version := range []string{"v1", "v2", "v2"} {
					z.setSoftware(i, version)
				}
				granted := 0
				for range 20 {
					request := z.boxes[1].longPrompt(0)
					request.Software = &test.software
					server, err := z.boxes[1].RequestPlace(context.Background(), "a", request)
					g.Expect(err).NotTo(HaveOccurred())
					if server == "" {
						continue
					}
					granted++
					if test.software == "v1" {
						g.Expect(server).To(Equal("runner-0"))
					} else {
						g.Expect(server).NotTo(Equal("runner-0"))
					}
				}
				g.Expect(granted).To(Equal(test.granted))
			})
		})
	}
}

// A stream that finds no room at its software version must not keep others from the rest of the runners.
func TestShortfallOfASoftwareVersionConcernsNoOtherCalls(t *testing.T) {
	inZone(t, 2, 3, func(g *WithT, z *zone) {
		for i, version := range []string{"v1", "v2", "v2"} {
			z.setSoftware(i, version)
		}
		first := "v1"
		for range 20 {
			request := z.boxes[1].longPrompt(0)
			request.Software = &first
			_, err := z.boxes[1].RequestPlace(context.Background(), "a", request)
			g.Expect(err).NotTo(HaveOccurred())
		}
		server, err := z.boxes[1].RequestPlace(context.Background(), "a", z.boxes[1].longPrompt(0))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(server).NotTo(BeEmpty())
		g.Expect(z.boxes[1].IsFull("a", z.boxes[1].longPrompt(0))).To(BeFalse())
		time.Sleep(time.Second)
	})
}

// setSoftware sets the software version of a runner at all boxes.
func (z *zone) setSoftware(number int, version string) {
	for _, b := range z.boxes {
		b.applySoftware(number, version)
	}
}

func (b *box) applySoftware(number int, version string) {
	name := "runner-" + string(rune('0'+number))
	b.fleet.Apply([]fleet.Update{{Key: name, Offset: 2, Server: &fleet.Server{
		Incarnation: name, Service: service, Zone: "a", Slots: 12, Software: version, Weights: map[string]int{model: 1},
	}}})
}

// New streams, which any runner may serve, took the place that became free at the only runner of a version,
// before a stream that had to continue there.
func TestStreamsBoundToAVersionGoBeforeNewOnes(t *testing.T) {
	inZone(t, 3, 2, func(g *WithT, z *zone) {
		z.setSoftware(0, "v1")
		z.setSoftware(1, "v2")
		grants := map[string][]*fleet.Grant{}
		for {
			granted := z.boxes[0].fleet.Grant(z.boxes[1].longPrompt(0).query(nil))
			if granted == nil {
				break
			}
			grants[granted.Server()] = append(grants[granted.Server()], granted)
		}
		first := "v1"
		places := make([]string, 2)
		var waiting sync.WaitGroup
		for i, software := range []*string{nil, &first} {
			waiting.Go(func() {
				request := z.boxes[1+i].longPrompt(500 * time.Millisecond)
				request.Software = software
				server, err := z.boxes[1+i].RequestPlace(context.Background(), "a", request)
				g.Expect(err).NotTo(HaveOccurred())
				places[i] = server
			})
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(55 * time.Millisecond) // between two checks of the queue
		grants["runner-0"][0].Release()
		time.Sleep(100 * time.Millisecond)
		grants["runner-1"][0].Release()
		waiting.Wait()
		g.Expect(places).To(Equal([]string{"runner-1", "runner-0"}))
	})
}

// New streams that are kept to the base version while records fail went before other calls, and used the room for
// streams that must continue, as if they could run nowhere else.
func TestNewStreamsThatPreferAVersionGoBeforeOtherCalls(t *testing.T) {
	inZone(t, 3, 1, func(g *WithT, z *zone) {
		z.setSoftware(0, "v1")
		var grants []*fleet.Grant
		for granted := z.boxes[0].fleet.Grant(z.boxes[1].longPrompt(0).query(nil)); granted != nil; granted = z.boxes[0].fleet.Grant(z.boxes[1].longPrompt(0).query(nil)) {
			grants = append(grants, granted)
		}
		first := "v1"
		var mu sync.Mutex
		var served []string
		var waiting sync.WaitGroup
		for i, name := range []string{"other", "preferring"} {
			waiting.Go(func() {
				request := z.boxes[1+i].longPrompt(500 * time.Millisecond)
				if name == "preferring" {
					request.Software, request.Preferred = &first, true
				}
				server, err := z.boxes[1+i].RequestPlace(context.Background(), "a", request)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(server).To(Equal("runner-0"))
				mu.Lock()
				defer mu.Unlock()
				served = append(served, name)
			})
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(55 * time.Millisecond) // between two checks of the queue
		for _, granted := range grants[:2] {
			granted.Release()
			time.Sleep(100 * time.Millisecond)
		}
		waiting.Wait()
		g.Expect(served).To(Equal([]string{"other", "preferring"}))
	})
}
