package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/ansel1/merry/v2"

	"github.com/cometlock/cometlock/internal/boxlist"
	"github.com/cometlock/cometlock/internal/configlog"
	"github.com/cometlock/cometlock/internal/logservice"
)

// versionInForce reads the log and returns the version of the configuration that is in force.
func versionInForce(ctx context.Context, log logservice.Log) (int64, error) {
	reader := configlog.NewReader(log)
	if err := reader.CatchUp(ctx); err != nil {
		return 0, err
	}
	state, _ := reader.State()
	return state.Version, nil
}

const (
	adminTimeout  = 3 * time.Second
	maxStateBytes = 64 << 20
)

// admin sends one request to the admin port of a box and returns the response body.
func (t *tool) admin(ctx context.Context, method, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, t.scheme+"://"+address+path, nil)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if t.options.operatorKey != "" {
		request.Header.Set("Authorization", "Bearer "+t.options.operatorKey)
	}
	response, err := t.client.Do(request)
	if err != nil {
		return nil, merry.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxStateBytes))
	if err != nil {
		return nil, merry.Wrap(err)
	}
	if response.StatusCode/100 != 2 {
		return nil, merry.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(body)))
	}
	return body, nil
}

// boxState is the part of a box's state dump that the tool uses.
type boxState struct {
	Box     string `json:"box"`
	Zone    string `json:"zone"`
	Ready   bool   `json:"ready"`
	Leaving bool   `json:"leaving"`
	Uptime  string `json:"uptime"`
	Settled int64  `json:"settled"`
	Config  struct {
		Version      int64  `json:"version"`
		Digest       string `json:"digest"`
		Source       string `json:"source"`
		Age          string `json:"age"`
		LogReachable bool   `json:"log_reachable"`
	} `json:"config"`
	Evacuated []string `json:"evacuated_zones,omitempty"`
	Admit     struct {
		Waiting  int `json:"waiting"`
		InFlight int `json:"in_flight"`
	} `json:"admit"`
	Reviews reviewsState `json:"reviews"`
	Error   string       `json:"error,omitempty"`
}

// fetchStates fetches the state dumps of all boxes concurrently.
func (t *tool) fetchStates(ctx context.Context, boxes []boxlist.Box) []boxState {
	states := make([]boxState, len(boxes))
	var ended sync.WaitGroup
	for i, box := range boxes {
		ended.Go(func() { states[i] = t.fetchState(ctx, box) })
	}
	ended.Wait()
	return states
}

func (t *tool) fetchState(ctx context.Context, box boxlist.Box) boxState {
	var state boxState
	body, err := t.admin(ctx, http.MethodGet, box.Admin, "/debug/state")
	if err == nil {
		err = json.Unmarshal(body, &state)
	}
	if err != nil {
		return boxState{Box: box.Name, Zone: box.Zone, Error: err.Error()}
	}
	return state
}

func (t *tool) countInForce(ctx context.Context, boxes []boxlist.Box, version int64) (inForce, total int) {
	var live []boxlist.Box
	for _, box := range boxes {
		if box.State == boxlist.Live {
			live = append(live, box)
		}
	}
	for _, state := range t.fetchStates(ctx, live) {
		if state.Error == "" && state.Config.Version >= version {
			inForce++
		}
	}
	return inForce, len(live)
}

func (t *tool) status(ctx context.Context, _ string) error {
	boxes, err := t.findBoxes(ctx)
	if err != nil {
		return err
	}
	states := t.fetchStates(ctx, boxes)
	if t.json() {
		return t.printJSON(states)
	}
	table := tabwriter.NewWriter(t.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "BOX\tZONE\tREADY\tVERSION\tSOURCE\tAGE\tLOG\tWAITING\tIN FLIGHT\tREVIEWS\tAT RISK")
	for _, state := range states {
		if state.Error != "" {
			fmt.Fprintf(table, "%s\t%s\tno answer: %s\n", state.Box, state.Zone, state.Error)
			continue
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n", state.Box, state.Zone, readiness(state), state.Config.Version, state.Config.Source,
			state.Config.Age, yesNo(state.Config.LogReachable), state.Admit.Waiting, state.Admit.InFlight, len(state.Reviews.Waiting), state.Reviews.AtRisk)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if zones := evacuatedZones(states); len(zones) > 0 {
		fmt.Fprintf(t.out, "evacuated zones: %s\n", strings.Join(zones, ", "))
	}
	return nil
}

// evacuatedZones returns the sorted union of the evacuated zones that the boxes report.
func evacuatedZones(states []boxState) []string {
	var zones []string
	for _, state := range states {
		zones = append(zones, state.Evacuated...)
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

func readiness(state boxState) string {
	if state.Leaving {
		return "leaving"
	}
	return yesNo(state.Ready)
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

// dump prints the complete state dumps of one or all boxes, including fields that boxState omits.
func (t *tool) dump(ctx context.Context, name string) error {
	boxes, err := t.findBoxes(ctx)
	if err != nil {
		return err
	}
	dumps := []json.RawMessage{}
	for _, box := range boxes {
		if name != "" && box.Name != name {
			continue
		}
		body, err := t.admin(ctx, http.MethodGet, box.Admin, "/debug/state")
		if err != nil {
			return merry.Prepend(err, box.Name)
		}
		dumps = append(dumps, body)
	}
	if len(dumps) == 0 {
		return merry.Errorf("there is no box %q", name)
	}
	return t.printJSON(dumps)
}

func (t *tool) drain(ctx context.Context, name string) error {
	boxes, err := t.findBoxes(ctx)
	if err != nil {
		return err
	}
	for _, box := range boxes {
		if box.Name != name {
			continue
		}
		if _, err := t.admin(ctx, http.MethodPost, box.Admin, "/drain"); err != nil {
			return merry.Prepend(err, name)
		}
		fmt.Fprintf(t.out, "%s is draining\n", name)
		return nil
	}
	return merry.Errorf("there is no box %q", name)
}
