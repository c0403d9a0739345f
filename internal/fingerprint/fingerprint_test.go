package fingerprint_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/fingerprint"
)

func request() fingerprint.Request {
	return fingerprint.Request{Caller: "north", Method: "POST", Host: "h.example", Target: "/quick/1", Body: []byte("body")}
}

func TestTheSameRequestHasTheSameFingerprint(t *testing.T) {
	g := NewWithT(t)
	g.Expect(fingerprint.Of(request())).To(Equal(fingerprint.Of(request())))
}

func TestDifferentRequestsHaveDifferentFingerprints(t *testing.T) {
	tests := []struct {
		name   string
		change func(*fingerprint.Request)
	}{
		{"another caller", func(r *fingerprint.Request) { r.Caller = "south" }},
		{"no caller", func(r *fingerprint.Request) { r.Caller = "" }},
		{"another method", func(r *fingerprint.Request) { r.Method = "PUT" }},
		{"another host", func(r *fingerprint.Request) { r.Host = "i.example" }},
		{"another path", func(r *fingerprint.Request) { r.Target = "/quick/2" }},
		{"another body", func(r *fingerprint.Request) { r.Body = []byte("other") }},
		{"no body", func(r *fingerprint.Request) { r.Body = nil }},
		{"the end of the path moved to the body", func(r *fingerprint.Request) { r.Target, r.Body = "/quick/", []byte("1body") }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			other := request()
			test.change(&other)
			g.Expect(fingerprint.Of(other)).NotTo(Equal(fingerprint.Of(request())))
		})
	}
}

// BenchmarkOf measures the time for a call with a long prompt.
func BenchmarkOf(b *testing.B) {
	long := request()
	long.Body = bytes.Repeat([]byte("x"), 20<<10)
	b.SetBytes(int64(len(long.Body)))
	for b.Loop() {
		fingerprint.Of(long)
	}
}
