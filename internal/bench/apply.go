package bench

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cometlock/cometlock/internal/testfleet"
)

// applyRounds is the number of changes that are timed.
const applyRounds = 10

// measureApply measures the time from applying a configuration change until all eight boxes in two
// zones use it, with the log reachable and with the log cut off from the boxes of one zone.
func measureApply(out io.Writer) error {
	if err := checkRepository(); err != nil {
		return err
	}
	for _, logCut := range []bool{false, true} {
		worst, mean, err := applyTimes(logCut)
		if err != nil {
			return err
		}
		name := "log reachable from all eight boxes"
		if logCut {
			name = "log cut off for the four boxes of one zone"
		}
		fmt.Fprintf(out, "%-44s mean %7.1f ms, worst of %d %7.1f ms\n", name, float64(mean.Microseconds())/1e3, applyRounds, float64(worst.Microseconds())/1e3)
	}
	return nil
}

func applyTimes(logCut bool) (worst, mean time.Duration, err error) {
	fleet, err := testfleet.Start(testfleet.Config{File: sampleFile, Zones: []string{"zone-a", "zone-a", "zone-a", "zone-a"}})
	if err != nil {
		return 0, 0, err
	}
	defer fleet.Close()
	add := fleet.AddBox
	if logCut {
		add = fleet.AddBoxWithoutLog
	}
	for range 4 {
		if _, err := add("zone-b"); err != nil {
			return 0, 0, err
		}
	}
	for i := range 8 {
		if err := waitReady(fleet.Box(i)); err != nil {
			return 0, 0, err
		}
	}
	var total time.Duration
	file := fleet.StandIns().File()
	for round := range applyRounds {
		file.Limits.QueueLength = 1000 + round
		began := time.Now()
		version, err := fleet.Apply(file)
		if err != nil {
			return 0, 0, err
		}
		if err := waitVersion(fleet, version); err != nil {
			return 0, 0, err
		}
		elapsed := time.Since(began)
		total += elapsed
		worst = max(worst, elapsed)
	}
	return worst, total / applyRounds, nil
}

func waitVersion(fleet *testfleet.Fleet, version int64) error {
	for range 20_000 {
		behind := 0
		for i := range 8 {
			if fleet.Box(i).ConfigVersion() < version {
				behind++
			}
		}
		if behind == 0 {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
	return errors.New("the change did not reach all boxes within 20 s")
}
