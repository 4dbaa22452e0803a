package workload

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is what one dispatcher did with a workload.
type Report struct {
	Workload   string `json:"workload"`
	Dispatcher string `json:"dispatcher"`
	Jobs       int    `json:"jobs"`
	Complete   int    `json:"complete"`
	Failed     int    `json:"failed"`
	Refused    int    `json:"refused"`
	Cancelled  int    `json:"cancelled"`
	Late       int    `json:"late"`
	// RatioP50, RatioP99 and RatioMax are response over ideal of the complete
	// jobs.
	RatioP50 float64 `json:"ratio_p50"`
	RatioP99 float64 `json:"ratio_p99"`
	RatioMax float64 `json:"ratio_max"`
	P50MS    float64 `json:"response_p50_ms"`
	P99MS    float64 `json:"response_p99_ms"`
	// WorkPerSecond is the work completed, in seconds at speed 1, a second,
	// as a share of all slots at their speeds.
	WorkPercent float64 `json:"work_percent"`
	// Messages counts starts sent; Wasted those that did no work.
	Messages      int64            `json:"messages"`
	Wasted        int64            `json:"wasted"`
	WastedPercent float64          `json:"wasted_percent"`
	Reasons       map[string]int64 `json:"wasted_by_reason"`
	RefusedBy     map[string]int   `json:"refused_by_reason"`
	// Zone holds the work completed before, while and after a zone is out, as
	// a share of the slots that are in.
	Zone *ZoneReport `json:"zone,omitempty"`
	// Fairness is the lowest over the highest share of complete jobs by team.
	Fairness float64 `json:"fairness"`
}

// ZoneReport is the work completed in the parts of a zone's absence, in
// percent of what the slots that were in could do.
type ZoneReport struct {
	Before float64 `json:"before_percent"`
	During float64 `json:"during_percent"`
	After  float64 `json:"after_percent"`
}

// result is what became of one offer.
type result struct {
	offer   offer
	ideal   time.Duration
	took    time.Duration
	ended   time.Duration // since the start of the run
	outcome outcome
	reason  string
}

// outcome is how a job ended.
type outcome int

const (
	complete outcome = iota
	failed
	refused
	cancelled
)

// ratioScale keeps three digits of a ratio in a histogram of whole numbers.
const ratioScale = 1000

// summarize counts results.
func (w Workload) summarize(dispatcher string, results []result, took time.Duration) Report {
	const maxMicros, maxRatio, digits = 600_000_000, 1_000_000, 3
	r := Report{Workload: w.Name, Dispatcher: dispatcher, Jobs: len(results), RefusedBy: map[string]int{}}
	ratios := hdrhistogram.New(1, maxRatio*ratioScale, digits)
	times := hdrhistogram.New(1, maxMicros, digits)
	work := time.Duration(0)
	for _, res := range results {
		r.count(w, res)
		if res.outcome != complete {
			continue
		}
		work += res.offer.work()
		// Values beyond the range count as the highest.
		_ = ratios.RecordValue(min(maxRatio*ratioScale, int64(ratioScale*float64(res.took)/float64(res.ideal))))
		_ = times.RecordValue(min(maxMicros, res.took.Microseconds()))
	}
	r.RatioP50 = float64(ratios.ValueAtQuantile(50)) / ratioScale
	r.RatioP99 = float64(ratios.ValueAtQuantile(99)) / ratioScale
	r.RatioMax = float64(ratios.Max()) / ratioScale
	r.P50MS = float64(times.ValueAtQuantile(50)) / 1000
	r.P99MS = float64(times.ValueAtQuantile(99)) / 1000
	r.WorkPercent = 100 * work.Seconds() / took.Seconds() / w.capacity()
	r.Fairness = fairness(results)
	return r
}

func (r *Report) count(w Workload, res result) {
	switch res.outcome {
	case complete:
		r.Complete++
		if res.took > time.Duration(w.DeadlineMS)*time.Millisecond {
			r.Late++
		}
	case failed:
		r.Failed++
		r.RefusedBy["failed: "+res.reason]++
	case refused:
		r.Refused++
		r.RefusedBy[res.reason]++
	case cancelled:
		r.Cancelled++
	}
}

// fairness compares the teams that don't flood.
func fairness(results []result) float64 {
	all, done := map[string]int{}, map[string]int{}
	for _, res := range results {
		if res.outcome == cancelled || res.offer.team == "flood" {
			continue
		}
		all[res.offer.team]++
		if res.outcome == complete {
			done[res.offer.team]++
		}
	}
	low, high := 1.0, 0.0
	for team, n := range all {
		share := float64(done[team]) / float64(n)
		low, high = min(low, share), max(high, share)
	}
	if high == 0 {
		return 0
	}
	return low / high
}

// Print writes reports as a table.
func Print(w io.Writer, reports []Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "WORKLOAD\tDISPATCHER\tJOBS\tCOMPLETE\tFAILED\tREFUSED\tLATE\tRATIO P50\tP99\tMAX\tP50 MS\tP99 MS\tWORK %\tMESSAGES\tWASTED %\tFAIRNESS")
	for _, r := range reports {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%.1f\t%d\t%.2f\t%.2f\n",
			r.Workload, r.Dispatcher, r.Jobs, r.Complete, r.Failed, r.Refused, r.Late,
			r.RatioP50, r.RatioP99, r.RatioMax, r.P50MS, r.P99MS, r.WorkPercent, r.Messages, r.WastedPercent, r.Fairness)
	}
	for _, r := range reports {
		if r.Zone != nil {
			fmt.Fprintf(t, "%s\t%s\tzone out: work %% of the slots that are in, before %.1f, while %.1f, after %.1f\n",
				r.Workload, r.Dispatcher, r.Zone.Before, r.Zone.During, r.Zone.After)
		}
		for reason, n := range r.RefusedBy {
			fmt.Fprintf(t, "%s\t%s\t%s: %d\n", r.Workload, r.Dispatcher, reason, n)
		}
		for reason, n := range r.Reasons {
			if n > 0 {
				fmt.Fprintf(t, "%s\t%s\twasted, %s: %d\n", r.Workload, r.Dispatcher, reason, n)
			}
		}
	}
	return t.Flush()
}
