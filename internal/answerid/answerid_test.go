package answerid_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/answerid"
)

var (
	oldKey = []byte("an old key of 32 bytes, rotated.")
	newKey = []byte("a new key of 32 bytes, in force.")
)

func keys(t *testing.T, list ...[]byte) answerid.Keys {
	made, err := answerid.NewKeys(list)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return made
}

func TestDecodeRequiresSameOrganisation(t *testing.T) {
	g := NewWithT(t)
	reference := answerid.Reference{Server: "runner-1", RunID: "run", Weights: "v1", Stream: true}
	id, err := keys(t, newKey).Encode("one", reference)
	g.Expect(err).NotTo(HaveOccurred())
	got, err := keys(t, newKey).Decode("one", id)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(reference))
	for i := range len(id) {
		flipped := []byte(id)
		flipped[i] ^= 2
		_, err := keys(t, newKey).Decode("one", string(flipped))
		g.Expect(err).To(MatchError(answerid.ErrInvalid), "byte %d", i)
	}
	_, err = keys(t, newKey).Decode("two", id)
	g.Expect(err).To(MatchError(answerid.ErrInvalid))
}

func TestKeyRotation(t *testing.T) {
	g := NewWithT(t)
	id, err := keys(t, oldKey).Encode("one", answerid.Reference{Server: "r"})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = keys(t, newKey, oldKey).Decode("one", id)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = keys(t, newKey).Decode("one", id)
	g.Expect(err).To(MatchError(answerid.ErrInvalid))
	_, err = answerid.NewKeys([][]byte{[]byte("short")})
	g.Expect(err).To(HaveOccurred())
}

func FuzzDecode(f *testing.F) {
	made, err := answerid.NewKeys([][]byte{newKey})
	if err != nil {
		f.Fatal(err)
	}
	f.Add("ans_AAAAAAAAAAAAAAAAAAAAAAAAAAAA")
	f.Fuzz(func(t *testing.T, name string) {
		if _, err := made.Decode("one", name); err == nil {
			t.Fatalf("%q was accepted", name)
		}
	})
}
