// Package prefix names the blocks of a prompt, so that two processes can speak
// of the same kept context without sending it.
//
// A block's key is a hash over the block and the key of the block before it,
// and the chain begins with the organisation, the model and the weight version.
// A key therefore stands for the whole prompt up to and including its block,
// for one organisation and one version: context of another organisation or
// version cannot match, whatever its text.
//
//	salt(org, model, v1) ── block 0 ── key 0 ── block 1 ── key 1 ── …
//	salt(org, model, v2) ── block 0 ── another key 0 ── …
package prefix

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/ansel1/merry/v2"
)

// BytesPerToken is the rough length of a token. The entry box has no tokenizer;
// only estimates of work depend on it, never what matches.
const BytesPerToken = 4

// BlockTokens is the length of a block in tokens.
const BlockTokens = 256

// BlockBytes is the length of a block in bytes of prompt.
const BlockBytes = BlockTokens * BytesPerToken

// Key names a block and all before it.
type Key [16]byte

// String gives the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Short gives 8 bytes of the key, enough for a hint that is checked later.
func (k Key) Short() uint64 { return binary.BigEndian.Uint64(k[:8]) }

// MarshalText gives the key to JSON in hexadecimal.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads a key from hexadecimal.
func (k *Key) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(k) {
		return merry.Errorf("a block key has %d hexadecimal digits", 2*len(k))
	}
	copy(k[:], raw)
	return nil
}

// Salt is the beginning of a chain.
type Salt [16]byte

// String gives the salt in hexadecimal, the form in which engines take it.
func (s Salt) String() string { return hex.EncodeToString(s[:]) }

// NewSalt derives the salt of an organisation, model and weight version. Each
// part is hashed with its length, so that ("ab", "c") and ("a", "bc") differ.
func NewSalt(organisation, model, weights string) Salt {
	hash := sha256.New()
	for _, part := range []string{organisation, model, weights} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write([]byte(part))
	}
	return Salt(hash.Sum(nil)[:len(Salt{})])
}

// ParseSalt reads a salt from hexadecimal.
func ParseSalt(text string) (Salt, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(Salt{}) {
		return Salt{}, merry.Errorf("a cache salt has %d hexadecimal digits", 2*len(Salt{}))
	}
	return Salt(raw), nil
}

// Chain holds the keys of the whole blocks of one prompt.
type Chain struct {
	keys   []Key
	tokens int
}

// NewChain names the blocks of a prompt. The part after the last whole block
// has no key: it is always computed anew.
func NewChain(salt Salt, prompt []byte) Chain {
	chain := Chain{
		keys:   make([]Key, 0, len(prompt)/BlockBytes),
		tokens: (len(prompt) + BytesPerToken - 1) / BytesPerToken,
	}
	buffer := make([]byte, len(Key{})+BlockBytes)
	copy(buffer, salt[:])
	for len(prompt) >= BlockBytes {
		copy(buffer[len(Key{}):], prompt[:BlockBytes])
		sum := sha256.Sum256(buffer)
		key := Key(sum[:len(Key{})])
		chain.keys = append(chain.keys, key)
		copy(buffer, key[:])
		prompt = prompt[BlockBytes:]
	}
	return chain
}

// Keys gives the keys in prompt order.
func (c Chain) Keys() []Key { return c.keys }

// Tokens estimates the length of the whole prompt in tokens.
func (c Chain) Tokens() int { return c.tokens }

// IsIndexedDepth reports whether the key after so many blocks is kept in indexes. Two
// depths an octave are enough to tell how much of a prompt is warm to within a
// third, at a small part of the memory:
//
//	1 2 3 4 6 8 12 16 24 32 48 64 96 128 …
func IsIndexedDepth(depth int) bool {
	if depth <= 0 {
		return false
	}
	for depth > 3 && depth%2 == 0 {
		depth /= 2
	}
	return depth <= 3
}
