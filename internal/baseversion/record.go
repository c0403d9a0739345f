// Encoding of the record's value: the base versions of all services.

package baseversion

import (
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/safepack"
)

// recordKey is the key of the only record of the stream.
const recordKey = "all"

// wireBase is the wire form of a service's base version.
type wireBase struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would double its size

	Service string
	Version string
	Present bool
	// Millis is Since in Unix milliseconds.
	Millis   int64
	Replaced bool
	Era      int64
	// RecordsFrom is a position.
	RecordsFrom int64
}

// Encode returns the value of a record.
func Encode(table Table) ([]byte, error) {
	wire := make([]wireBase, 0, len(table))
	for service, base := range table {
		wire = append(wire, wireBase{Service: service, Version: base.Version, Present: base.Present, Millis: base.Since.UnixMilli(), Replaced: base.Replaced, Era: base.Era, RecordsFrom: base.RecordsFrom})
	}
	return msgpack.Marshal(wire)
}

// Decode returns the table of a record's value.
func Decode(value []byte) (Table, error) {
	var wire []wireBase
	if err := safepack.Unmarshal(value, &wire); err != nil {
		return nil, merry.Prepend(err, "decode base versions")
	}
	table := make(Table, len(wire))
	for _, base := range wire {
		table[base.Service] = Base{Version: base.Version, Present: base.Present, Since: time.UnixMilli(base.Millis), Replaced: base.Replaced, Era: base.Era, RecordsFrom: base.RecordsFrom}
	}
	return table, nil
}
