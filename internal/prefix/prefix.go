// Package prefix computes the keys of the blocks of a prompt in the prefix cache, by which
// processes refer to stored context without sending it.
//
// The keys form a hash chain: a block's key is a hash of the block and of the key of the
// block before it, and the chain starts with a salt of the organisation, the model and
// the weight version. A key therefore identifies the whole prompt up to the end of its
// block, for one organisation and one version. Context of another organisation or
// version never matches, whatever its text.
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

// BytesPerToken is the approximate length of a token. The entry box has no tokenizer. Only
// estimates of work depend on this length; which blocks match does not.
const BytesPerToken = 4

// BlockTokens is the length of a block in tokens.
const BlockTokens = 256

// BlockBytes is the length of a block in bytes of prompt.
const BlockBytes = BlockTokens * BytesPerToken

// Key identifies a block and all blocks before it.
type Key [16]byte

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// Short returns the first 8 bytes of the key. They are enough for a hint that is verified
// later.
func (k Key) Short() uint64 { return binary.BigEndian.Uint64(k[:8]) }

// MarshalText returns the key in hexadecimal, the form of keys in JSON.
func (k Key) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText parses a key in hexadecimal.
func (k *Key) UnmarshalText(text []byte) error {
	raw, err := hex.DecodeString(string(text))
	if err != nil || len(raw) != len(k) {
		return merry.Errorf("a block key has %d hexadecimal digits", 2*len(k))
	}
	copy(k[:], raw)
	return nil
}

// Salt is the start value of a chain.
type Salt [16]byte

// String returns the salt in hexadecimal, the form in which it is sent to engines.
func (s Salt) String() string { return hex.EncodeToString(s[:]) }

// NewSalt computes the salt of an organisation, model and weight version. Each part is
// hashed together with its length, so that ("ab", "c") and ("a", "bc") differ.
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

// ParseSalt parses a salt in hexadecimal.
func ParseSalt(text string) (Salt, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(Salt{}) {
		return Salt{}, merry.Errorf("a cache salt has %d hexadecimal digits", 2*len(Salt{}))
	}
	return Salt(raw), nil
}

// Chain contains the keys of the complete blocks of one prompt.
type Chain struct {
	keys   []Key
	tokens int
}

// NewChain computes the keys of the blocks of a prompt. The rest after the last complete
// block has no key and is always recomputed.
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

// Keys returns the keys in prompt order.
func (c Chain) Keys() []Key { return c.keys }

// Tokens estimates the length of the whole prompt in tokens.
func (c Chain) Tokens() int { return c.tokens }

// IsIndexedDepth reports whether indexes contain the keys of blocks at a depth, the number of
// blocks up to and including the block. Two depths for each power of two are enough to
// determine the cached part of a prompt to within a third, with a small fraction of the
// memory:
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
