// Package review holds requests that can wait, such as long reviews, each of
// which must arrive exactly once.
//
// A review is accepted only once it is in the platform's log. From then on every
// entry box knows of it, because every box follows the log, and the death of all
// boxes loses nothing. Boxes share the reviews out by hashing over the boxes they
// believe to be live; when beliefs differ two boxes run the same review, which
// does no harm: the first end in log order is the review's end, for everyone.
//
//	offset  record                     review R
//	10      accepted, part 1 of 2
//	11      accepted, part 2 of 2      queued
//	12      completed by box a         completed with a's answer
//	13      completed by box b         void
//
// Records expire, so what is still needed is appended again in time. Such a
// record names the offset of the one it repeats: "first" always means first
// among the original ones.
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

// Kind tells the kinds of records apart.
type Kind uint8

const (
	// KindAccepted is a review with its request.
	KindAccepted Kind = 1
	// KindCompleted is the answer.
	KindCompleted Kind = 2
	// KindFailed says that the review cannot be answered.
	KindFailed Kind = 3
	// KindCancelled says that its organisation no longer wants the answer.
	KindCancelled Kind = 4
	// KindDeleted says that its organisation wants it forgotten.
	KindDeleted Kind = 5
)

// ends reports whether a kind ends a review.
func (k Kind) isEnd() bool {
	return k == KindCompleted || k == KindFailed || k == KindCancelled
}

// original is the value of Record.CopyOf in a record that repeats none.
const original int64 = -1

// Record is one record of the stream. Contents that do not fit one record are
// spread over several with the same ContentID.
type Record struct {
	Kind Kind `msgpack:"k"`
	// ContentID names the append that the record is a part of.
	ContentID uuid.UUID `msgpack:"s"`
	PartIndex int       `msgpack:"p"`
	PartCount int       `msgpack:"n"`
	// CopyOf is the offset of the first part of the records that these repeat.
	CopyOf int64 `msgpack:"r"`
	// Meta describes the review in every record, so that each stands alone.
	Meta Meta `msgpack:"m"`
	// Content is a part of the packed request or answer.
	Content []byte `msgpack:"c,omitempty"`
}

// Meta is what is known of a review without its request.
type Meta struct {
	ID           string    `msgpack:"i"`
	Organisation string    `msgpack:"o"`
	Model        string    `msgpack:"m"`
	AcceptedAt   time.Time `msgpack:"a"`
	// Deadline is zero for a review without one.
	Deadline time.Time `msgpack:"d"`
	// Digest identifies the request, for callers that send it again.
	Digest [32]byte `msgpack:"h"`
	// Metadata is the caller's own, as JSON.
	Metadata []byte `msgpack:"x,omitempty"`
	// Reason says why a review failed.
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
		return Record{}, merry.New("the record is not one of a review")
	}
	return record, nil
}

// partBytes is the size of the parts that contents are cut into.
const partBytes = 512 << 10

// maxContentBytes bounds what a packed content may unpack to.
const maxContentBytes = 64 << 20

// split cuts a content into the records that carry it.
func split(kind Kind, meta Meta, repeats int64, packed []byte) []Record {
	parts := max(1, (len(packed)+partBytes-1)/partBytes)
	set := uuid.New()
	records := make([]Record, parts)
	for i := range records {
		begin := min(i*partBytes, len(packed))
		end := min(begin+partBytes, len(packed))
		records[i] = Record{Kind: kind, ContentID: set, PartIndex: i, PartCount: parts, CopyOf: repeats, Meta: meta, Content: packed[begin:end]}
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
		return nil, merry.Prepend(err, "unpack review")
	}
	return content, nil
}
