// The bounded table of origins.

package streamorigin

import "time"

// maxOrigins bounds the origins in a table, at some 200 bytes each.
const maxOrigins = 32768

// table has origins by key. When it is full, the origin that was added first is dropped.
type table struct {
	origins map[Key]Origin
	// order has the keys in the order in which they were added, some of them several times.
	order []Key
}

func newTable() table { return table{origins: map[Key]Origin{}} }

// add adds an origin, or replaces that of the same key.
func (t *table) add(key Key, origin Origin, now time.Time) {
	if _, known := t.origins[key]; !known {
		t.order = append(t.order, key)
	}
	t.origins[key] = origin
	for len(t.order) > 0 && (len(t.order) > maxOrigins || !now.Before(t.origins[t.order[0]].Expires)) {
		delete(t.origins, t.order[0])
		t.order = t.order[1:]
	}
}

// find returns the origin of a key, unless it has expired.
func (t *table) find(key Key, now time.Time) (Origin, bool) {
	origin, found := t.origins[key]
	return origin, found && now.Before(origin.Expires)
}
