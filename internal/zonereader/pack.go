// Words on store boxes as they go between boxes: the parts in columns, since almost all of
// them share a namespace. A part takes 17 bytes instead of 31.

package zonereader

import (
	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/partindex"
)

// errMalformed says that a message does not hold what it should.
var errMalformed = merry.Sentinel("a word on a store box is malformed")

// packedWord is a word with its parts in columns.
type packedWord struct {
	_msgpack struct{} `msgpack:",as_array"` // names of fields would be half of it

	// Word has no parts.
	Word       partindex.StoreUpdate `msgpack:"w"`
	Parts      packedParts           `msgpack:"p"`
	Unfinished packedParts           `msgpack:"u"`
}

// packedParts are parts in columns. Part i has the ID IDs[i], Tokens[i] tokens, and the
// namespace Namespaces[Of[i]].
type packedParts struct {
	_msgpack struct{} `msgpack:",as_array"` // names of fields would be half of it

	Namespaces []string `msgpack:"n"`
	Of         []int    `msgpack:"f"`
	IDs        []string `msgpack:"i"`
	Tokens     []int    `msgpack:"t"`
}

func pack(word partindex.StoreUpdate) packedWord {
	packed := packedWord{Parts: packParts(word.Parts), Unfinished: packParts(word.Unfinished)}
	word.Parts, word.Unfinished = nil, nil
	packed.Word = word
	return packed
}

func packParts(parts []partindex.Part) packedParts {
	var packed packedParts
	places := map[string]int{}
	for _, part := range parts {
		place, found := places[part.Namespace]
		if !found {
			place = len(packed.Namespaces)
			places[part.Namespace] = place
			packed.Namespaces = append(packed.Namespaces, part.Namespace)
		}
		packed.Of = append(packed.Of, place)
		packed.IDs = append(packed.IDs, part.ID)
		packed.Tokens = append(packed.Tokens, part.Tokens)
	}
	return packed
}

// unpack gives the word; an error when its columns do not fit each other.
func (p packedWord) unpack() (partindex.StoreUpdate, error) {
	word := p.Word
	var err error
	if word.Parts, err = p.Parts.unpack(); err != nil {
		return partindex.StoreUpdate{}, err
	}
	if word.Unfinished, err = p.Unfinished.unpack(); err != nil {
		return partindex.StoreUpdate{}, err
	}
	return word, nil
}

func (p packedParts) unpack() ([]partindex.Part, error) {
	if len(p.Of) != len(p.IDs) || len(p.Tokens) != len(p.IDs) {
		return nil, errMalformed
	}
	parts := make([]partindex.Part, len(p.IDs))
	for i, id := range p.IDs {
		if p.Of[i] < 0 || p.Of[i] >= len(p.Namespaces) {
			return nil, errMalformed
		}
		parts[i] = partindex.Part{Namespace: p.Namespaces[p.Of[i]], ID: id, Tokens: p.Tokens[i]}
	}
	return parts, nil
}
