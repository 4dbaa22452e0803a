package workload

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// offer is one job of a plan.
type offer struct {
	at       time.Duration
	team     string
	id       string
	tasks    []offeredTask
	cancelAt time.Duration // after the submission; 0 for a job that is not cancelled
}

// offeredTask is one task: its run time at speed 1, and the declared one.
type offeredTask struct {
	run      time.Duration
	declared time.Duration
	kind     int
}

func (o offer) work() time.Duration {
	total := time.Duration(0)
	for _, t := range o.tasks {
		total += t.run
	}
	return total
}

func (o offer) longest() time.Duration {
	longest := time.Duration(0)
	for _, t := range o.tasks {
		longest = max(longest, t.run)
	}
	return longest
}

// plan draws the jobs of a workload; the same seed gives the same jobs.
func (w Workload) plan() []offer {
	rng := rand.New(rand.NewPCG(w.Seed, 1))
	rate := w.capacity() * w.LoadPercent / 100 / w.meanJob() // jobs a second
	var offers []offer
	for at := time.Duration(0); at < w.duration(); {
		offers = append(offers, w.offer(rng, len(offers), at))
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
	}
	for at := w.BurstSeconds; at > 0 && at < w.Seconds; at += w.BurstSeconds {
		for range w.BurstJobs {
			offers = append(offers, w.offer(rng, len(offers), time.Duration(at)*time.Second))
		}
	}
	slices.SortStableFunc(offers, func(a, b offer) int { return int(a.at - b.at) })
	return offers
}

func (w Workload) offer(rng *rand.Rand, n int, at time.Duration) offer {
	o := offer{at: at, id: fmt.Sprintf("j%d", n), team: "flood"}
	if rng.Float64()*100 >= w.FloodTeam {
		o.team = fmt.Sprintf("team-%d", rng.IntN(w.Teams))
	}
	for range w.Tasks.draw(rng) {
		ms := w.TaskMS.draw(rng)
		run := time.Duration(ms) * time.Millisecond
		o.tasks = append(o.tasks, offeredTask{run: run, declared: w.declare(rng, run), kind: w.kindOf(ms)})
	}
	if rng.Float64()*100 < w.CancelPercent {
		o.cancelAt = time.Duration(rng.Int64N(int64(o.longest()))) + 1
	}
	return o
}

// kindOf returns the kind of a run time.
func (w Workload) kindOf(ms int) int {
	return (ms - w.TaskMS.Min) * w.Kinds / (w.TaskMS.Max - w.TaskMS.Min + 1)
}

func (w Workload) declare(rng *rand.Rand, run time.Duration) time.Duration {
	if w.DeclaredError == 0 {
		return 0
	}
	if rng.IntN(2) == 0 {
		return time.Duration(float64(run) * w.DeclaredError)
	}
	return time.Duration(float64(run) / w.DeclaredError)
}

func (r Range) draw(rng *rand.Rand) int { return r.Min + rng.IntN(r.Max-r.Min+1) }
