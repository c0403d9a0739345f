// Package rapidtest sets how many random histories the tests run, and from
// which seed, so that CI comes to the same verdict every time.
package rapidtest

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
)

// Config says how much to run where the command line does not.
type Config struct {
	// Checks is the number of histories, Steps the mean number of steps of each.
	Checks int
	Steps  int
}

// seed is where CI begins. COMETLOCK_SEED replaces it: `COMETLOCK_SEED=7 go test`
// runs other histories, and a failing one again.
const seed = 20261202

// Main runs the tests of a package; call it from TestMain.
func Main(m *testing.M, cfg Config) {
	flag.Parse()
	begin := strconv.Itoa(seed)
	if value := os.Getenv("COMETLOCK_SEED"); value != "" {
		begin = value
	}
	setUnlessGiven("rapid.seed", begin)
	setUnlessGiven("rapid.checks", strconv.Itoa(cfg.Checks))
	setUnlessGiven("rapid.steps", strconv.Itoa(cfg.Steps))
	fmt.Println("rapid.seed =", begin)
	os.Exit(m.Run())
}

func setUnlessGiven(name, value string) {
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == name })
	if given {
		return
	}
	if err := flag.Set(name, value); err != nil {
		fmt.Println(err)
	}
}
