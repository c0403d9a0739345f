package prefix_test

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/prefix"
)

func TestChainsShareOnlyTheCommonPrefix(t *testing.T) {
	g := NewWithT(t)
	salt := prefix.NewSalt("o", "m", "v1")
	one := bytes.Repeat([]byte("x"), 5*prefix.BlockBytes+10)
	two := bytes.Clone(one)
	two[3*prefix.BlockBytes] = 'y'
	a, b := prefix.NewChain(salt, one), prefix.NewChain(salt, two)
	g.Expect(a.Keys()).To(HaveLen(5), "the rest after the last complete block must have no key")
	g.Expect(a.Keys()[:3]).To(Equal(b.Keys()[:3]))
	for i := 3; i < 5; i++ {
		g.Expect(a.Keys()[i]).NotTo(Equal(b.Keys()[i]), "a key must depend on all blocks before it")
	}
	g.Expect(a.Tokens()).To(Equal(5*prefix.BlockTokens + 3))
}

func TestKeysOfOtherOrganisationsModelsAndVersionsNeverMatch(t *testing.T) {
	g := NewWithT(t)
	prompt := make([]byte, prefix.BlockBytes)
	seen := map[prefix.Key]string{}
	for _, parts := range [][3]string{{"o", "m", "v1"}, {"p", "m", "v1"}, {"o", "n", "v1"}, {"o", "m", "v2"}, {"om", "", "v1"}, {"", "om", "v1"}, {"o", "mv1", ""}} {
		key := prefix.NewChain(prefix.NewSalt(parts[0], parts[1], parts[2]), prompt).Keys()[0]
		g.Expect(seen).NotTo(HaveKey(key), "%v", parts)
		seen[key] = parts[0]
	}
}

func TestIndexedDepths(t *testing.T) {
	g := NewWithT(t)
	var depths []int
	for depth := range 130 {
		if prefix.IsIndexedDepth(depth) {
			depths = append(depths, depth)
		}
	}
	g.Expect(depths).To(Equal([]int{1, 2, 3, 4, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128}))
}
