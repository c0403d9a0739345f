// Package answerid encodes and decodes answer IDs.
//
// An answer ID contains the location of the run, so that any entry box can resume the answer without
// contacting another. It is authenticated (HMAC-SHA256) together with the organisation, so that no
// organisation can access another's run. The ID contains no API key and no part of the prompt.
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

// Prefix is the prefix of every answer ID.
const Prefix = "ans_"

// macBytes is the length of the truncated HMAC.
const macBytes = 16

// maxNameBytes bounds the length of IDs that are decoded.
const maxIDBytes = 1024

// ErrInvalid is returned for an ID that is malformed, was not created with one of the keys, or belongs
// to another organisation. The error does not reveal which.
var ErrInvalid = merry.Sentinel("no such answer")

// Reference is the location of a run.
type Reference struct {
	Server  string `msgpack:"s"`
	RunID   string `msgpack:"r"`
	Weights string `msgpack:"w"`
	Stream  bool   `msgpack:"t"`
}

// Keys holds the keys that authenticate answer IDs. New IDs are created with the first key; IDs created
// with any of the keys are accepted, so that keys can be rotated while old IDs are in use.
type Keys struct {
	keys [][]byte
}

// minKeyBytes is the minimum length of a key.
const minKeyBytes = 16

// NewKeys validates the keys, newest first. It does not copy them.
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

// Encode returns the answer ID of an organisation's run.
func (k Keys) Encode(organisation string, reference Reference) (string, error) {
	payload, err := msgpack.Marshal(&reference)
	if err != nil {
		return "", merry.Wrap(err)
	}
	token := append(mac(k.keys[0], organisation, payload), payload...)
	return Prefix + base64.RawURLEncoding.EncodeToString(token), nil
}

// Decode verifies an answer ID that was sent by an organisation and returns the location of the run.
func (k Keys) Decode(organisation, id string) (Reference, error) {
	text, ok := strings.CutPrefix(id, Prefix)
	if !ok || len(id) > maxIDBytes {
		return Reference{}, ErrInvalid
	}
	token, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(token) <= macBytes {
		return Reference{}, ErrInvalid
	}
	if !k.isAuthentic(organisation, token[:macBytes], token[macBytes:]) {
		return Reference{}, ErrInvalid
	}
	var reference Reference
	if err := safepack.Unmarshal(token[macBytes:], &reference); err != nil {
		return Reference{}, ErrInvalid
	}
	return reference, nil
}

func (k Keys) isAuthentic(organisation string, tag, payload []byte) bool {
	for _, key := range k.keys {
		if hmac.Equal(tag, mac(key, organisation, payload)) {
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
