package workload

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// plannedJob is one job that a measurement submits.
type plannedJob struct {
	submitAt    time.Duration // since the start of the measurement
	team        string
	id          string
	tasks       []plannedTask
	cancelAfter time.Duration // since its submission; 0 for a job that is not cancelled
}

// plannedTask is one task of a planned job. runTime is the run time on an endpoint
// of speed 1. declaredRunTime is 0 if none is declared.
type plannedTask struct {
	runTime         time.Duration
	declaredRunTime time.Duration
	kind            int
}

func (j plannedJob) totalRunTime() time.Duration {
	total := time.Duration(0)
	for _, t := range j.tasks {
		total += t.runTime
	}
	return total
}

func (j plannedJob) longestRunTime() time.Duration {
	longest := time.Duration(0)
	for _, t := range j.tasks {
		longest = max(longest, t.runTime)
	}
	return longest
}

// planJobs draws the jobs of a workload in the order of submission: a Poisson
// process at the load of the workload, and the bursts. The same seed gives the
// same jobs.
func (w Workload) planJobs() []plannedJob {
	rng := rand.New(rand.NewPCG(w.Seed, 1))
	rate := w.capacity() * w.LoadPercent / 100 / w.meanJobSeconds() // jobs a second
	var jobs []plannedJob
	for at := time.Duration(0); at < w.loadDuration(); {
		jobs = append(jobs, w.drawJob(rng, len(jobs), at))
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
	}
	for at := w.BurstIntervalSeconds; at > 0 && at < w.DurationSeconds; at += w.BurstIntervalSeconds {
		for range w.BurstJobs {
			jobs = append(jobs, w.drawJob(rng, len(jobs), time.Duration(at)*time.Second))
		}
	}
	slices.SortStableFunc(jobs, func(a, b plannedJob) int { return int(a.submitAt - b.submitAt) })
	return jobs
}

func (w Workload) drawJob(rng *rand.Rand, n int, at time.Duration) plannedJob {
	job := plannedJob{submitAt: at, id: fmt.Sprintf("j%d", n), team: "flood"}
	if rng.Float64()*100 >= w.FloodTeamPercent {
		job.team = fmt.Sprintf("team-%d", rng.IntN(w.Teams))
	}
	for range w.Tasks.drawInt(rng) {
		ms := w.TaskMS.drawInt(rng)
		run := time.Duration(ms) * time.Millisecond
		job.tasks = append(job.tasks, plannedTask{runTime: run, declaredRunTime: w.drawDeclaredRunTime(rng, run), kind: w.taskKind(ms)})
	}
	if rng.Float64()*100 < w.CancelPercent {
		job.cancelAfter = time.Duration(rng.Int64N(int64(job.longestRunTime()))) + 1
	}
	return job
}

// taskKind returns the number of the task kind to which a run time belongs. Each
// kind has an equal part of the range of run times.
func (w Workload) taskKind(ms int) int {
	return (ms - w.TaskMS.Min) * w.Kinds / (w.TaskMS.Max - w.TaskMS.Min + 1)
}

// drawDeclaredRunTime returns a run time that is off by the factor DeclaredError,
// up or down with equal probability.
func (w Workload) drawDeclaredRunTime(rng *rand.Rand, run time.Duration) time.Duration {
	if w.DeclaredError == 0 {
		return 0
	}
	if rng.IntN(2) == 0 {
		return time.Duration(float64(run) * w.DeclaredError)
	}
	return time.Duration(float64(run) / w.DeclaredError)
}

func (r Range) drawInt(rng *rand.Rand) int { return r.Min + rng.IntN(r.Max-r.Min+1) }
