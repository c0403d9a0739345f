package fleet_test

import (
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/advisory"
	"github.com/cometlock/cometlock/internal/fleet"
)

// A call that finds no server here is sent to another box only if that may have some left of what boxes
// divide: a shortage that is the same at all boxes must not make them forward calls to each other.
func TestWhenAnotherBoxMayHaveAShare(t *testing.T) {
	query := fleet.Query{Service: "runners", Zone: "a"}
	tests := []struct {
		name  string
		play  func(f *fleet.Fleet)
		query fleet.Query
		lacks bool
	}{
		{"no shortage", func(*fleet.Fleet) {}, query, false},
		{"one server is limited, and the other not", func(f *fleet.Fleet) { f.ApplyAdvisory("one", limitOf(0)) }, query, false},
		{"both are limited, with a call left", func(f *fleet.Fleet) {
			f.ApplyAdvisory("one", limitOf(1))
			f.ApplyAdvisory("two", limitOf(1))
		}, query, false},
		{"both are limited, and the share is used up", func(f *fleet.Fleet) {
			f.ApplyAdvisory("one", limitOf(1))
			f.ApplyAdvisory("two", limitOf(1))
			for range 2 {
				f.Choose(query).Done(fleet.OutcomeServed)
			}
		}, query, true},
		{"all connections are in use", func(f *fleet.Fleet) {
			for range 2 {
				f.Choose(fleet.Query{Service: "runners", Zone: "a", ConnectionLimit: 1})
			}
		}, fleet.Query{Service: "runners", Zone: "a", ConnectionLimit: 1}, true},
		{"both drain", func(f *fleet.Fleet) {
			for _, server := range []string{"one", "two"} {
				f.ApplyAdvisory(server, answerWith(advisory.Advisory{Draining: true}))
			}
		}, query, false},
		{"both were tried", func(*fleet.Fleet) {}, fleet.Query{Service: "runners", Zone: "a", Exclude: []string{"one", "two"}}, false},
		{"a service without servers", func(*fleet.Fleet) {}, fleet.Query{Service: "none"}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newFleet("one", "two")
				test.play(f)
				g.Expect(f.LacksShare(test.query)).To(Equal(test.lacks))
			})
		})
	}
}
