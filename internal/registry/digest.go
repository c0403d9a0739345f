// Digests of streams. Boxes that know a stream up to the same offset must know the same;
// each word between boxes carries a number that shows whether they do. A server that one
// box takes for gone and another does not gets calls from one of them only, which nothing
// else tells before the server refuses connections.

package registry

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// unsaid stands for the digest of a stream of which more is known than up to an offset.
const unsaid = 0

// mark stands for an entry in a digest: which servers there are and which of them leave,
// and of other streams the newest record of each key. Keys that are gone have none.
func (e entry) mark() uint64 {
	switch {
	case len(e.record.Value) == 0 || e.unclear:
		return 0
	case e.server != nil:
		return xxhash.Sum64String(strconv.FormatBool(e.server.Leaving) + "/" + e.server.Incarnation)
	default:
		return xxhash.Sum64String(strconv.FormatInt(e.record.Offset, 10) + "/" + e.record.Key)
	}
}

// digest gives the number for what is known up to next. A whole reading may bring
// records past it, which boxes that know as much need not know.
func (t *tail) digest() uint64 {
	if t.latest >= t.next {
		return unsaid
	}
	return t.marks | 1 // never unsaid
}

// compare reports whether a word goes as far as what is known here, and if so, whether it
// says otherwise.
func (t *tail) compare(word StreamUpdate) (asFar, differs bool) {
	own := t.digest()
	if word.Next != t.next || own == unsaid || word.Digest == unsaid {
		return false, false
	}
	return true, own != word.Digest
}
