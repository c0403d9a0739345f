// Package configlog derives the configuration in force from the records of the platform's log.
//
// Changes use optimistic concurrency control, and the order of records in the log is the only
// arbiter. Each change contains the version that it was based on; a change whose base is not
// the version in force is rejected. Of two operators who race, exactly one succeeds, and every
// process that reads the log reaches the same result without communicating with the others.
//
//	offset  record                 version in force after it
//	0       change, base -1        0
//	1       change, base 0 (Ann)   1
//	2       change, base 0 (Ben)   1   rejected: Ann's change came first
//	3       checkpoint as of 2     1   contains the state after records 0..2
//
// Records expire. A reader can start from a checkpoint without the records before it, but only
// while the log still stores the record after the checkpoint's "as of" offset. The reader then
// applies all records from there: those between "as of" and the checkpoint's own offset count
// like any others.
package configlog

import (
	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/safepack"
)

// Stream is the name of the configuration stream in the log.
const Stream = "config"

// Kind is the kind of a record.
type Kind uint8

const (
	// KindChange is an operator's change based on a version.
	KindChange Kind = 1
	// KindCheckpoint contains the whole configuration as of an offset.
	KindCheckpoint Kind = 2
)

// Record is one entry of the configuration stream.
type Record struct {
	Kind Kind `msgpack:"k"`
	// ApplyID identifies the apply operation, so that its change can be found in the log if the
	// append returned no response.
	ApplyID string `msgpack:"a,omitempty"`
	// BaseVersion is the version that a change was based on.
	BaseVersion int64 `msgpack:"b"`
	// Change holds the entries that a change sets and removes.
	Change config.Change `msgpack:"c"`
	// Digest is the digest of the whole configuration after the change.
	Digest config.Digest `msgpack:"d"`
	// Version, AsOf and Entries are set in checkpoints: the version in force after the record
	// at AsOf, and its content.
	Version int64          `msgpack:"v,omitempty"`
	AsOf    int64          `msgpack:"o,omitempty"`
	Entries config.Entries `msgpack:"e,omitempty"`
}

// The first byte of an encoded record identifies its compression. Without compression,
// checkpoints of 10,000 organisations would not fit into a log record.
const (
	encodingPlain byte = 0
	encodingZstd  byte = 1
)

// compressAbove is the size, in bytes, from which records are compressed; for smaller ones
// compression is not worth its time.
const compressAbove = 16 << 10

// maxDecompressedBytes bounds the size of a record after decompression, so that a corrupt
// record cannot exhaust the memory.
const maxDecompressedBytes = 64 << 20

// Encode encodes the record for the log.
func (r Record) Encode() ([]byte, error) {
	data, err := msgpack.Marshal(&r)
	if err != nil {
		return nil, merry.Prepend(err, "encode configuration record")
	}
	if len(data) < compressAbove {
		return append([]byte{encodingPlain}, data...), nil
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return encoder.EncodeAll(data, []byte{encodingZstd}), nil
}

// Decode decodes a record of the log.
func Decode(data []byte) (Record, error) {
	data, err := decompress(data)
	if err != nil {
		return Record{}, merry.Prepend(err, "decompress configuration record")
	}
	var record Record
	if err := safepack.Unmarshal(data, &record); err != nil {
		return Record{}, merry.Prepend(err, "decode configuration record")
	}
	if record.Kind != KindChange && record.Kind != KindCheckpoint {
		return Record{}, merry.Errorf("unknown kind %d of configuration record", record.Kind)
	}
	return record, nil
}

func decompress(data []byte) ([]byte, error) {
	if len(data) == 0 {
		return nil, merry.New("empty record")
	}
	if data[0] == encodingPlain {
		return data[1:], nil
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecompressedBytes))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer decoder.Close()
	return decoder.DecodeAll(data[1:], nil)
}
