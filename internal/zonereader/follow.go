// Following: a box asks the one that reads for it, again and again, and takes over what it
// is told. When that box does not answer, another is chosen at once.

package zonereader

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/boottime"
	"github.com/cometlock/cometlock/internal/delegate"
	"github.com/cometlock/cometlock/internal/frame"
	"github.com/cometlock/cometlock/internal/mechanism"
	"github.com/cometlock/cometlock/internal/partindex"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

const (
	// chooseEvery is the time between two looks for a reader while there is none.
	chooseEvery = 200 * time.Millisecond
	// knownEvery is the time between two looks whether the boxes are known, which a box that
	// starts reads first.
	knownEvery = 20 * time.Millisecond
	// askPause lies between an answer and the next question, so that an answer brings several
	// changes.
	askPause = 100 * time.Millisecond
	// answerLimit bounds the wait for an answer besides its hold. Longer than a packet
	// that is lost twice.
	answerLimit = 400 * time.Millisecond
	// avoidFor is how long a box that did not answer is not followed.
	avoidFor = 2 * time.Second
	// avoidLostFor is the same for one that cannot read the log, and mostLost how many of
	// these are left one after the other: then it is the log that is down, and no other
	// box would do better. If a reader alone is cut off from the log, all boxes of its zone
	// would else read for themselves.
	avoidLostFor = 5 * time.Second
	mostLost     = 2
)

// errLost says that the box that was followed cannot read the log.
var errLost = merry.Sentinel("the reader cannot read the log")

// LoopFollow follows whichever box reads for this one until ctx ends.
func (z *Zone) LoopFollow(ctx context.Context) {
	for ctx.Err() == nil {
		if !z.cfg.Known() {
			waiting.For(ctx, knownEvery) // who reads is not decided before the boxes are known
			continue
		}
		reader, follow := z.choose()
		z.note(reader.Name)
		if !follow {
			waiting.For(ctx, chooseEvery)
			continue
		}
		if err := z.follow(ctx, reader); err != nil && ctx.Err() == nil {
			z.avoid(reader.Name, err)
		}
	}
}

// choose gives the box to follow now, of those that answer.
func (z *Zone) choose() (Box, bool) {
	if !z.cfg.Off.On(mechanism.ZoneReaders) {
		return Box{}, false
	}
	others := z.cfg.Others()
	addresses := make(map[string]string, len(others))
	boxes := make([]delegate.Box, len(others))
	z.mu.Lock()
	defer z.mu.Unlock()
	now := boottime.Now()
	for i, box := range others {
		boxes[i], addresses[box.Name] = box.Box, box.Address
		boxes[i].Away = box.Away || now.Before(z.avoided[box.Name])
	}
	z.standby = delegate.IsStandby(reading, z.cfg.Self.Box, boxes)
	chosen, follow := delegate.Choose(reading, z.cfg.Self.Box, boxes)
	return Box{chosen, addresses[chosen.Name]}, follow
}

// note notes whom this box follows; nobody has it read for itself.
func (z *Zone) note(reader string) {
	z.mu.Lock()
	changed := reader != z.following || !z.decided
	z.following, z.decided = reader, true
	z.mu.Unlock()
	if !changed {
		return
	}
	if reader != "" {
		z.cfg.Logger.Info().Str("reader", reader).Msg("reader_followed")
		return
	}
	z.cfg.Logger.Info().Msg("reads_itself")
	z.cfg.Registry.ReadItself()
	z.cfg.Parts.PollDirectly()
}

// avoid leaves a box that did not answer alone for a while.
func (z *Zone) avoid(reader string, err error) {
	z.cfg.Logger.Warn().Str("reader", reader).Str("error", err.Error()).Msg("reader_lost")
	z.mu.Lock()
	defer z.mu.Unlock()
	length := avoidFor
	if errors.Is(err, errLost) {
		length = avoidLostFor
	}
	z.avoided[reader] = boottime.Now().Add(length)
}

// follow asks one box until that fails, which it tells by an error, or until another is to
// be followed.
func (z *Zone) follow(ctx context.Context, reader Box) error {
	connection, err := z.cfg.Dial(ctx, reader.Address)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })() // the stop of this box
	defer connection.Close()
	buffered := bufio.NewReader(connection)
	mended := map[string]int{}
	for ctx.Err() == nil {
		if err := z.ask(connection, buffered, mended); err != nil {
			return err
		}
		waiting.For(ctx, askPause)
		if chosen, follow := z.choose(); !follow || chosen.Name != reader.Name {
			return nil
		}
	}
	return nil
}

// ask asks once and takes over the answer. mended holds how many lists of each store box
// the other box's words have taken in.
func (z *Zone) ask(connection net.Conn, buffered *bufio.Reader, mended map[string]int) error {
	asked := boottime.Now()
	if err := frame.Write(connection, z.question(mended), ioLimit); err != nil {
		return err
	}
	if err := connection.SetReadDeadline(time.Now().Add(answerHold + answerLimit)); err != nil {
		return err
	}
	var told answer
	if err := frame.Read(buffered, &told, maxAnswerBytes); err != nil {
		return err
	}
	if z.leaveLost(told.Lost) {
		return errLost
	}
	// The other box made its answer no sooner than this.
	asOf := asked.Add(told.Held)
	for i, word := range told.Streams {
		if i < len(told.Digests) {
			word.Digest = told.Digests[i]
		}
		z.cfg.Registry.TakeWord(word, asOf)
	}
	for _, packed := range told.Stores {
		word, err := packed.unpack()
		if err != nil {
			return err
		}
		if z.cfg.Parts.ApplyUpdate(word, asOf) {
			mended[word.Address] = word.Position.Lists
		}
	}
	return nil
}

// leaveLost reports whether a box is to be left because it cannot read the log.
func (z *Zone) leaveLost(lost bool) bool {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.tellerLost = lost
	if !lost {
		z.lostInRow = 0
		return false
	}
	if z.lostInRow >= mostLost {
		return false
	}
	z.lostInRow++
	return true
}

func (z *Zone) question(mended map[string]int) *question {
	asked := question{Streams: map[sharedlog.Stream]int64{}, Stores: map[string]partindex.Position{}, Doubted: z.cfg.Parts.OverdueStores()}
	for _, stream := range registry.Followed() {
		asked.Streams[stream] = z.cfg.Registry.Position(stream)
	}
	for address, position := range z.cfg.Parts.Positions() {
		position.Lists = mended[address]
		asked.Stores[address] = position
	}
	return &asked
}
