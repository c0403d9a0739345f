// Package configlog turns the records of the platform's log into the version
// of the configuration that is in force.
//
// The order of records in the log decides everything. Each change names the
// version it was made against; the fold drops a change whose base is not the
// version in force, so of two operators who race, exactly one wins, and every
// process that reads the log comes to the same result without talking to any
// other.
//
//	offset  record                 version in force after it
//	0       change, base -1        0
//	1       change, base 0 (Ann)   1
//	2       change, base 0 (Ben)   1   void: Ann's change came first
//	3       checkpoint as of 2     1   says what the fold of 0..2 gave
//
// Records expire. A checkpoint lets a reader start without the records before
// it, but only while the log still holds the record after the checkpoint's
// "as of" offset, and the reader then folds everything from there: what came
// between "as of" and the checkpoint's own offset counts like any other record.
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

// Kind tells the kinds of records apart.
type Kind uint8

const (
	// KindChange is an operator's change against a base version.
	KindChange Kind = 1
	// KindCheckpoint states the whole configuration as of an offset.
	KindCheckpoint Kind = 2
)

// Record is one entry of the configuration stream.
type Record struct {
	Kind Kind `msgpack:"k"`
	// ApplyID names the operator's apply, so that a lost answer can be looked up.
	ApplyID string `msgpack:"a,omitempty"`
	// BaseVersion is the version that a change was made against.
	BaseVersion int64 `msgpack:"b"`
	// Change is what a change alters.
	Change config.Change `msgpack:"c"`
	// Digest is the digest of the whole result.
	Digest config.Digest `msgpack:"d"`
	// Version, AsOf and Entries belong to a checkpoint: the version in force
	// after folding the record at AsOf, and its content.
	Version int64          `msgpack:"v,omitempty"`
	AsOf    int64          `msgpack:"o,omitempty"`
	Entries config.Entries `msgpack:"e,omitempty"`
}

// The first byte of an encoded record says how the rest is packed. Checkpoints
// of 10,000 organisations would not fit a log record unpacked.
const (
	encodingPlain byte = 0
	encodingZstd  byte = 1
)

// packAbove is the size in bytes from which packing is worth its time.
const compressAbove = 16 << 10

// maxUnpackedBytes bounds what a record may unpack to, so that a damaged record
// cannot fill the memory.
const maxDecompressedBytes = 64 << 20

// Encode gives the bytes for the log.
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

// Decode reads the bytes of a log record.
func Decode(data []byte) (Record, error) {
	data, err := decompress(data)
	if err != nil {
		return Record{}, merry.Prepend(err, "unpack configuration record")
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
