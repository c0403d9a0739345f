// Package zonereader has one box of a zone read the platform's log and ask the store boxes,
// and tell the others what it learns.
//
// Each call of the log has a price and a store box answers a dozen askers, so what boxes
// ask must not grow with their number. Who reads follows from which boxes there are
// (package delegate): no lease, no message to agree. Boxes that know different ones may have
// several readers for a while, which costs calls and nothing else. A box that is not told in
// time reads for itself (packages registry and partindex say when), so a reader that dies,
// freezes or is cut off delays what others know by a bounded time: at most 0.7 s until they
// notice, or what their last word counts for, 1.6 s, if the reader itself is cut off from
// the log.
//
// Ways weighed: a lease in the log (a call a second, and nobody reads while it changes
// hands); gossip (each word passes several boxes, so its age is a multiple of one way, and
// the bounds leave 2 s); each box telling every other (grows with the square). One reader
// a zone, asked by the others, has one hop, and a question costs the reader 0.1 ms.
package zonereader

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/delegate"
	"github.com/cometlock/cometlock/internal/frame"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Box is an entry box, with where boxes that follow it ask it.
type Box struct {
	delegate.Box
	Address string
}

// boxesPerReader bounds the boxes of one reader: 64 of them ask 160 to 600 times a second
// together, at 0.1 ms each, which a large box of the zone has. A store box answers twelve
// askers, so there must not be more readers than that in a fleet of 360 boxes.
const boxesPerReader = 64

// reading is what a reader does for the other boxes of its zone.
var reading = delegate.Config{Role: "reader", BoxesEach: boxesPerReader}

// Config sets up a Zone.
type Config struct {
	Registry *registry.Registry
	Parts    *partindex.Index
	Logger   zerolog.Logger
	// Self is this box, and Others gives those that may read for it. Known reports whether
	// these are known at all; nil means that they always are.
	Self   Box
	Others func() []Box
	Known  func() bool
	// News is woken when this box learns anything of a stream that others are told, PartNews
	// when a store box says anything new; nil where it never is.
	News     *waiting.Signal
	PartNews *waiting.Signal
	// Off holds mechanisms that are switched off.
	Off mechanism.Off
	// Dial connects to another box; nil stands for TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Zone is a box's part in who reads for whom.
type Zone struct {
	cfg Config

	mu sync.Mutex
	// following names the box that this one follows; empty while it reads itself. decided
	// says that either was chosen.
	following string
	decided   bool
	// avoided holds boxes that did not answer, until when.
	avoided map[string]time.Time
	// lostInRow counts the boxes that were left one after the other since they cannot read
	// the log.
	lostInRow int
	// tellerLost says that the box which is followed cannot read the log.
	tellerLost bool
	// standby says that this box would be the next to read where one box reads for all.
	standby bool
	// asking counts the boxes that ask this one.
	asking int
	server *frame.Server
}

// New makes a zone in which this box reads for itself.
func New(cfg Config) *Zone {
	if cfg.Dial == nil {
		dialer := net.Dialer{Timeout: ioLimit}
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	if cfg.PartNews == nil {
		cfg.PartNews = &waiting.Signal{}
	}
	if cfg.Known == nil {
		cfg.Known = func() bool { return true }
	}
	z := &Zone{cfg: cfg, avoided: map[string]time.Time{}}
	z.server = frame.NewServer(cfg.Logger, z.serve)
	return z
}

// Following names the box that this one follows; empty while it reads itself.
func (z *Zone) Following() string {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.following
}

// TellerLost reports whether the box that this one follows says that it cannot read the log.
func (z *Zone) TellerLost() bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.following != "" && z.tellerLost
}

// Standby reports whether this box would be the next to read where one box reads for all.
func (z *Zone) Standby() bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.standby
}

// question asks a box for what it knows past what the asker knows.
type question struct {
	Streams map[sharedlog.Stream]int64    `msgpack:"s"`
	Stores  map[string]partindex.Position `msgpack:"p"`
	// Doubted are the store boxes of which the asker has reason to doubt what it knows.
	Doubted []string `msgpack:"d,omitempty"`
}

// answer tells it.
type answer struct {
	Streams []registry.Word `msgpack:"s"`
	// Digests are those of the words in Streams, in their order.
	Digests []uint64     `msgpack:"d,omitempty"`
	Stores  []packedWord `msgpack:"p"`
	// Held is how long after the question came the answer was made.
	Held time.Duration `msgpack:"h"`
	// Lost says that the box cannot read the log.
	Lost bool `msgpack:"l,omitempty"`
}

