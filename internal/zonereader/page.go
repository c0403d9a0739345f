// The pages of a full view on the wire. The records of one stream resemble each other and compress
// to about a sixth. After a power failure all boxes of a zone request the same pages from their
// reader within a second or two, so a page is encoded once and kept for that long.

package zonereader

import (
	"bytes"
	"compress/flate"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/safepack"
	"github.com/cometlock/cometlock/internal/sharedlog"
)

const (
	// maxPageBytes bounds the records of a page before compression.
	maxPageBytes = 256 << 10
	// maxUnpackedPage bounds a page that is received. A page exceeds maxPageBytes by one record and
	// by what its encoding adds, and its last records may all be new.
	maxUnpackedPage = 8 << 20
	// pageCacheTime is how long an encoded page is kept.
	pageCacheTime = 2 * time.Second
)

// page is a page of a full view, as registry.LoadPage returns it.
type page struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would double its size

	Next      registry.LoadCursor `msgpack:"n"`
	Restarted bool                `msgpack:"r"`
	More      bool                `msgpack:"m"`
	// Packed holds the compressed records. It is the last field, and part of encoded.
	Packed []byte `msgpack:"p"`

	// encoded is the encoded page, which the responses to all followers share.
	encoded []byte
}

// encode encodes the page.
func (p *page) encode() error {
	encoded, err := msgpack.Marshal(p)
	if err != nil {
		return merry.Prepend(err, "encode page")
	}
	p.encoded = slices.Clone(encoded)
	p.Packed = p.encoded[len(encoded)-len(p.Packed):]
	return nil
}

// pageKey identifies a page by the cursor of its request.
type pageKey struct {
	stream sharedlog.Stream
	cursor registry.LoadCursor
}

// cachedPage is an encoded page, with the update that it belongs to.
type cachedPage struct {
	page
	update registry.StreamUpdate
	at     time.Time
}

// pageCache keeps encoded pages. An entry that changes while its page is kept is sent again at the
// end of the load, so a page may be as old as its followers' loads. The last page must contain all
// changes, so it is used only while the view is the same.
type pageCache struct {
	mu    sync.Mutex
	pages map[pageKey]cachedPage
}

// get returns a page that is kept and still valid, given the view without its records. The last page
// is dated by that view. The caller holds mu.
func (c *pageCache) get(key pageKey, view registry.StreamUpdate) (cachedPage, bool) {
	found, ok := c.pages[key]
	if !ok || boottime.Since(found.at) >= pageCacheTime || !found.More && !found.update.IsSameView(view) {
		return cachedPage{}, false
	}
	if !found.More {
		found.update.Age, found.update.NeverRead = view.Age, view.NeverRead
	}
	return found, true
}

// getOrEncode returns a page, which it encodes unless it is kept. Followers that request a page at the
// same time wait for one encoding of it.
func (c *pageCache) getOrEncode(key pageKey, view func() registry.StreamUpdate, encode func() (cachedPage, error)) (cachedPage, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if found, ok := c.get(key, view()); ok {
		return found, nil
	}
	next, err := encode()
	if err != nil {
		return next, err
	}
	if c.pages == nil {
		c.pages = map[pageKey]cachedPage{}
	}
	maps.DeleteFunc(c.pages, func(_ pageKey, p cachedPage) bool { return next.at.Sub(p.at) >= pageCacheTime })
	c.pages[key] = next
	return next, nil
}

// loadPage returns the page of this box's view of a stream at a cursor.
func (m *Member) loadPage(stream sharedlog.Stream, cursor registry.LoadCursor) (cachedPage, error) {
	view := func() registry.StreamUpdate { return m.cfg.Registry.View(stream) }
	return m.pages.getOrEncode(pageKey{stream, cursor}, view, func() (cachedPage, error) { return m.encodePage(stream, cursor) })
}

func (m *Member) encodePage(stream sharedlog.Stream, cursor registry.LoadCursor) (cachedPage, error) {
	loaded := m.cfg.Registry.LoadPage(stream, cursor, maxPageBytes)
	packed, err := packRecords(loaded.Update.Records)
	if err != nil {
		return cachedPage{}, err
	}
	next := cachedPage{
		page:   page{Next: loaded.Next, Restarted: loaded.Restarted, More: loaded.More, Packed: packed},
		update: loaded.Update, at: boottime.Now(),
	}
	next.update.Records = nil
	return next, next.encode()
}

// packRecords encodes and compresses records.
func packRecords(records []sharedlog.Record) ([]byte, error) {
	encoded, err := msgpack.Marshal(records)
	if err != nil {
		return nil, merry.Prepend(err, "encode records")
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, merry.Prepend(err, "compress records")
	}
	if _, err := writer.Write(encoded); err != nil {
		return nil, merry.Prepend(err, "compress records")
	}
	if err := writer.Close(); err != nil {
		return nil, merry.Prepend(err, "compress records")
	}
	return packed.Bytes(), nil
}

// records returns the records of a page.
func (p page) records() (records []sharedlog.Record, err error) {
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(p.Packed)), maxUnpackedPage))
	if err != nil {
		return nil, merry.Prepend(err, "page")
	}
	if err := safepack.Unmarshal(encoded, &records); err != nil {
		return nil, merry.Prepend(err, "page")
	}
	return records, nil
}
