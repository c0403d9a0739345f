// Package loadshare lets entry boxes tell each other how much work they have at
// which backend server, so that each places calls by the work of all.
//
// It is a hint service. What a box has not heard for a while counts as nothing. One
// promise rests on what is told, that of package retire, and so on how old a word
// can be: a message may lie in a cut link for seconds and then arrive. Each message
// therefore carries the sender's own time, which the receiver sends back in its next
// one; what comes with the echo was said after that time. Where the boxes reach each other stands in the
// platform's log: each writes its address once when it starts.
//
// On the wire a message is its length in 4 bytes, big-endian, and msgpack.
package loadshare

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/fleet"
	"github.com/cometlock/cometlock/internal/registry"
	"github.com/cometlock/cometlock/internal/retire"
	"github.com/cometlock/cometlock/internal/sharedlog"
	"github.com/cometlock/cometlock/internal/waiting"
)

// Config sets up a Share.
type Config struct {
	Log    sharedlog.Log
	Fleet  *fleet.Fleet
	Logger zerolog.Logger
	// Box names this box, Life this life of it.
	Box  string
	Life string
	// Address is where other boxes reach this one.
	Address string
	// Named gives the weights that this box knows to be named, by model, the newest
	// last, and Heard takes over what another box knew at asOf, or some time before
	// now when asOf is zero.
	Named func() map[string][]registry.Heard
	Heard func(named map[string][]registry.Heard, asOf time.Time)
}

const (
	// tellEvery is the shortest time between two messages to a peer: prompts take
	// 30 to 300 ms to read.
	tellEvery = 80 * time.Millisecond
	// messagesPerSecond bounds what a box sends; with many peers each is told less
	// often.
	messagesPerSecond = 120
	// silentAfter times the time between two messages is when a peer counts as
	// silent, and its work as nothing.
	silentAfter = 6
	// connectEvery is the pause before a peer that could not be reached is tried
	// again.
	connectEvery = time.Second
	// ioLimit bounds a write and a connect, readLimit the wait for a message.
	ioLimit   = 300 * time.Millisecond
	readLimit = 10 * time.Second
	// followHold is how long a read of the stream of boxes waits for a record.
	followHold = 20 * time.Second
	callLimit  = time.Second
	retryPause = 500 * time.Millisecond
	// maxMessageBytes bounds a message: about 60 bytes a server.
	maxMessageBytes = 256 << 10
)

// announcement is a box's record in the log.
type announcement struct {
	Address string `msgpack:"a"`
	Life    string `msgpack:"l"`
}

// message tells a box's work.
type message struct {
	Box  string `msgpack:"b"`
	Life string `msgpack:"i"`
	// Sent is the sender's time, counted from its start. Echo is the last time that
	// it has from the receiver, in the life EchoLife.
	Sent     time.Duration               `msgpack:"s"`
	Echo     time.Duration               `msgpack:"e,omitempty"`
	EchoLife string                      `msgpack:"f,omitempty"`
	Loads    []fleet.Load                `msgpack:"l"`
	Named    map[string][]registry.Heard `msgpack:"n"`
}

// Share tells and hears.
type Share struct {
	cfg     Config
	started time.Time

	mu    sync.Mutex
	peers map[string]*peer // by box
	heard map[string]word
	loops sync.WaitGroup
}

// word is the last message of another box.
type word struct {
	// said is what it knew; its time is that of the echo.
	said       retire.Peer
	receivedAt time.Time
	// life and sent are to be echoed.
	life string
	sent time.Duration
}

// peer is another box to tell.
type peer struct {
	address string
	stop    context.CancelFunc
}

// New makes a share that knows no peers.
func New(cfg Config) *Share {
	return &Share{cfg: cfg, started: time.Now(), peers: map[string]*peer{}, heard: map[string]word{}}
}

