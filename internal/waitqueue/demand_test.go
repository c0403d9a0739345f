package waitqueue_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/waitqueue"
)

// A call must be skipped only if every server without capacity for the other call has none for it.
func TestAtLeast(t *testing.T) {
	base := waitqueue.Demand{Class: 1, Tokens: 100, Memory: 1000, MinPrefill: 20, MaxPrefill: 30, PrefillLimit: 500}
	tests := []struct {
		name    string
		change  func(d *waitqueue.Demand)
		atLeast bool
	}{
		{"the same", func(*waitqueue.Demand) {}, true},
		{"other servers", func(d *waitqueue.Demand) { d.Class = 2 }, false},
		{"more memory and prefill", func(d *waitqueue.Demand) { d.Tokens, d.MinPrefill, d.MaxPrefill = 101, 30, 40 }, true},
		{"less memory", func(d *waitqueue.Demand) { d.Tokens, d.MinPrefill, d.MaxPrefill = 99, 30, 40 }, false},
		{"less prefill by some version", func(d *waitqueue.Demand) { d.MinPrefill, d.MaxPrefill = 29, 40 }, false},
		{"less time", func(d *waitqueue.Demand) { d.MinPrefill, d.PrefillLimit = 30, 400 }, true},
		{"more time", func(d *waitqueue.Demand) { d.MinPrefill, d.PrefillLimit = 30, 600 }, false},
		{"any time", func(d *waitqueue.Demand) { d.MinPrefill, d.PrefillLimit = 30, 0 }, false},
		{"late in the same time", func(d *waitqueue.Demand) { d.MinPrefill, d.PrefillLimit, d.LateLimit = 30, 100, 500 }, true},
		{"late in more time", func(d *waitqueue.Demand) { d.MinPrefill, d.PrefillLimit, d.LateLimit = 30, 100, 600 }, false},
		{"memory not checked", func(d *waitqueue.Demand) { d.MinPrefill, d.Memory = 30, 0 }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			changed := base
			test.change(&changed)
			g.Expect(changed.AtLeast(base)).To(Equal(test.atLeast))
			least := base.Least(changed)
			g.Expect(base.AtLeast(least)).To(BeTrue())
			g.Expect(changed.AtLeast(least)).To(Equal(changed.Class == base.Class))
			var shortfall waitqueue.Shortfall
			shortfall.Add(base)
			g.Expect(shortfall.Includes(changed)).To(Equal(test.atLeast))
		})
	}
}
