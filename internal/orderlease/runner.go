// How a record lists runners: by hashes of 32 bits, since one in five of 20,000 runners may be listed.
// Where the hashes of two runners are equal, a box that takes over waits for one runner too many.

package orderlease

import "hash/fnv"

// Runner identifies a runner. Another incarnation at the same address counts as the same runner.
type Runner struct{ Incarnation, Address string }

// hashes returns the hashes by which records list a runner.
func (r Runner) hashes() []uint32 {
	hashes := make([]uint32, 0, 2)
	for _, name := range []string{r.Incarnation, r.Address} {
		if name != "" {
			hash := fnv.New32a()
			_, _ = hash.Write([]byte(name)) // a hash.Hash returns no errors
			hashes = append(hashes, hash.Sum32())
		}
	}
	return hashes
}

// listing returns a record that permits orders to some runners.
func listing(runners []Runner) record {
	r := record{Listed: true, Runners: make([]uint32, 0, 2*len(runners))}
	for _, runner := range runners {
		r.Runners = append(r.Runners, runner.hashes()...)
	}
	return r
}
