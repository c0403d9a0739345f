// Package storebox is the client of store boxes, which keep blocks of context in memory and on
// disk.
//
// A block that is freed or only partly written must never be read. So a block is written, then
// sealed, then named, in that order, and a reader checks the block against everything that the
// lookup of its name returned:
//
//	POST   /v1/blocks                     → slot and generation
//	PUT    /v1/blocks/{slot}?generation=G   the bytes
//	POST   /v1/blocks/{slot}/seal           length and digest, refused if the bytes differ
//	PUT    /v1/names/{key}                  slot, generation, length, digest
//	GET    /v1/names/{key}                → the same
//	GET    /v1/blocks/{slot}?generation=G → the bytes, refused for another generation
//	GET    /v1/names?least_recent=N       → the N least recently looked up names
//	DELETE /v1/names/{key}                  increments the generation before the slot is freed
//
// The store box rejects what it can detect, and the reader checks length and digest again, since a
// store box may be faulty. Every failure is treated as a miss, never as a block.
package storebox

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/prefix"
	"github.com/cometlock/cometlock/internal/strictclient"
)

// Errors of a store box.
var (
	// ErrMiss means that the block cannot be read, for whatever reason.
	ErrMiss = merry.Sentinel("the store box does not have the block")
	// ErrFull means that there is no space for the block.
	ErrFull = merry.Sentinel("the store box is full")
)

// Digest is the SHA-256 hash of a block.
type Digest [sha256.Size]byte

// Slot identifies a block's place in a store box.
type Slot struct {
	Slot       int64 `json:"slot"`
	Generation int64 `json:"generation"`
}

// Name is the entry of a named block: its place, and the length and digest that it must have.
type Name struct {
	Slot
	Length int64  `json:"length"`
	Digest []byte `json:"digest"`
}

// ClientConfig configures a Client.
type ClientConfig struct {
	// Timeout bounds one call.
	Timeout time.Duration
}

// DefaultTimeout is the Timeout if none is set.
const DefaultTimeout = 2 * time.Second

// Client reads and writes blocks.
type Client struct {
	http http.Client
}

// NewClient returns a client; it connects on first use.
func NewClient(cfg ClientConfig) *Client {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	return &Client{http: http.Client{Timeout: cfg.Timeout, Transport: strictclient.New(&http.Transport{MaxIdleConnsPerHost: 16})}}
}

// Put writes a block and names it. If the name already has a block, that block is kept.
func (c *Client) Put(ctx context.Context, address string, key prefix.Key, data []byte) error {
	base := "http://" + address
	var slot Slot
	if err := c.call(ctx, http.MethodPost, base+"/v1/blocks", nil, &slot); err != nil {
		return err
	}
	block := fmt.Sprintf("%s/v1/blocks/%d", base, slot.Slot)
	if err := c.call(ctx, http.MethodPut, fmt.Sprintf("%s?generation=%d", block, slot.Generation), data, nil); err != nil {
		return err
	}
	digest := sha256.Sum256(data)
	name := Name{Slot: slot, Length: int64(len(data)), Digest: digest[:]}
	body, err := json.Marshal(name)
	if err != nil {
		return merry.Wrap(err)
	}
	if err := c.call(ctx, http.MethodPost, block+"/seal", body, nil); err != nil {
		return err
	}
	return c.call(ctx, http.MethodPut, base+"/v1/names/"+key.String(), body, nil)
}

// Get reads a block. It returns ErrMiss unless the block is complete and the one that has the name.
func (c *Client) Get(ctx context.Context, address string, key prefix.Key) ([]byte, error) {
	base := "http://" + address
	var name Name
	if err := c.call(ctx, http.MethodGet, base+"/v1/names/"+key.String(), nil, &name); err != nil {
		return nil, merry.Wrap(ErrMiss, merry.AppendMessage(err.Error()))
	}
	data, err := c.read(ctx, fmt.Sprintf("%s/v1/blocks/%d?generation=%d", base, name.Slot.Slot, name.Generation))
	if err != nil {
		return nil, merry.Wrap(ErrMiss, merry.AppendMessage(err.Error()))
	}
	digest := sha256.Sum256(data)
	if int64(len(data)) != name.Length || !bytes.Equal(digest[:], name.Digest) {
		return nil, merry.Wrap(ErrMiss, merry.AppendMessage("the block does not match the length and digest of its name"))
	}
	return data, nil
}

// Free deletes a block's name and frees its space.
func (c *Client) Free(ctx context.Context, address string, key prefix.Key) error {
	return c.call(ctx, http.MethodDelete, "http://"+address+"/v1/names/"+key.String(), nil, nil)
}

// LeastRecent returns the names that were looked up least recently.
func (c *Client) LeastRecent(ctx context.Context, address string, count int) ([]prefix.Key, error) {
	var keys []prefix.Key
	err := c.call(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/names?least_recent=%d", address, count), nil, &keys)
	return keys, err
}

const (
	// maxBlockBytes bounds a block.
	maxBlockBytes = 64 << 20
	// maxReplyBytes bounds a reply that is no block. The longest ones name some dozens of blocks.
	maxReplyBytes = 64 << 10
)

func (c *Client) call(ctx context.Context, method, target string, body []byte, answer any) error {
	data, err := c.do(ctx, method, target, body, maxReplyBytes)
	if err != nil || answer == nil {
		return err
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return merry.Prepend(err, "the store box sent an invalid response")
	}
	return nil
}

func (c *Client) read(ctx context.Context, target string) ([]byte, error) {
	return c.do(ctx, http.MethodGet, target, nil, maxBlockBytes)
}

// do sends a request and returns the body of the response, of at most maxBytes.
func (c *Client) do(ctx context.Context, method, target string, body []byte, maxBytes int64) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusNoContent {
		return readAll(response.Body, maxBytes)
	}
	// A connection can be reused only after the body has been read. Errors do not matter here.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxReplyBytes))
	if response.StatusCode == http.StatusInsufficientStorage {
		return nil, ErrFull
	}
	return nil, merry.Errorf("the store box responded with status %d", response.StatusCode)
}

func readAll(body io.Reader, maxBytes int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, maxBytes+1))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if int64(len(data)) > maxBytes {
		return nil, merry.Errorf("the store box sent more than %d bytes", maxBytes)
	}
	return data, nil
}

// IsFull reports whether an error means that a store box has no space.
func IsFull(err error) bool { return errors.Is(err, ErrFull) }
