// The key and value of a record.

package quarantinelog

import (
	"encoding/hex"
	"math/bits"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/quarantine"
	"github.com/cometlock/cometlock/internal/safepack"
)

// kind is what a record is of; it begins the key.
type kind string

const (
	requestKind kind = "request"
	partKind    kind = "part"
)

// kinds has all kinds.
var kinds = []kind{requestKind, partKind}

// maxAge bounds the ages in a record: nothing is held for longer.
const maxAge = 48 * time.Hour

// wireRecord is the value of a record. Its fields have names, so that more can be added.
type wireRecord struct {
	// Millis is the time of day in Unix milliseconds at which the ages in Crashes are as stated. Clocks that
	// differ by some seconds change the time until a try by as much.
	Millis  int64                    `msgpack:"m"`
	Caller  uint64                   `msgpack:"c"`
	Crashes []quarantine.CrashRecord `msgpack:"r"`
}

// keyOf returns the key of a record.
func keyOf(of kind, request quarantine.Request) string {
	return string(of) + "/" + hex.EncodeToString(request[:])
}

// encode returns the value of a record.
func encode(record quarantine.RequestRecord, now time.Time) ([]byte, error) {
	return msgpack.Marshal(&wireRecord{Millis: now.UnixMilli(), Caller: record.Caller, Crashes: record.Crashes})
}

// decode returns what a record is of, with ages as of now.
func decode(key string, value []byte, now time.Time) (kind, quarantine.RequestRecord, error) {
	of, name, _ := strings.Cut(key, "/")
	request, err := hex.DecodeString(name)
	if kind(of) != requestKind && kind(of) != partKind || err != nil || len(request) != len(quarantine.Request{}) {
		return "", quarantine.RequestRecord{}, merry.New("decode quarantine: invalid key")
	}
	var wire wireRecord
	if err := safepack.Unmarshal(value, &wire); err != nil {
		return "", quarantine.RequestRecord{}, merry.Prepend(err, "decode quarantine")
	}
	elapsed := min(max(now.Sub(time.UnixMilli(wire.Millis)), 0), maxAge)
	for i := range wire.Crashes {
		if age := wire.Crashes[i].Age; age < 0 || age > maxAge {
			return "", quarantine.RequestRecord{}, merry.New("decode quarantine: invalid age")
		}
		wire.Crashes[i].Age += elapsed
	}
	return kind(of), quarantine.RequestRecord{Request: quarantine.Request(request), Caller: wire.Caller, Crashes: wire.Crashes}, nil
}

// signature identifies the crashes of a record, in whichever order and at whichever age.
func signature(record quarantine.RequestRecord) uint64 {
	sum := uint64(len(record.Crashes))
	for _, crash := range record.Crashes {
		if crash.Excused {
			sum += bits.RotateLeft64(crash.Incarnation, 1)
		} else {
			sum += crash.Incarnation
		}
	}
	return sum
}
