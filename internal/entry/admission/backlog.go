package admission

import "time"

// backlogMargin is the factor applied to the expected time of queued work, since
// later jobs of other teams may be placed first and expected run times are
// inexact.
const backlogMargin = 1.5

// Backlog is the work of a service at an entry and the slots that do it, for jobs
// without a due time.
type Backlog struct {
	Work         time.Duration // of waiting and running tasks
	Longest      time.Duration // task of the job
	Slots        float64       // of all linked agents
	UnusedSlots  float64       // those that other entries leave unused
	ShareEntries int           // entries that share the slots
}

// ExpectedTime returns how long a job is expected to take if all work goes first.
// Callers are distributed unevenly over the entries, so the estimate uses the slots
// that other entries leave unused, but at least an equal share.
func (b Backlog) ExpectedTime() time.Duration {
	slots := max(b.UnusedSlots, b.Slots/float64(max(1, b.ShareEntries)))
	if slots <= 0 {
		return 0
	}
	return max(b.Longest, time.Duration(backlogMargin*float64(b.Work)/slots))
}
