package admission

import (
	"math"
	"time"
)

const (
	// wonHalfLife is how fast observations lose their weight in Won. Demand that swings
	// by half within 17 s changes by 6% meanwhile.
	wonHalfLife = 2 * time.Second
	// wonPrior is the weight of the assumed rate, as a time during which jobs waited:
	// as long as a few tasks take to end.
	wonPrior = 100 * time.Millisecond
	// maxWonInterval bounds the time between two observations that is counted, so that
	// a time in which the entry did not run has no weight.
	maxWonInterval = 100 * time.Millisecond
	// assumedShare is the part of the room of other entries' tasks that this entry is
	// assumed to get as they end. It is all of it if only this entry has waiting jobs,
	// and none if all have.
	assumedShare = 0.5
)

// Won is the rate at which this entry wins room from other entries while its jobs
// wait. Other entries' waiting jobs aren't known, and their effect is measured by
// this. The zero value has no observations.
type Won struct {
	tasks, milli float64 // faded net increase of the tasks at agents, and of their needs
	seconds      float64 // faded time during which jobs waited

	waiting            bool
	lastTasks, lastSum int
	at                 time.Duration
}

// With returns the rate with an observation added: whether jobs wait for room, and the
// number of tasks at agents and the sum of their needs.
func (w Won) With(now time.Duration, waiting bool, tasks, milli int) Won {
	if w.waiting {
		fade := math.Exp2(-float64(now-w.at) / float64(wonHalfLife))
		w.tasks = w.tasks*fade + float64(tasks-w.lastTasks)
		w.milli = w.milli*fade + float64(milli-w.lastSum)
		w.seconds = w.seconds*fade + min(now-w.at, maxWonInterval).Seconds()
		w.at = now
	} else if waiting {
		w = w.faded(now)
	}
	w.waiting, w.lastTasks, w.lastSum = waiting, tasks, milli
	return w
}

func (w Won) faded(now time.Duration) Won {
	fade := math.Exp2(-float64(now-w.at) / float64(wonHalfLife))
	w.tasks *= fade
	w.milli *= fade
	w.seconds *= fade
	w.at = now
	return w
}

// perSecond returns the expected rate in units of room, given the rate at which other
// entries' tasks end.
func (w Won) perSecond(now time.Duration, slots bool, othersEnd float64) float64 {
	w = w.faded(now)
	won := w.milli
	if slots {
		won = w.tasks
	}
	prior := wonPrior.Seconds()
	return max(0, (won+assumedShare*othersEnd*prior)/(w.seconds+prior))
}
