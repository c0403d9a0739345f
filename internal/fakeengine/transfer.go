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

// blockRepeats makes a stand-in's block a little larger than its key.
const blockRepeats = 8

// blockData is what the stand-in keeps for a block: a function of the key, so
// that it can tell another block's bytes when it gets them.
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
		refuse(w, http.StatusBadRequest, "the body is not a transfer")
		return
	}
	writeJSON(w, http.StatusOK, move(r.Context(), transfer))
}

// importBlocks fetches blocks in order, up to the first miss: a block without
// those before it serves nobody.
func (e *Engine) importBlocks(ctx context.Context, transfer engine.Transfer) engine.TransferResult {
	var answer engine.TransferResult
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
		answer.Blocks++
		answer.Bytes += int64(len(data))
	}
	e.cache.store(transfer.Keys[:answer.Blocks])
	return answer
}

// exportBlocks writes the blocks that the cache holds, up to the first that
// finds no room.
func (e *Engine) exportBlocks(ctx context.Context, transfer engine.Transfer) engine.TransferResult {
	var answer engine.TransferResult
	for _, key := range e.cache.holds(transfer.Keys) {
		data := blockData(key)
		if err := e.stores.Put(ctx, transfer.Store, key, data); err != nil {
			answer.Full = storebox.IsFull(err)
			break
		}
		answer.Blocks++
		answer.Bytes += int64(len(data))
	}
	return answer
}