// LoopFollow writes this box's address into the log and follows those of others
// until ctx ends.
func (s *Share) LoopFollow(ctx context.Context) {
	announced := false
	next := int64(-1)
	for ctx.Err() == nil {
		if !announced {
			announced = s.announce(ctx)
		}
		page, err := s.read(ctx, next)
		if _, gone := errors.AsType[*sharedlog.GoneError](err); gone {
			next = -1
			continue
		}
		if err != nil {
			waiting.For(ctx, retryPause)
			continue
		}
		for _, record := range page.Records {
			s.take(ctx, record)
		}
		next = page.Next
	}
	s.loops.Wait()
	s.withdraw()
}

// withdraw takes this box's address out of the log at a planned stop.
func (s *Share) withdraw() {
	ctx, cancel := context.WithTimeout(context.Background(), callLimit)
	defer cancel()
	if _, err := s.cfg.Log.Append(ctx, sharedlog.Boxes, sharedlog.AnyEnd, sharedlog.Record{Key: s.cfg.Box}); err != nil {
		s.cfg.Logger.Warn().Str("error", err.Error()).Msg("box_not_withdrawn")
	}
}

func (s *Share) announce(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	value, err := msgpack.Marshal(announcement{Address: s.cfg.Address, Life: s.cfg.Life})
	if err != nil {
		s.cfg.Logger.Error().Str("error", err.Error()).Msg("box_not_announced")
		return true
	}
	_, err = s.cfg.Log.Append(ctx, sharedlog.Boxes, sharedlog.AnyEnd, sharedlog.Record{Key: s.cfg.Box, Value: value})
	if err != nil {
		s.cfg.Logger.Warn().Str("error", err.Error()).Msg("box_not_announced")
	}
	return err == nil
}

func (s *Share) read(ctx context.Context, next int64) (sharedlog.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, followHold+callLimit)
	defer cancel()
	if next < 0 {
		return s.cfg.Log.Newest(ctx, sharedlog.Boxes)
	}
	return s.cfg.Log.Read(ctx, sharedlog.Boxes, next, followHold)
}

// take takes over where a box is reached.
func (s *Share) take(ctx context.Context, record sharedlog.Record) {
	if record.Key == s.cfg.Box {
		return
	}
	var box announcement
	if len(record.Value) > 0 {
		if err := msgpack.Unmarshal(record.Value, &box); err != nil {
			s.cfg.Logger.Error().Str("key", record.Key).Str("error", err.Error()).Msg("box_not_understood")
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.peers[record.Key]
	if known != nil && known.address == box.Address {
		return
	}
	if known != nil {
		known.stop()
		delete(s.peers, record.Key)
	}
	if box.Address == "" {
		return
	}
	peerCtx, stop := context.WithCancel(ctx)
	s.peers[record.Key] = &peer{address: box.Address, stop: stop}
	s.loops.Go(func() { s.loopTellPeer(peerCtx, record.Key, box.Address) })
}

// interval is the time between two messages to each peer.
func (s *Share) interval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(tellEvery, time.Duration(len(s.peers))*time.Second/messagesPerSecond)
}

// loopTellPeer tells one peer this box's work until ctx ends.
func (s *Share) loopTellPeer(ctx context.Context, box, address string) {
	dialer := net.Dialer{Timeout: ioLimit}
	for ctx.Err() == nil {
		connection, err := dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			s.tell(ctx, box, connection)
			_ = connection.Close() // it has failed already, or is not needed
		}
		waiting.For(ctx, connectEvery)
	}
}

// tell sends messages on one connection until it fails or ctx ends.
func (s *Share) tell(ctx context.Context, box string, connection net.Conn) {
	for ctx.Err() == nil {
		if err := s.send(connection, s.compose(box)); err != nil {
			return
		}
		waiting.For(ctx, s.interval())
	}
}

// compose writes down this box's work for another box.
func (s *Share) compose(box string) message {
	m := message{Box: s.cfg.Box, Life: s.cfg.Life, Sent: time.Since(s.started), Loads: s.cfg.Fleet.Loads(), Named: s.cfg.Named()}
	s.mu.Lock()
	defer s.mu.Unlock()
	if last, heard := s.heard[box]; heard {
		m.Echo, m.EchoLife = last.sent, last.life
	}
	return m
}

