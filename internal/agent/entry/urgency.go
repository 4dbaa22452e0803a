package entry

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/savorystair/savorystair/internal/gen/wirepb"
)

const (
	// ageLimit is how long a queued task or an entry that waits for room may be passed
	// by more urgent ones. Tasks of the lowest priority have a slack of about 600 ms
	// (run time 900 ms, stretch 1.6, latency target 60 ms), of which this leaves half.
	ageLimit = 300 * time.Millisecond
	// maxRefusedStarts bounds the refused starts that are kept for an entry. An entry
	// waits with this many starts only if the agent is small for its load.
	maxRefusedStarts = 64
)

// noDueTime orders tasks without a due time behind those of the same priority that
// have one.
const noDueTime = time.Duration(math.MaxInt64)

// urgency orders starts: by priority, then by due time. Starts of entries that don't
// send these are equally urgent.
type urgency struct {
	priority int32
	due      time.Duration // noDueTime if there is none
}

// leastUrgent is the urgency of refused starts whose due time has passed. Their jobs
// may have been placed elsewhere meanwhile, and entries place late jobs last.
var leastUrgent = urgency{priority: math.MaxInt32, due: noDueTime}

// urgencyOf returns the urgency of a start received now.
func urgencyOf(now time.Duration, m *wirepb.Start) urgency {
	if m.DueInMs == 0 {
		return urgency{priority: m.Priority, due: noDueTime}
	}
	return urgency{priority: m.Priority, due: now + time.Duration(m.DueInMs)*time.Millisecond}
}

func (u urgency) compare(o urgency) int {
	return cmp.Or(cmp.Compare(u.priority, o.priority), cmp.Compare(u.due, o.due))
}

// sortQueue orders the queue by urgency. Tasks beyond the age limit go first.
func (s *State) sortQueue(now time.Duration) {
	if len(s.queue) < 2 {
		return
	}
	slices.SortStableFunc(s.queue, func(a, b *taskRecord) int {
		agedA, agedB := now-a.queuedAt >= ageLimit, now-b.queuedAt >= ageLimit
		switch {
		case agedA && !agedB:
			return -1
		case agedB && !agedA:
			return 1
		case agedA:
			return cmp.Compare(a.queuedAt, b.queuedAt)
		}
		return cmp.Or(a.urgency.compare(b.urgency), cmp.Compare(a.queuedAt, b.queuedAt))
	})
}

// addRefused records a refused start. Beyond maxRefusedStarts the least urgent one is
// dropped.
func (l *link) addRefused(u urgency) {
	i, _ := slices.BinarySearchFunc(l.refused, u, urgency.compare)
	l.refused = slices.Insert(l.refused, i, u)
	l.refused = l.refused[:min(len(l.refused), maxRefusedStarts)]
}

// demoteLate makes the refused starts whose due time has passed the least urgent ones.
func (l *link) demoteLate(now time.Duration) {
	late := false
	for i := range l.refused {
		if l.refused[i].due < now {
			l.refused[i], late = leastUrgent, true
		}
	}
	if late {
		slices.SortFunc(l.refused, urgency.compare)
	}
}

// nextOffer returns the index in the offer queue of the link that is offered room
// next: one beyond the age limit, or else the one with the most urgent refused start.
// The queue is in the order in which the links began to wait.
func (s *State) nextOffer(now time.Duration) int {
	if now-s.offerQueue[0].waitsSince >= ageLimit {
		return 0
	}
	best := 0
	for i, l := range s.offerQueue {
		l.demoteLate(now)
		if l.refused[0].compare(s.offerQueue[best].refused[0]) < 0 {
			best = i
		}
	}
	return best
}
