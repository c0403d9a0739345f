// Package fingerprint tells whether two calls are the same request: the same caller asks the
// same path of the same host in the same way, with the same body. Callers give each sending an
// id of its own, so ids do not tell.
//
// A fingerprint is a keyed hash, and the caller is its key. So nobody can make a call that has
// the fingerprint of another caller's, and nothing of a body can be read from it. Bodies are
// not kept for it.
package fingerprint

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
)

// size is the length of a fingerprint in bytes: too long for two requests to share one by
// chance or by search.
const size = 16

// Fingerprint names a request.
type Fingerprint [size]byte

// shownBytes is how much of a fingerprint stands in logs.
const loggedBytes = 8

// String gives enough of it to find its lines in logs.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:loggedBytes]) }

// Request is what makes a request the same as another.
type Request struct {
	// Caller is the organisation that the call belongs to; empty where anybody may call.
	Caller string
	Method string
	Host   string
	// Target is the path and query as the caller sent them.
	Target string
	Body   []byte
}

// Of gives the fingerprint of a request.
func Of(request Request) Fingerprint {
	mac := hmac.New(sha256.New, []byte(request.Caller))
	for _, text := range []string{request.Method, request.Host, request.Target} {
		writeField(mac, []byte(text))
	}
	writeField(mac, request.Body)
	return Fingerprint(mac.Sum(nil)[:size])
}

// add adds a field with its length, so that no two requests run together to the same bytes.
func writeField(mac hash.Hash, field []byte) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(field)))
	for _, part := range [][]byte{length[:], field} {
		_, _ = mac.Write(part) // a hash takes everything
	}
}