func (s *Share) send(connection net.Conn, m message) error {
	data, err := msgpack.Marshal(&m)
	if err != nil {
		return merry.Prepend(err, "encode message")
	}
	if err := connection.SetWriteDeadline(time.Now().Add(ioLimit)); err != nil {
		return err
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, lengthBytes+len(data)), uint32(len(data)))
	_, err = connection.Write(append(frame, data...))
	return err
}

// lengthBytes is the length of a message's length.
const lengthBytes = 4

// LoopAccept hears other boxes until ctx ends.
func (s *Share) LoopAccept(ctx context.Context, listener net.Listener) {
	defer context.AfterFunc(ctx, func() { _ = listener.Close() })() // nothing is lost on it
	for {
		connection, err := listener.Accept()
		if err != nil {
			if ctx.Err() == nil {
				s.cfg.Logger.Error().Str("error", err.Error()).Msg("port_lost")
			}
			return
		}
		s.loops.Go(func() { s.loopHear(ctx, connection) })
	}
}

// loopHear takes in what one box tells on one connection.
func (s *Share) loopHear(ctx context.Context, connection net.Conn) {
	defer context.AfterFunc(ctx, func() { _ = connection.Close() })() // it is not needed any more
	defer connection.Close()
	reader := bufio.NewReader(connection)
	for {
		if err := connection.SetReadDeadline(time.Now().Add(readLimit)); err != nil {
			return
		}
		m, err := receive(reader)
		if err != nil {
			return
		}
		s.cfg.Heard(m.Named, s.note(m))
		s.cfg.Fleet.SetRemote(m.Box, m.Loads)
	}
}

// note remembers what a box knows, and since when it was heard to. It gives the
// moment after which the message was sent, or zero when that cannot be told.
func (s *Share) note(m message) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var asOf time.Time
	if m.EchoLife == s.cfg.Life {
		asOf = s.started.Add(m.Echo)
	}
	before := s.heard[m.Box].said
	said := retire.Peer{At: asOf, Weights: make(map[string]int, len(m.Named)), Since: make(map[string]time.Time, len(m.Named))}
	for model, versions := range m.Named {
		if len(versions) == 0 {
			continue
		}
		said.Weights[model], said.Since[model] = versions[len(versions)-1].Version, now
		if before.Weights[model] == said.Weights[model] {
			said.Since[model] = before.Since[model]
		}
	}
	s.heard[m.Box] = word{said: said, receivedAt: now, life: m.Life, sent: m.Sent}
	return asOf
}

// Peers gives the last word of each other box that is not silent.
func (s *Share) Peers() []retire.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	peers := make([]retire.Peer, 0, len(s.heard))
	for _, last := range s.heard {
		peers = append(peers, last.said)
	}
	return peers
}

// Boxes counts the boxes that are announced, this one included.
func (s *Share) Boxes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.peers) + 1
}

func receive(reader io.Reader) (message, error) {
	var length [lengthBytes]byte
	if _, err := io.ReadFull(reader, length[:]); err != nil {
		return message{}, err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxMessageBytes {
		return message{}, merry.Errorf("a message of %d bytes is too large", size)
	}
	data := make([]byte, size)
	if _, err := io.ReadFull(reader, data); err != nil {
		return message{}, err
	}
	var m message
	if err := msgpack.Unmarshal(data, &m); err != nil {
		return message{}, merry.Prepend(err, "decode message")
	}
	return m, nil
}

// LoopForget lets the work of silent boxes count as nothing until ctx ends.
func (s *Share) LoopForget(ctx context.Context) {
	for ctx.Err() == nil {
		interval := s.interval()
		waiting.For(ctx, interval)
		for _, box := range s.silent(silentAfter * interval) {
			s.cfg.Fleet.SetRemote(box, nil)
		}
	}
}

func (s *Share) silent(limit time.Duration) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var boxes []string
	for box, last := range s.heard {
		if time.Since(last.receivedAt) > limit {
			boxes = append(boxes, box)
			delete(s.heard, box)
		}
	}
	return boxes
}
