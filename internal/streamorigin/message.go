// The messages between boxes: a request brings origins to hold, or asks for one.

package streamorigin

import (
	"context"
	"time"

	"github.com/cometlock/cometlock/internal/boottime"
)

const (
	// maxBatch bounds the origins in a request, at some 60 bytes each, and maxRequestBytes a request.
	maxBatch        = 1000
	maxRequestBytes = 256 << 10
	// maxResponseBytes bounds a response, which may have the base versions of all services, at some 60 bytes each.
	maxResponseBytes = 1 << 20
	// exchangeTimeout bounds a request and its response. It is several times the round trip between
	// regions, and short for a caller, whose first try may end after a second.
	exchangeTimeout = 200 * time.Millisecond
	// maxIdle bounds the idle connections to a box. The other box closes a connection after idleTimeout.
	maxIdle     = 2
	maxIdleTime = 20 * time.Second
	idleTimeout = 30 * time.Second
)

// request is a message to a holder.
type request struct {
	// Origins are to be held, without Await.
	Origins []wireOrigin `msgpack:"o,omitempty"`
	// Key is the key of a stream to find, whichever service began it; empty for none. The response has the versions
	// of Service.
	Key     []byte `msgpack:"k,omitempty"`
	Service string `msgpack:"s,omitempty"`
	// Alias is another key of the stream, by which it is found if it is not by Key; empty for none. An older version of
	// the program knows of none.
	Alias []byte `msgpack:"y,omitempty"`
	// Record means that the box is to record the origins in the log, and Recorded that it is to look for Key
	// there.
	Record   bool `msgpack:"r,omitempty"`
	Recorded bool `msgpack:"l,omitempty"`
	// Await means that the box is to respond when the origins are in the log.
	Await bool `msgpack:"a,omitempty"`
	// Bases means that the box is to respond with the base versions, or with that of Service if Key is to be found.
	Bases bool `msgpack:"b,omitempty"`
}

// keys returns the keys of the stream to find.
func (r *request) keys() (keys []Key) {
	for _, key := range [][]byte{r.Key, r.Alias} {
		if len(key) == keySize {
			keys = append(keys, Key(key))
		}
	}
	return keys
}

// wireOrigin is the wire form of an origin.
type wireOrigin struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would be a third of the message

	Key      []byte
	Service  string
	Software string
	// Remaining is how much longer the origin is needed.
	Remaining time.Duration
}

// response is a holder's answer.
type response struct {
	// Found is the origin that was asked for; nil if the box does not have it.
	Found *wireOrigin `msgpack:"f,omitempty"`
	// Versions are the software versions of the service's servers that the box knows of.
	Versions []string `msgpack:"v,omitempty"`
	// Uptime is how long the box has been running; it has no origins from before.
	Uptime time.Duration `msgpack:"u,omitempty"`
	// Process identifies the process of the box.
	Process string `msgpack:"p,omitempty"`
	// Recorded means that the box records the origins, as the request asked. One that cannot write to the log at
	// present, or does not know how to, leaves it to another one.
	Recorded bool `msgpack:"r,omitempty"`
	// LogRead means that the box has read the log up to now, as the request asked.
	LogRead bool `msgpack:"l,omitempty"`
	// Ambiguous means that the call was sent to servers of several versions, and the log does not say which of
	// them began the stream.
	Ambiguous bool `msgpack:"m,omitempty"`
	// RecordsFrom is the position from which on the box has read all records, and RecordsFor how long ago the first of
	// them was appended.
	RecordsFrom int64         `msgpack:"g,omitempty"`
	RecordsFor  time.Duration `msgpack:"h,omitempty"`
	// OutageEnded is how long ago the log was last away, as far as the box has noticed; zero if it was not.
	OutageEnded time.Duration `msgpack:"j,omitempty"`
	// Appended means that the origins are in the log, and Awaited that the box waited for that, as the request asked.
	// A box of an older version of the program does not wait.
	Awaited  bool `msgpack:"w,omitempty"`
	Appended bool `msgpack:"a,omitempty"`
	// Bases are the base versions that were asked for; nil if they are not known. An older version of the program knows none.
	Bases *wireBases `msgpack:"b,omitempty"`
	// LogEra is the newest era of the log that the box knew of after it had read it.
	LogEra int64 `msgpack:"e,omitempty"`
}

// encode returns the wire form of an origin.
func encode(key Key, origin Origin, now time.Time) wireOrigin {
	return wireOrigin{Key: key[:], Service: origin.Service, Software: origin.Software, Remaining: origin.Expires.Sub(now)}
}

// encodeToRecord returns the wire form of an origin under each of its keys.
func encodeToRecord(key Key, origin Origin, now time.Time) []wireOrigin {
	encoded := []wireOrigin{encode(key, origin, now)}
	if origin.Alias != (Key{}) {
		encoded = append(encoded, encode(origin.Alias, origin, now))
	}
	return encoded
}

// maxRemaining bounds how long a box holds an origin for another one.
const maxRemaining = 10 * time.Minute

// decode returns the key and the origin of its wire form; ok is false if it is invalid.
func (w *wireOrigin) decode(now time.Time) (key Key, origin Origin, ok bool) {
	if len(w.Key) != keySize || w.Remaining <= 0 {
		return key, origin, false
	}
	return Key(w.Key), Origin{Service: w.Service, Software: w.Software, Expires: now.Add(min(w.Remaining, maxRemaining))}, true
}

// handle applies a request and returns the response.
func (o *Origins) handle(ctx context.Context, received request) response {
	answer := o.apply(received)
	answer.Process = o.cfg.Self.Process
	switch {
	case !received.Record || o.cfg.Writer == nil:
	case received.Await:
		answer.Awaited, answer.Appended = true, o.recordNow(ctx, received.Origins)
		answer.Recorded = answer.Appended || ctx.Err() == nil && o.recordAll(nil)
	default:
		answer.Recorded = o.recordAll(received.Origins)
	}
	switch {
	case received.Recorded && answer.Found == nil && len(received.Key) == keySize && o.cfg.Reader != nil:
		o.findInLog(ctx, received, &answer)
	case received.Bases:
		answer.Bases = o.readBases(ctx)
	}
	return answer
}

// apply adds the origins of a request, and returns what this box knows by itself.
func (o *Origins) apply(received request) response {
	o.mu.Lock()
	now := boottime.Now()
	for i := range received.Origins {
		// A stream whose first event waits may yet begin at another version.
		if key, origin, ok := received.Origins[i].decode(now); ok && !received.Await {
			o.known.add(key, origin, now)
		}
	}
	var answer response
	for _, key := range received.keys() {
		if origin, found := o.known.find(key, now); found && answer.Found == nil {
			wire := encode(key, origin, now)
			answer.Found = &wire
		}
	}
	o.mu.Unlock()
	if received.Service != "" {
		answer.Versions = o.cfg.Versions(received.Service)
		answer.Uptime = o.uptime()
	}
	return answer
}
