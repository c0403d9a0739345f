// Package review runs requests that can wait, such as long reviews, and delivers exactly one
// result for each of them.
//
// A review is accepted only once it is in the platform's log. From then on every entry box
// reads it from the log, so that it survives the crash of all boxes. Boxes distribute the
// reviews by rendezvous hashing over the boxes that they consider live. When these sets differ,
// two boxes may run the same review, which is harmless: the first end in log order is the
// review's end for all boxes.
//
//	offset  record                     review R
//	10      accepted, part 1 of 2
//	11      accepted, part 2 of 2      queued
//	12      completed by box a         completed with a's response
//	13      completed by box b         ignored
//
// Records expire, so a record that is still needed is appended again before that. The copy
// contains the offset of the original: "first in log order" always compares the offsets of
// originals.
package review

import (
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"
	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/safepack"
)

// Stream is the name of the reviews' stream in the log.
const Stream = "reviews"

// Kind is the kind of a record.
type Kind uint8

const (
	// KindAccepted adds a review with its request.
	KindAccepted Kind = 1
	// KindCompleted ends a review with its response.
	KindCompleted Kind = 2
	// KindFailed ends a review that cannot be answered.
	KindFailed Kind = 3
	// KindCancelled ends a review whose response the organisation no longer wants.
	KindCancelled Kind = 4
	// KindDeleted removes a review at the organisation's request.
	KindDeleted Kind = 5
)

// isEnd reports whether records of this kind end a review.
func (k Kind) isEnd() bool {
	return k == KindCompleted || k == KindFailed || k == KindCancelled
}

// original is the value of Record.CopyOf in a record that is not a copy.
const original int64 = -1

// Record is one record of the stream. A content that does not fit into one record is split into
// several with the same ContentID.
type Record struct {
	Kind Kind `msgpack:"k"`
	// ContentID identifies the content that the record is a part of; every append has a new
	// one.
	ContentID uuid.UUID `msgpack:"s"`
	PartIndex int       `msgpack:"p"`
	PartCount int       `msgpack:"n"`
	// CopyOf is the offset of the first part of the original content, if this is a copy.
	CopyOf int64 `msgpack:"r"`
	// Meta describes the review. Every record includes it, so that each can be read without the
	// others.
	Meta Meta `msgpack:"m"`
	// Content is a part of the compressed request or response.
	Content []byte `msgpack:"c,omitempty"`
}

// Meta describes a review without its request.
type Meta struct {
	ID           string    `msgpack:"i"`
	Organisation string    `msgpack:"o"`
	Model        string    `msgpack:"m"`
	AcceptedAt   time.Time `msgpack:"a"`
	// Deadline is zero for a review without one.
	Deadline time.Time `msgpack:"d"`
	// Digest is the hash of the request. It recognises callers that send it again.
	Digest [32]byte `msgpack:"h"`
	// Metadata is caller-defined JSON.
	Metadata []byte `msgpack:"x,omitempty"`
	// Reason is why the review failed.
	Reason string `msgpack:"f,omitempty"`
}

func (r Record) encode() ([]byte, error) {
	data, err := msgpack.Marshal(&r)
	if err != nil {
		return nil, merry.Prepend(err, "encode review")
	}
	return data, nil
}

func decode(data []byte) (Record, error) {
	var record Record
	if err := safepack.Unmarshal(data, &record); err != nil {
		return Record{}, merry.Prepend(err, "decode review")
	}
	if record.Kind < KindAccepted || record.Kind > KindDeleted || record.PartCount < 1 || record.PartIndex < 0 || record.PartIndex >= record.PartCount || record.Meta.ID == "" {
		return Record{}, merry.New("invalid review record")
	}
	return record, nil
}

// partBytes is the size of the parts that contents are split into.
const partBytes = 512 << 10

// maxContentBytes bounds the size of a content after decompression.
const maxContentBytes = 64 << 20

// split splits a content into records.
func split(kind Kind, meta Meta, repeats int64, packed []byte) []Record {
	parts := max(1, (len(packed)+partBytes-1)/partBytes)
	contentID := uuid.New()
	records := make([]Record, parts)
	for i := range records {
		begin := min(i*partBytes, len(packed))
		end := min(begin+partBytes, len(packed))
		records[i] = Record{Kind: kind, ContentID: contentID, PartIndex: i, PartCount: parts, CopyOf: repeats, Meta: meta, Content: packed[begin:end]}
	}
	return records
}

func pack(content []byte) ([]byte, error) {
	if len(content) == 0 {
		return nil, nil
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return encoder.EncodeAll(content, nil), nil
}

func unpack(packed []byte) ([]byte, error) {
	if len(packed) == 0 {
		return nil, nil
	}
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxContentBytes))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer decoder.Close()
	content, err := decoder.DecodeAll(packed, nil)
	if err != nil {
		return nil, merry.Prepend(err, "decompress review")
	}
	return content, nil
}
