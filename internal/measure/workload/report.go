package workload

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report holds the results of running a workload on one dispatcher.
type Report struct {
	Workload   string `json:"workload"`
	Dispatcher string `json:"dispatcher"`
	Jobs       int    `json:"jobs"`
	Complete   int    `json:"complete"`
	Failed     int    `json:"failed"`
	Refused    int    `json:"refused"`
	Cancelled  int    `json:"cancelled"`
	// Late is how many of the complete jobs took longer than the deadline.
	Late int `json:"late"`
	// RatioP50, RatioP99 and RatioMax are the ratios of response time to ideal
	// response time of the complete jobs.
	RatioP50      float64 `json:"ratio_p50"`
	RatioP99      float64 `json:"ratio_p99"`
	RatioMax      float64 `json:"ratio_max"`
	ResponseP50MS float64 `json:"response_p50_ms"`
	ResponseP99MS float64 `json:"response_p99_ms"`
	// WorkPercent is the work of the complete jobs in percent of the capacity: the
	// slots of all endpoints that do not fail, weighted by speed, over the whole
	// measurement.
	WorkPercent float64 `json:"work_percent"`
	// Messages is the number of starts sent to endpoints. Wasted is the number of
	// those whose task did not complete.
	Messages       int64            `json:"messages"`
	Wasted         int64            `json:"wasted"`
	WastedPercent  float64          `json:"wasted_percent"`
	WastedByReason map[string]int64 `json:"wasted_by_reason"`
	// RefusedByReason counts refused jobs, and failed ones under a reason that
	// begins with "failed: ".
	RefusedByReason map[string]int `json:"refused_by_reason"`
	// Zone is set if the workload takes a zone out of service.
	Zone *ZoneReport `json:"zone,omitempty"`
	// Fairness is the lowest share of complete jobs of any team, divided by the
	// highest.
	Fairness float64 `json:"fairness"`
}

// ZoneReport holds the work completed before, during and after the time in which
// a zone is out of service, in percent of the capacity in service at that time.
type ZoneReport struct {
	Before float64 `json:"before_percent"`
	During float64 `json:"during_percent"`
	After  float64 `json:"after_percent"`
}

// result is the outcome of one planned job.
type result struct {
	job           plannedJob
	idealResponse time.Duration
	response      time.Duration
	ended         time.Duration // since the start of the measurement
	outcome       outcome
	reason        string
}

// outcome is how a job ended.
type outcome int

const (
	complete outcome = iota
	failed
	refused
	cancelled
)

// ratioScale keeps three decimals of a ratio in a histogram of integers.
const ratioScale = 1000

// summarize returns the report of a dispatcher's results, without the counts of
// starts and the zone report.
func (w Workload) summarize(dispatcher string, results []result, duration time.Duration) Report {
	const maxMicros, maxRatio, digits = 600_000_000, 1_000_000, 3
	r := Report{Workload: w.Name, Dispatcher: dispatcher, Jobs: len(results), RefusedByReason: map[string]int{}}
	ratios := hdrhistogram.New(1, maxRatio*ratioScale, digits)
	times := hdrhistogram.New(1, maxMicros, digits)
	work := time.Duration(0)
	for _, res := range results {
		r.count(w, res)
		if res.outcome != complete {
			continue
		}
		work += res.job.totalRunTime()
		// Values beyond the range are recorded as its maximum, so that no error
		// can occur.
		_ = ratios.RecordValue(min(maxRatio*ratioScale, int64(ratioScale*float64(res.response)/float64(res.idealResponse))))
		_ = times.RecordValue(min(maxMicros, res.response.Microseconds()))
	}
	r.RatioP50 = float64(ratios.ValueAtQuantile(50)) / ratioScale
	r.RatioP99 = float64(ratios.ValueAtQuantile(99)) / ratioScale
	r.RatioMax = float64(ratios.Max()) / ratioScale
	r.ResponseP50MS = float64(times.ValueAtQuantile(50)) / 1000
	r.ResponseP99MS = float64(times.ValueAtQuantile(99)) / 1000
	r.WorkPercent = 100 * work.Seconds() / duration.Seconds() / w.capacity()
	r.Fairness = fairness(results)
	return r
}

func (r *Report) count(w Workload, res result) {
	switch res.outcome {
	case complete:
		r.Complete++
		if res.response > time.Duration(w.DeadlineMS)*time.Millisecond {
			r.Late++
		}
	case failed:
		r.Failed++
		r.RefusedByReason["failed: "+res.reason]++
	case refused:
		r.Refused++
		r.RefusedByReason[res.reason]++
	case cancelled:
		r.Cancelled++
	}
}

// fairness returns the lowest share of complete jobs of any team divided by the
// highest, without cancelled jobs and without the flooding team.
func fairness(results []result) float64 {
	all, done := map[string]int{}, map[string]int{}
	for _, res := range results {
		if res.outcome == cancelled || res.job.team == "flood" {
			continue
		}
		all[res.job.team]++
		if res.outcome == complete {
			done[res.job.team]++
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

// Print writes reports as a table, followed by the zone reports and the reasons
// of refusals and wasted starts.
func Print(w io.Writer, reports []Report) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "WORKLOAD\tDISPATCHER\tJOBS\tCOMPLETE\tFAILED\tREFUSED\tLATE\tRATIO P50\tP99\tMAX\tP50 MS\tP99 MS\tWORK %\tMESSAGES\tWASTED %\tFAIRNESS")
	for _, r := range reports {
		fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%.2f\t%.0f\t%.0f\t%.1f\t%d\t%.2f\t%.2f\n",
			r.Workload, r.Dispatcher, r.Jobs, r.Complete, r.Failed, r.Refused, r.Late,
			r.RatioP50, r.RatioP99, r.RatioMax, r.ResponseP50MS, r.ResponseP99MS, r.WorkPercent, r.Messages, r.WastedPercent, r.Fairness)
	}
	for _, r := range reports {
		if r.Zone != nil {
			fmt.Fprintf(t, "%s\t%s\tzone out: work %% of the slots that are in, before %.1f, while %.1f, after %.1f\n",
				r.Workload, r.Dispatcher, r.Zone.Before, r.Zone.During, r.Zone.After)
		}
		for reason, n := range r.RefusedByReason {
			fmt.Fprintf(t, "%s\t%s\t%s: %d\n", r.Workload, r.Dispatcher, reason, n)
		}
		for reason, n := range r.WastedByReason {
			if n > 0 {
				fmt.Fprintf(t, "%s\t%s\twasted, %s: %d\n", r.Workload, r.Dispatcher, reason, n)
			}
		}
	}
	return t.Flush()
}
