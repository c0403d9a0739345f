// Encoding of a record's value: the keys of streams, grouped by service and software version.

package originlog

import (
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/cometlock/cometlock/internal/safepack"
)

// maxPerRecord bounds the origins of a record, which is 128 KB then. The log takes 256 KB.
const maxPerRecord = 8192

// wireRecord is the value of a record.
type wireRecord struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would add to each record

	// Millis is the time of day of the append in Unix milliseconds. It bounds how far back readers read, so
	// clocks that differ by some seconds do no harm.
	Millis int64
	Groups []wireGroup
}

// wireGroup has the origins of one software version of a service.
type wireGroup struct {
	_msgpack struct{} `msgpack:",as_array"`

	Service  string
	Software string
	// Keys has the keys, one after the other.
	Keys []byte
}

// encode returns the value of a record with origins.
func encode(origins []Origin, at time.Time) ([]byte, error) {
	type version struct{ service, software string }
	groups := map[version]int{}
	record := wireRecord{Millis: at.UnixMilli()}
	for _, origin := range origins {
		of := version{origin.Service, origin.Software}
		index, found := groups[of]
		if !found {
			index = len(record.Groups)
			groups[of] = index
			record.Groups = append(record.Groups, wireGroup{Service: origin.Service, Software: origin.Software})
		}
		record.Groups[index].Keys = append(record.Groups[index].Keys, origin.Key[:]...)
	}
	return msgpack.Marshal(&record)
}

// decode returns the origins of a record's value and when it was appended.
func decode(value []byte) (origins []Origin, at time.Time, err error) {
	var record wireRecord
	if err := safepack.Unmarshal(value, &record); err != nil {
		return nil, time.Time{}, merry.Prepend(err, "decode origins")
	}
	for _, group := range record.Groups {
		if len(group.Keys)%KeySize != 0 {
			return nil, time.Time{}, merry.New("decode origins: incomplete key")
		}
		for rest := group.Keys; len(rest) > 0; rest = rest[KeySize:] {
			origins = append(origins, Origin{Key: Key(rest[:KeySize]), Service: group.Service, Software: group.Software})
		}
	}
	return origins, time.UnixMilli(record.Millis), nil
}
