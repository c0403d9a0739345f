// The encoding of store box updates between boxes: the parts are stored in columns, since almost
// all of them share a namespace. A part takes 17 bytes instead of 31.

package zonereader

import (
	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/partindex"
)

// errMalformed means that the columns of an update do not match.
var errMalformed = merry.Sentinel("a store box update is malformed")

// packedUpdate is an update with its parts in columns.
type packedUpdate struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would double its size

	// Update has no parts.
	Update     partindex.StoreUpdate `msgpack:"w"`
	Parts      packedParts           `msgpack:"p"`
	Unfinished packedParts           `msgpack:"u"`
}

// packedParts holds parts in columns. Part i has the ID IDs[i], Tokens[i] tokens, and the namespace
// Namespaces[NamespaceIndexes[i]].
type packedParts struct {
	_msgpack struct{} `msgpack:",as_array"` // field names would double its size

	Namespaces       []string `msgpack:"n"`
	NamespaceIndexes []int    `msgpack:"f"`
	IDs              []string `msgpack:"i"`
	Tokens           []int    `msgpack:"t"`
}

func pack(update partindex.StoreUpdate) packedUpdate {
	packed := packedUpdate{Parts: packParts(update.Parts), Unfinished: packParts(update.Unfinished)}
	update.Parts, update.Unfinished = nil, nil
	packed.Update = update
	return packed
}

func packParts(parts []partindex.Part) packedParts {
	var packed packedParts
	indexes := map[string]int{}
	for _, part := range parts {
		index, found := indexes[part.Namespace]
		if !found {
			index = len(packed.Namespaces)
			indexes[part.Namespace] = index
			packed.Namespaces = append(packed.Namespaces, part.Namespace)
		}
		packed.NamespaceIndexes = append(packed.NamespaceIndexes, index)
		packed.IDs = append(packed.IDs, part.ID)
		packed.Tokens = append(packed.Tokens, part.Tokens)
	}
	return packed
}

// unpack returns the update, or an error when its columns do not match.
func (p packedUpdate) unpack() (partindex.StoreUpdate, error) {
	update := p.Update
	var err error
	if update.Parts, err = p.Parts.unpack(); err != nil {
		return partindex.StoreUpdate{}, err
	}
	if update.Unfinished, err = p.Unfinished.unpack(); err != nil {
		return partindex.StoreUpdate{}, err
	}
	return update, nil
}

func (p packedParts) unpack() ([]partindex.Part, error) {
	if len(p.NamespaceIndexes) != len(p.IDs) || len(p.Tokens) != len(p.IDs) {
		return nil, errMalformed
	}
	parts := make([]partindex.Part, len(p.IDs))
	for i, id := range p.IDs {
		if p.NamespaceIndexes[i] < 0 || p.NamespaceIndexes[i] >= len(p.Namespaces) {
			return nil, errMalformed
		}
		parts[i] = partindex.Part{Namespace: p.Namespaces[p.NamespaceIndexes[i]], ID: id, Tokens: p.Tokens[i]}
	}
	return parts, nil
}
