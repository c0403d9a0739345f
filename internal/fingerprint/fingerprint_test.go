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
		{"of another caller", func(r *fingerprint.Request) { r.Caller = "south" }},
		{"of nobody", func(r *fingerprint.Request) { r.Caller = "" }},
		{"by another method", func(r *fingerprint.Request) { r.Method = "PUT" }},
		{"to another host", func(r *fingerprint.Request) { r.Host = "i.example" }},
		{"to another path", func(r *fingerprint.Request) { r.Target = "/quick/2" }},
		{"with another body", func(r *fingerprint.Request) { r.Body = []byte("other") }},
		{"without a body", func(r *fingerprint.Request) { r.Body = nil }},
		{"whose path goes on in the body", func(r *fingerprint.Request) { r.Target, r.Body = "/quick/", []byte("1body") }},
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

// BenchmarkOf is the cost of a long prompt's call.
func BenchmarkOf(b *testing.B) {
	long := request()
	long.Body = bytes.Repeat([]byte("x"), 20<<10)
	b.SetBytes(int64(len(long.Body)))
	for b.Loop() {
		fingerprint.Of(long)
	}
}
