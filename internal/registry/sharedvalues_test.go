package registry

import (
	"fmt"
	"reflect"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fleet"
)

// Each of 10,000 servers had its own map of weights: 2.5 MB of the memory of each box.
func TestServersWithEqualWeightsShareThem(t *testing.T) {
	g := NewWithT(t)
	var values sharedValues
	maps := map[uintptr]bool{}
	for i := range 3000 {
		server := &fleet.Server{Service: fmt.Sprint("service-", i%2), Zone: fmt.Sprint("zone-", i%3), Weights: map[string]int{"model": i % 3}}
		values.share(server)
		g.Expect(*server).To(Equal(fleet.Server{Service: fmt.Sprint("service-", i%2), Zone: fmt.Sprint("zone-", i%3), Weights: map[string]int{"model": i % 3}}))
		maps[reflect.ValueOf(server.Weights).Pointer()] = true
	}
	g.Expect(maps).To(HaveLen(3))
	for i := range 1000 { // versions that replace each other
		server := &fleet.Server{Weights: map[string]int{"model": i}}
		values.share(server)
		g.Expect(server.Weights).To(Equal(map[string]int{"model": i}))
	}
	g.Expect(len(values.weights)).To(Equal(maxSharedWeights))
}
