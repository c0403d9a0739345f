package fakeengine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cometlock/cometlock/internal/engine"
	"github.com/cometlock/cometlock/internal/prefix"
	"github.com/cometlock/cometlock/internal/storebox"
)

// blockRepeats is how often the key is repeated in the content of a block, so that
// a block is a little larger than its key.
const blockRepeats = 8

// blockData returns the content of a block. It is a function of the key, so that the
// engine detects the content of another block.
func blockData(key prefix.Key) []byte { return bytes.Repeat(key[:], blockRepeats) }

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	e.serveTransfer(w, r, e.importBlocks)
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	e.serveTransfer(w, r, e.exportBlocks)
}

func (e *Engine) serveTransfer(w http.ResponseWriter, r *http.Request, move func(context.Context, engine.Transfer) engine.TransferResult) {
	var transfer engine.Transfer
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&transfer); err != nil {
		writeError(w, http.StatusBadRequest, "the body is not a transfer")
		return
	}
	writeJSON(w, http.StatusOK, move(r.Context(), transfer))
}

// importBlocks fetches blocks in order, up to the first miss, since a block is
// useless without the blocks before it.
func (e *Engine) importBlocks(ctx context.Context, transfer engine.Transfer) engine.TransferResult {
	var result engine.TransferResult
	for _, key := range transfer.Keys {
		data, err := e.stores.Get(ctx, transfer.Store, key)
		if err != nil {
			break
		}
		if !bytes.Equal(data, blockData(key)) {
			e.mu.Lock()
			e.ledger.WrongBlocks++
			e.mu.Unlock()
			break
		}
		result.Blocks++
		result.Bytes += int64(len(data))
	}
	e.cache.store(transfer.Keys[:result.Blocks])
	return result
}

// exportBlocks writes the cached blocks to the store box, up to the first one that
// it cannot store.
func (e *Engine) exportBlocks(ctx context.Context, transfer engine.Transfer) engine.TransferResult {
	var result engine.TransferResult
	for _, key := range e.cache.cachedKeys(transfer.Keys) {
		data := blockData(key)
		if err := e.stores.Put(ctx, transfer.Store, key, data); err != nil {
			result.Full = storebox.IsFull(err)
			break
		}
		result.Blocks++
		result.Bytes += int64(len(data))
	}
	return result
}
