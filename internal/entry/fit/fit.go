// Package fit chooses among the members on which a task can start the one whose free
// capacity it fills best, without a delay that callers notice. Room for large tasks
// then stays in one piece, and fast endpoints stay free for work that needs them.
//
// The package reads no clock and keeps no state.
package fit

import (
	"time"

	"github.com/savorystair/savorystair/internal/task/resources"
)

const (
	// maxDelay bounds by how much a task may end later than on the member where it
	// ends first: a tenth of the usual latency target of 60 ms.
	maxDelay = 6 * time.Millisecond
	// slackShare bounds the delay to a part of the time that is left until the task is
	// due, since run times are only estimates.
	slackShare = 4
	// runTimeMargin is the factor applied to the expected run time when a task is
	// checked against its due time: run times of a job's tasks differ by 15%.
	runTimeMargin = 1.15
)

// Candidate is a member on which a task can be started.
type Candidate struct {
	Begin   time.Duration // expected
	RunTime time.Duration // expected
	// Free is what the task would find unused. Known reports whether that is certain
	// enough to fill it up: the endpoint counts resources, and hardly any of its tasks
	// have started or ended since the report.
	Free  resources.Resources
	Known bool
}

// Task is the task to be placed.
type Task struct {
	Need resources.Resources
	Due  time.Duration // 0 if there is none
}

// Waiting describes the tasks that are placed next and have less time until they are
// due, for their run time, than the task to be placed. The zero value is none.
type Waiting struct {
	Tasks int
	// Need and Due are those of the tightest of them.
	Need resources.Resources
	Due  time.Duration
	// RelativeRunTime is its expected run time divided by that of the task to be
	// placed, on the same member.
	RelativeRunTime float64
}

// OnTime reports whether a task ends by its due time if it begins at the given time
// and has the given expected run time. A due time of 0 is never met.
func OnTime(begin, runTime, due time.Duration) bool {
	return due > 0 && begin+time.Duration(runTimeMargin*float64(runTime)) <= due
}

// Choose returns the index of the chosen candidate. Earliest is the index of the one
// on which the task ends first.
func Choose(now time.Duration, t Task, w Waiting, candidates []Candidate, earliest int) int {
	first := candidates[earliest]
	if !OnTime(first.Begin, first.RunTime, t.Due) {
		return earliest
	}
	limit := first.end() + min(maxDelay, (t.Due-first.end())/slackShare)
	best, bestLeft := earliest, t.leftOn(first)
	for i := range candidates {
		c := &candidates[i]
		if c.end() > limit {
			continue
		}
		if left := t.leftOn(*c); left < bestLeft {
			best, bestLeft = i, left
		}
	}
	if other, ok := leaveRoom(now, t, w, candidates, best); ok {
		return other
	}
	return best
}

func (c *Candidate) end() time.Duration { return c.Begin + c.RunTime }

// noFit is the measure of a candidate whose free capacity is not known to cover the
// task.
const noFit = 1e9

// leftOn measures how much capacity is left beside the task: the sum over processor
// time and memory, in multiples of the need.
func (t Task) leftOn(c Candidate) float64 {
	if !c.Known || !c.Free.Covers(t.Need) {
		return noFit
	}
	left := 0.0
	if t.Need.CPUMilli > 0 {
		left += float64(c.Free.CPUMilli-t.Need.CPUMilli) / float64(t.Need.CPUMilli)
	}
	if t.Need.MemoryMB > 0 {
		left += float64(c.Free.MemoryMB-t.Need.MemoryMB) / float64(t.Need.MemoryMB)
	}
	return left
}

// leaveRoom returns another candidate if the task would take room that the waiting
// tasks need to be on time, and is itself on time on the other one, which they can't
// use.
func leaveRoom(now time.Duration, t Task, w Waiting, candidates []Candidate, chosen int) (int, bool) {
	if w.Tasks == 0 || w.placesOn(now, candidates[chosen], resources.Resources{}) == 0 {
		return 0, false
	}
	places := w.placesOn(now, candidates[chosen], t.Need)
	other := -1
	for i := range candidates {
		if i == chosen {
			continue
		}
		c := &candidates[i]
		n := w.placesOn(now, *c, resources.Resources{})
		places += n
		if n == 0 && OnTime(c.Begin, c.RunTime, t.Due) && (other < 0 || c.end() < candidates[other].end()) {
			other = i
		}
	}
	return other, other >= 0 && places < w.Tasks
}

// placesOn returns how many of the waiting tasks would be on time on a candidate, beside
// what is taken there.
func (w Waiting) placesOn(now time.Duration, c Candidate, taken resources.Resources) int {
	if !OnTime(now, time.Duration(w.RelativeRunTime*float64(c.RunTime)), w.Due) {
		return 0
	}
	free := c.Free.Without(taken)
	if !free.Covers(w.Need) {
		return 0
	}
	places := w.Tasks
	if w.Need.CPUMilli > 0 {
		places = min(places, free.CPUMilli/w.Need.CPUMilli)
	}
	if w.Need.MemoryMB > 0 {
		places = min(places, free.MemoryMB/w.Need.MemoryMB)
	}
	return places
}