const (
	// answerHold is how long a question waits for news. What is told ages by it and by
	// askPause, so it is a part of what partindex and registry take for fresh.
	answerHold = 300 * time.Millisecond
	// maxQuestionBytes and maxAnswerBytes bound messages: 40 bytes a store box; 300 bytes
	// a server and 60 a part, of which store boxes may keep some ten thousand.
	maxQuestionBytes = 64 << 10
	maxAnswerBytes   = 4 << 20
	// questionLimit bounds the wait for the next question on a connection.
	questionLimit = 10 * time.Second
	// ioLimit bounds a write and a connect.
	ioLimit = 300 * time.Millisecond
)

// LoopAccept answers other boxes until ctx ends.
func (z *Zone) LoopAccept(ctx context.Context, listener net.Listener) {
	z.server.LoopAccept(ctx, listener)
}

// Wait waits until all answering has ended; LoopAccept must have returned.
func (z *Zone) Wait() { z.server.Wait() }

// serve answers the questions of one box on one connection.
func (z *Zone) serve(ctx context.Context, connection net.Conn, reader *bufio.Reader) {
	z.countAsking(1)
	defer z.countAsking(-1)
	for ctx.Err() == nil {
		if err := connection.SetReadDeadline(time.Now().Add(questionLimit)); err != nil {
			return
		}
		var asked question
		if err := frame.Read(reader, &asked, maxQuestionBytes); err != nil {
			return
		}
		told := z.answer(ctx, asked)
		if err := frame.Write(connection, &told, ioLimit); err != nil {
			return
		}
	}
}

// lacksStores reports whether the asker knows nothing of a store box. After a power failure
// all boxes start at once, and until they know what is kept all prompts are read anew.
func (q question) lacksStores() bool {
	for _, position := range q.Stores {
		if position.Epoch == 0 {
			return true
		}
	}
	return false
}

// countAsking counts the boxes that ask this one.
func (z *Zone) countAsking(more int) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.asking += more
}

// fewAsking is the number of boxes up to which what a store box says ends the hold of their
// questions. It says something all the time under load, and 50 boxes that each asked ten
// times a second would take 5% of a core of the box that reads for them, at 0.1 ms a question.
const fewAsking = 12

// tellsPartsAtOnce reports whether few boxes ask this one.
func (z *Zone) tellsPartsAtOnce() bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.asking <= fewAsking
}

// answer tells what this box knows as soon as that is news, or when the hold is over.
func (z *Zone) answer(ctx context.Context, asked question) answer {
	cameAt := boottime.Now()
	z.cfg.Parts.MarkOverdue(asked.Doubted)
	atOnce := z.tellsPartsAtOnce() || asked.lacksStores()
	for {
		wake, partsWake := z.cfg.News.Wait(), z.cfg.PartNews.Wait()
		if !atOnce {
			partsWake = nil
		}
		told, streamNews, partNews := z.look(asked)
		told.Held, told.Lost = boottime.Since(cameAt), z.cfg.Registry.Lost()
		if streamNews || atOnce && partNews || told.Held >= answerHold || ctx.Err() != nil {
			return told
		}
		z.waitForNews(ctx, answerHold-told.Held, wake, partsWake)
	}
}

// waitForNews waits for a time, or for news of either kind.
func (z *Zone) waitForNews(ctx context.Context, length time.Duration, wake, partsWake <-chan struct{}) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-wake:
	case <-partsWake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// mostParts is the number of parts in an answer from which on no further store box is told
// of whole; the asker soon asks again. After a power failure 50 boxes ask at once for all that
// 47 store boxes keep: 20 MB within less than the time that each waits for its answer, and
// 105 MB of memory in the box that answers.
const mostParts = 2000

// look writes down what this box knows past what a question says, and whether that is news of
// a stream or of a store box.
func (z *Zone) look(asked question) (told answer, streamNews, partNews bool) {
	for _, stream := range registry.Followed() {
		from, named := asked.Streams[stream]
		if !named {
			from = sharedlog.FromNewest
		}
		word, isNews := z.cfg.Registry.WordSince(stream, from)
		told.Streams = append(told.Streams, word)
		told.Digests = append(told.Digests, word.Digest)
		streamNews = streamNews || isNews
	}
	parts := 0
	for address, since := range asked.Stores {
		word, isNews, known := z.cfg.Parts.UpdateSince(address, since)
		if word.Full && parts > mostParts {
			word = partindex.StoreUpdate{Address: address, Unknown: true} // it comes with the next answer
		}
		if known {
			parts += len(word.Parts)
			told.Stores = append(told.Stores, pack(word))
			partNews = partNews || isNews
		}
	}
	return told, streamNews, partNews
}
