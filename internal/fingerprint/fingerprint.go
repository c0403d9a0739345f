// Package fingerprint identifies repeated requests: two calls have the same fingerprint if
// caller, method, host, path and body are the same. Request IDs cannot be used for this, since
// callers assign a new ID each time they send a request.
//
// A fingerprint is a keyed hash with the caller as the key. So no caller can make a call that
// has the fingerprint of another caller's call, and a fingerprint reveals nothing about the
// body. Bodies are not stored.
package fingerprint

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// size is the length of a fingerprint in bytes. It is long enough that collisions neither
// occur by chance nor can be found by search.
const size = 16

// Fingerprint identifies a request.
type Fingerprint [size]byte

// loggedBytes is the number of bytes of a fingerprint that are written to logs.
const loggedBytes = 8

// String returns the first loggedBytes bytes in hexadecimal, enough to find the fingerprint's
// lines in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:loggedBytes]) }

// Request contains the parts of a request that the fingerprint depends on.
type Request struct {
	// Caller is the organisation that sends the call; empty if anyone may send it.
	Caller string
	Method string
	Host   string
	// Target is the path and query as the caller sent them.
	Target string
	Body   []byte
}

// Of returns the fingerprint of a request.
func Of(request Request) Fingerprint {
	mac := hmac.New(sha256.New, []byte(request.Caller))
	for _, text := range []string{request.Method, request.Host, request.Target} {
		writeField(mac, []byte(text))
	}
	writeField(mac, request.Body)
	return Fingerprint(mac.Sum(nil)[:size])
}

// Part contains what the fingerprint of a prompt part depends on.
type Part struct {
	// Isolated is the organisation whose parts are kept apart from those of others; empty for the parts
	// that organisations share.
	Isolated string
	Service  string
	Model    string
	ID       string
}

// OfPart returns the fingerprint of a prompt part. It differs from that of any request.
func OfPart(part Part) Fingerprint {
	mac := hmac.New(sha256.New, []byte(part.Isolated))
	for _, text := range []string{part.Service, part.Model, part.ID} {
		writeField(mac, []byte(text))
	}
	return Fingerprint(mac.Sum(nil)[:size])
}

// writeField writes the length of a field and the field, so that different requests never
// have the same input to the hash.
func writeField(mac hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	for _, part := range [][]byte{length[:], field} {
		_, _ = mac.Write(part) // Write of a hash never returns an error
	}
}
