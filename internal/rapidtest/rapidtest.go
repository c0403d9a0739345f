// Package rapidtest sets the number of random histories that property-based tests
// run and their seed, so that CI gets the same result every time.
package rapidtest

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
)

// Config sets the amount of work for what the command line leaves unset.
type Config struct {
	// Checks is the number of histories, and Steps the mean number of steps of each.
	Checks int
	Steps  int
}

// seed is the default seed, which CI uses. COMETLOCK_SEED overrides it:
// `COMETLOCK_SEED=7 go test` runs other histories, or repeats a failed run.
const seed = 20261202

// Main runs the tests of a package and exits. TestMain calls it.
func Main(m *testing.M, cfg Config) {
	flag.Parse()
	start := strconv.Itoa(seed)
	if value := os.Getenv("COMETLOCK_SEED"); value != "" {
		start = value
	}
	setDefault("rapid.seed", start)
	setDefault("rapid.checks", strconv.Itoa(cfg.Checks))
	setDefault("rapid.steps", strconv.Itoa(cfg.Steps))
	fmt.Println("rapid.seed =", start)
	os.Exit(m.Run())
}

func setDefault(name, value string) {
	isSet := false
	flag.Visit(func(f *flag.Flag) { isSet = isSet || f.Name == name })
	if isSet {
		return
	}
	if err := flag.Set(name, value); err != nil {
		fmt.Println(err)
	}
}
