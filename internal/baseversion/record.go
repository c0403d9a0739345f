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

// wireShares is the wire form of the shares of a service. They are a value of their own after the table, which an older
// version of the program ignores: it cannot decode a table with more fields.
type wireShares struct {
	_msgpack struct{} `msgpack:",as_array"`

	Service string
	Shares  []wireShare
	Earlier []wireEarlier
}

// wireShare is the wire form of a Share.
type wireShare struct {
	_msgpack struct{} `msgpack:",as_array"`

	Version string
	Weight  int
}

// wireEarlier is the wire form of EarlierShares.
type wireEarlier struct {
	_msgpack struct{} `msgpack:",as_array"`

	Shares []wireShare
	// Millis is Until in Unix milliseconds.
	Millis int64
}

func encodeShares(shares []Share) (wire []wireShare) {
	for _, share := range shares {
		wire = append(wire, wireShare{Version: share.Version, Weight: share.Weight})
	}
	return wire
}

// decodeShares returns shares of valid weights: any box may have written the record, and a choice computes a hash for
// each unit of weight.
func decodeShares(wire []wireShare) (shares []Share) {
	for _, share := range wire {
		shares = append(shares, Share{Version: share.Version, Weight: min(max(share.Weight, 1), totalWeight)})
	}
	return shares
}

// Encode returns the value of a record.
func Encode(table Table) ([]byte, error) {
	wire := make([]wireBase, 0, len(table))
	var shared []wireShares
	for service, base := range table {
		wire = append(wire, wireBase{Service: service, Version: base.Version, Present: base.Present, Millis: base.Since.UnixMilli(), Replaced: base.Replaced, Era: base.Era, RecordsFrom: base.RecordsFrom})
		if len(base.Shares) > 0 || len(base.Earlier) > 0 {
			shared = append(shared, encodeShared(service, base))
		}
	}
	value, err := msgpack.Marshal(wire)
	if err != nil || len(shared) == 0 {
		return value, err
	}
	rest, err := msgpack.Marshal(shared)
	return append(value, rest...), err
}

func encodeShared(service string, base Base) wireShares {
	encoded := wireShares{Service: service, Shares: encodeShares(base.Shares)}
	for _, earlier := range base.Earlier {
		encoded.Earlier = append(encoded.Earlier, wireEarlier{Shares: encodeShares(earlier.Shares), Millis: earlier.Until.UnixMilli()})
	}
	return encoded
}

// Decode returns the table of a record's value.
func Decode(value []byte) (Table, error) {
	var wire []wireBase
	rest, err := safepack.UnmarshalFirst(value, &wire)
	if err != nil {
		return nil, merry.Prepend(err, "decode base versions")
	}
	table := make(Table, len(wire))
	for _, base := range wire {
		table[base.Service] = Base{Version: base.Version, Present: base.Present, Since: time.UnixMilli(base.Millis), Replaced: base.Replaced, Era: base.Era, RecordsFrom: base.RecordsFrom}
	}
	var shared []wireShares
	if len(rest) > 0 {
		if err := safepack.Unmarshal(rest, &shared); err != nil {
			return nil, merry.Prepend(err, "decode shares of base versions")
		}
	}
	for _, shares := range shared {
		base, found := table[shares.Service]
		if !found {
			continue
		}
		base.Shares = decodeShares(shares.Shares)
		for _, earlier := range shares.Earlier {
			base.Earlier = append(base.Earlier, EarlierShares{Shares: decodeShares(earlier.Shares), Until: time.UnixMilli(earlier.Millis)})
		}
		table[shares.Service] = base
	}
	return table, nil
}
