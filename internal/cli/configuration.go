package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/google/uuid"

	"github.com/cometlock/cometlock/internal/config"
	"github.com/cometlock/cometlock/internal/configlog"
)

func readFile(name string) (*config.File, error) {
	source, err := os.ReadFile(name)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	return config.Parse(source)
}

// validationResult is the JSON output of validate.
type validationResult struct {
	Valid  bool           `json:"valid"`
	Digest string         `json:"digest,omitempty"`
	Faults []config.Fault `json:"faults,omitempty"`
}

func (t *tool) validate(_ context.Context, name string) error {
	file, err := readFile(name)
	if invalid, ok := errors.AsType[*config.InvalidError](err); ok && t.json() {
		if printErr := t.printJSON(validationResult{Faults: invalid.Faults()}); printErr != nil {
			return printErr
		}
	}
	if err != nil {
		return err
	}
	entries, err := file.Entries()
	if err != nil {
		return err
	}
	digest := entries.Digest().String()
	if t.json() {
		return t.printJSON(validationResult{Valid: true, Digest: digest})
	}
	fmt.Fprintf(t.out, "valid, digest %s: %d organisations, %d models, %d backend servers, %d plain services\n",
		digest, len(file.Organisations), len(file.Models), len(file.BackendServers), len(file.PlainServices))
	return nil
}

// planResult is the JSON output of plan.
type planResult struct {
	Base   int64    `json:"base"`
	Set    []string `json:"set"`
	Remove []string `json:"remove"`
}

func (t *tool) plan(ctx context.Context, name string) error {
	file, err := readFile(name)
	if err != nil {
		return err
	}
	log, err := t.logClient()
	if err != nil {
		return err
	}
	reader := configlog.NewReader(log)
	if err := reader.CatchUp(ctx); err != nil {
		return merry.Prepend(err, "read the version in force")
	}
	state, _ := reader.State()
	target, err := file.Entries()
	if err != nil {
		return err
	}
	change := state.Entries.Diff(target)
	plan := planResult{Base: state.Version, Set: []string{}, Remove: change.Remove}
	for _, entry := range change.Set {
		plan.Set = append(plan.Set, entry.Name)
	}
	if t.json() {
		return t.printJSON(plan)
	}
	t.printPlan(plan)
	return nil
}

func (t *tool) printPlan(plan planResult) {
	fmt.Fprintf(t.out, "against version %d:\n", plan.Base)
	for _, name := range plan.Set {
		fmt.Fprintf(t.out, "  set     %s\n", name)
	}
	for _, name := range plan.Remove {
		fmt.Fprintf(t.out, "  remove  %s\n", name)
	}
	if len(plan.Set)+len(plan.Remove) == 0 {
		fmt.Fprintln(t.out, "  nothing to change")
	}
}

// applyResult is the JSON output of apply.
type applyResult struct {
	Version  int64   `json:"version"`
	ApplyID  string  `json:"apply_id"`
	Changed  bool    `json:"changed"`
	Seconds  float64 `json:"seconds"`
	InForce  int     `json:"in_force"`
	BoxCount int     `json:"of_boxes"`
	Complete bool    `json:"complete"`
}

func (t *tool) apply(ctx context.Context, name string) error {
	file, err := readFile(name)
	if err != nil {
		return err
	}
	log, err := t.logClient()
	if err != nil {
		return err
	}
	base, err := t.baseVersion()
	if err != nil {
		return err
	}
	began := time.Now()
	result := applyResult{ApplyID: uuid.NewString(), Changed: true}
	t.progress("apply %s", result.ApplyID)
	result.Version, err = configlog.Apply(ctx, configlog.ApplyConfig{Log: log, ApplyID: result.ApplyID, BaseVersion: base, ReadBackTimeout: t.options.readBackTimeout}, file)
	if errors.Is(err, configlog.ErrNoChange) {
		result.Changed = false
		result.Version, err = versionInForce(ctx, log)
	}
	if err != nil {
		return err
	}
	if t.options.wait {
		err = t.waitInForce(ctx, &result)
	}
	result.Seconds = time.Since(began).Seconds()
	if printErr := t.printApplied(result); printErr != nil {
		return printErr
	}
	return err
}

func (t *tool) baseVersion() (*int64, error) {
	if t.options.base == "" {
		return nil, nil
	}
	base, err := strconv.ParseInt(t.options.base, 10, 64)
	if err != nil {
		return nil, merry.Wrap(errUsage, merry.AppendMessagef("--base is a version, not %q", t.options.base))
	}
	return &base, nil
}

func (t *tool) printApplied(result applyResult) error {
	if t.json() {
		return t.printJSON(result)
	}
	if result.Changed {
		fmt.Fprintf(t.out, "accepted as version %d\n", result.Version)
	} else {
		fmt.Fprintf(t.out, "nothing to change, version %d is in force\n", result.Version)
	}
	if t.options.wait {
		fmt.Fprintf(t.out, "in force on %d of %d boxes after %.2f s\n", result.InForce, result.BoxCount, result.Seconds)
	}
	return nil
}

// pollInterval is the pause between two polls of the boxes' versions.
const pollInterval = 100 * time.Millisecond

// waitInForce waits until all live boxes have the version in force, or returns errWaitTimeout.
func (t *tool) waitInForce(ctx context.Context, result *applyResult) error {
	ctx, cancel := context.WithTimeout(ctx, t.options.waitTimeout)
	defer cancel()
	for {
		boxes, err := t.findBoxes(ctx)
		if err == nil {
			result.InForce, result.BoxCount = t.countInForce(ctx, boxes, result.Version)
			t.progress("in force on %d of %d boxes", result.InForce, result.BoxCount)
		}
		if err == nil && result.BoxCount > 0 && result.InForce == result.BoxCount {
			result.Complete = true
			return nil
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return errWaitTimeout
		}
	}
}
