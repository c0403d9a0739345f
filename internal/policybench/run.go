package policybench

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"
	"slices"

	"github.com/cometlock/cometlock/internal/decide"
)

// Result is the result of one run of a policy. Times are in seconds.
type Result struct {
	P50, P95, P99 float64
	InstantP95    float64
	// RecomputedShare is the share of the prompt tokens that were prefilled.
	RecomputedShare float64
	// InTimeShare is the share of the requests whose first token met its deadline.
	InTimeShare float64
	// FairnessIndex is Jain's index over the share of each organisation's requests that were
	// served in time.
	FairnessIndex float64
	Refused       int

	total, computed int
	times           []float64
	instant         []float64
}

func (r *Result) add(req *request, seconds float64) {
	r.times = append(r.times, seconds)
	if req.instant {
		r.instant = append(r.instant, seconds)
	}
}

func (r *Result) finish(offered, served []float64) {
	slices.Sort(r.times)
	slices.Sort(r.instant)
	r.P50, r.P95, r.P99 = quantile(r.times, 0.5), quantile(r.times, 0.95), quantile(r.times, 0.99)
	r.InstantP95 = quantile(r.instant, 0.95)
	if r.total > 0 {
		r.RecomputedShare = float64(r.computed) / float64(r.total)
	}
	var sum, squares, all, good float64
	for i := range offered {
		all += offered[i]
		good += served[i]
		if offered[i] == 0 {
			continue
		}
		share := served[i] / offered[i]
		sum += share
		squares += share * share
	}
	r.InTimeShare = good / all
	if squares > 0 {
		r.FairnessIndex = sum * sum / (float64(len(offered)) * squares)
	}
	r.times, r.instant = nil, nil
}

func quantile(sorted []float64, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// namedPolicy is a policy of the comparison. Each run creates a new instance, since a policy may
// have state.
type namedPolicy struct {
	name   string
	create func() decide.Policy
}

// policyInUse is the name of the policy in use.
const policyInUse = "two homes (in use)"

func policies() []namedPolicy {
	return []namedPolicy{
		{"round robin", func() decide.Policy { return &decide.RoundRobin{} }},
		{"least loaded", func() decide.Policy { return decide.LeastLoaded{} }},
		{"rendezvous", func() decide.Policy { return decide.Rendezvous{} }},
		{"bounded rendezvous", func() decide.Policy { return decide.BoundedRendezvous{LoadFactor: 1.25} }},
		{"greedy prefix", func() decide.Policy { return decide.GreedyPrefix{} }},
		{"cheapest", func() decide.Policy { return decide.Cheapest{} }},
		{policyInUse, func() decide.Policy {
			return decide.TwoHomes{IdleWait: decide.DefaultIdleWait, RecomputeFactor: decide.DefaultRecomputeFactor}
		}},
	}
}

// Row is the result of a policy at one load: means over the seeds, and the range of the 95th
// percentile.
type Row struct {
	Deployment       string  `json:"deployment"`
	Load             int     `json:"load_percent"`
	Policy           string  `json:"policy"`
	Seeds            int     `json:"seeds"`
	P50              float64 `json:"first_token_p50_s"`
	P95              float64 `json:"first_token_p95_s"`
	P95Min           float64 `json:"first_token_p95_min_s"`
	P95Max           float64 `json:"first_token_p95_max_s"`
	P99              float64 `json:"first_token_p99_s"`
	InstantP95       float64 `json:"instant_first_token_p95_s"`
	RecomputedShare  float64 `json:"recomputed_share"`
	ClairvoyantShare float64 `json:"clairvoyant_share"`
	UnseenShare      float64 `json:"never_seen_share"`
	InTimeShare      float64 `json:"good_share"`
	FairnessIndex    float64 `json:"jain"`
	Refused          float64 `json:"refused"`
}

// Seeds is the number of seeds that each row averages over.
const Seeds = 10

// LoadPercents returns the loads of the comparison, in percent.
func LoadPercents() []int { return []int{50, 80, 95, 120} }

// compare runs all policies on a load at the given level.
func compare(load Load, percent, seeds int) []Row {
	rows := make([]Row, len(policies()))
	for i, policy := range policies() {
		rows[i] = Row{Deployment: load.Deployment, Load: percent, Policy: policy.name, Seeds: seeds, P95Min: math.Inf(1)}
	}
	for seed := range seeds {
		requests := generate(load, uint64(seed))
		b := clairvoyant(load, requests)
		scale(load, requests, b, float64(percent)/100)
		for i, policy := range policies() {
			rows[i].add(simulate(load, requests, policy.create()), b, float64(seeds))
		}
	}
	return rows
}

func (r *Row) add(result Result, b bound, seeds float64) {
	r.P50 += result.P50 / seeds
	r.P95 += result.P95 / seeds
	r.P95Min, r.P95Max = min(r.P95Min, result.P95), max(r.P95Max, result.P95)
	r.P99 += result.P99 / seeds
	r.InstantP95 += result.InstantP95 / seeds
	r.RecomputedShare += result.RecomputedShare / seeds
	r.ClairvoyantShare += float64(b.computed) / float64(b.total) / seeds
	r.UnseenShare += float64(b.firstUses) / float64(b.total) / seeds
	r.InTimeShare += result.InTimeShare / seeds
	r.FairnessIndex += result.FairnessIndex / seeds
	r.Refused += float64(result.Refused) / seeds
}

// OutputFile is the file to which Run writes the rows as JSON.
const OutputFile = "bench-policy.json"

// Run prints the comparison and writes it to OutputFile.
func Run(out io.Writer) error {
	loads, err := Loads()
	if err != nil {
		return err
	}
	var all []Row
	for _, load := range loads {
		for _, percent := range LoadPercents() {
			rows := compare(load, percent, Seeds)
			all = append(all, rows...)
			printRows(out, rows)
		}
	}
	data, err := json.MarshalIndent(all, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(OutputFile, data, 0o644)
}

func printRows(out io.Writer, rows []Row) {
	first := rows[0]
	fmt.Fprintf(out, "\n%s at %d%% load, %d seeds; clairvoyant recomputes %.1f%%, never seen before %.1f%%\n",
		first.Deployment, first.Load, first.Seeds, 100*first.ClairvoyantShare, 100*first.UnseenShare)
	fmt.Fprintf(out, "  %-20s %8s %8s %16s %8s %9s %9s %7s %6s %8s\n", "policy", "p50 s", "p95 s", "(min–max)", "p99 s", "instant95", "recomp %", "good %", "Jain", "refused")
	for _, r := range rows {
		fmt.Fprintf(out, "  %-20s %8.3f %8.3f %16s %8.3f %9.3f %9.1f %7.1f %6.3f %8.1f\n", r.Policy, r.P50, r.P95,
			fmt.Sprintf("(%.2f–%.2f)", r.P95Min, r.P95Max), r.P99, r.InstantP95, 100*r.RecomputedShare, 100*r.InTimeShare, r.FairnessIndex, r.Refused)
	}
}
