package admission

import (
	"cmp"
	"time"
)

// During a burst, more work arrives for some seconds than there is room for.
// First come, first served would make every job late. Instead, jobs that can
// still be on time are placed before those that can't, and jobs that have begun
// before all others. Tasks during whose runs an endpoint crashed go last. A job that
// has not begun is refused once its answer would come too late to be useful to the
// caller.

// maxLatenessFactor limits how late an answer is still useful, as a multiple of
// the time from a job's first submission until it is due. The user documentation states
// this limit.
const maxLatenessFactor = 3

// Class is the primary sort key of jobs.
type Class int

// The classes, the most urgent first.
const (
	Begun    Class = iota // a task was sent to an agent
	Promoted              // part of the room that its kind is guaranteed
	OnTime                // can end in time if placed before LatestStart
	Late                  // LatestStart has passed
	Suspect               // the next task is a suspect
)

// Urgency is the order in which jobs are placed: by class, then by priority,
// then by the latest start that is on time.
type Urgency struct {
	Class       Class
	Priority    int
	LatestStart time.Duration
}

// Compare returns a negative number if u goes before o, and 0 if neither goes first.
func (u Urgency) Compare(o Urgency) int {
	if u.Class != o.Class {
		return cmp.Compare(u.Class, o.Class)
	}
	if u.Priority != o.Priority {
		return cmp.Compare(u.Priority, o.Priority)
	}
	return cmp.Compare(u.LatestStart, o.LatestStart)
}

// UsefulUntil returns the latest time at which the answer of a job is still useful to
// the caller. A due time of 0 stands for none.
func UsefulUntil(firstSubmitted, due, deadline time.Duration) time.Duration {
	if due == 0 {
		return deadline
	}
	return min(deadline, firstSubmitted+maxLatenessFactor*(due-firstSubmitted))
}

// TooLate reports whether a waiting job that has not begun would end too late to be
// useful even if it were placed now. Longest is the expected run time of its longest
// task.
func TooLate(now, due, longest, limit time.Duration) bool { return due > 0 && now+longest > limit }
