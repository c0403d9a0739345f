// Package answerid makes the names of answers.
//
// A name says where the run is, so that any entry box can take up the answer
// without asking another, and it is authenticated together with the
// organisation, so that no organisation can name another's run. The name holds
// no key and no prompt.
package answerid

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/safepack"
)

// Prefix begins every answer name.
const Prefix = "ans_"

// macBytes is the length of the authenticator.
const macBytes = 16

// maxNameBytes bounds the names that are looked at.
const maxNameBytes = 1024

// ErrInvalid says that a name is not one of ours, or is another
// organisation's; the two are not told apart.
var ErrInvalid = merry.Sentinel("no such answer")

// Reference is where a run is.
type Reference struct {
	Server  string `msgpack:"s"`
	RunID   string `msgpack:"r"`
	Weights string `msgpack:"w"`
	Stream  bool   `msgpack:"t"`
}

// Keys authenticates names. The first key makes new ones; all are accepted, so
// that keys can be rotated while old names are in use.
type Keys struct {
	keys [][]byte
}

// minKeyBytes is the shortest key that is accepted.
const minKeyBytes = 16

// NewKeys checks and takes over the keys, newest first.
func NewKeys(keys [][]byte) (Keys, error) {
	if len(keys) == 0 {
		return Keys{}, merry.New("at least one answer key is needed")
	}
	for i, key := range keys {
		if len(key) < minKeyBytes {
			return Keys{}, merry.Errorf("answer key %d has fewer than %d bytes", i+1, minKeyBytes)
		}
	}
	return Keys{keys: keys}, nil
}

// Encode gives the name of an organisation's run.
func (k Keys) Encode(organisation string, reference Reference) (string, error) {
	payload, err := msgpack.Marshal(&reference)
	if err != nil {
		return "", merry.Wrap(err)
	}
	sealed := append(mac(k.keys[0], organisation, payload), payload...)
	return Prefix + base64.RawURLEncoding.EncodeToString(sealed), nil
}

// Decode reads a name on behalf of an organisation.
func (k Keys) Decode(organisation, name string) (Reference, error) {
	text, ok := strings.CutPrefix(name, Prefix)
	if !ok || len(name) > maxNameBytes {
		return Reference{}, ErrInvalid
	}
	sealed, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(sealed) <= macBytes {
		return Reference{}, ErrInvalid
	}
	if !k.authentic(organisation, sealed[:macBytes], sealed[macBytes:]) {
		return Reference{}, ErrInvalid
	}
	var reference Reference
	if err := safepack.Unmarshal(sealed[macBytes:], &reference); err != nil {
		return Reference{}, ErrInvalid
	}
	return reference, nil
}

func (k Keys) authentic(organisation string, given, payload []byte) bool {
	for _, key := range k.keys {
		if hmac.Equal(given, mac(key, organisation, payload)) {
			return true
		}
	}
	return false
}

func mac(key []byte, organisation string, payload []byte) []byte {
	hash := hmac.New(sha256.New, key)
	hash.Write([]byte(organisation))
	hash.Write([]byte{0})
	hash.Write(payload)
	return hash.Sum(nil)[:macBytes]
}
