// Package backfill decides which queued tasks an endpoint starts now. The first
// queued task that does not fit gets a reservation for the time at which enough
// capacity is expected to be free. A later task may start before it if that does not
// delay the reserved one, or if holding it would leave more processor time idle than
// the reserved task gains (EASY backfilling with a limit on the idle time).
//
// The package reads no clock and keeps no state: the caller passes the reservation of
// one decision to the next.
package backfill

import (
	"time"

	"github.com/savorystair/savorystair/internal/task/resources"
)

// Running is a task that the endpoint runs.
type Running struct {
	Need     resources.Resources
	Elapsed  time.Duration // since its start
	Expected time.Duration // expected run time as of its start
}

// Queued is a task that waits to be started.
type Queued struct {
	Need     resources.Resources
	Expected time.Duration // expected run time
}

// Reservation holds capacity for a queued task that does not fit. The zero value is
// none.
type Reservation struct {
	Active bool
	// Task is the index of the task in the queue. The caller keeps it up to date
	// between two decisions.
	Task int
	// At is when enough capacity is expected to be free, by the latest decision that
	// found a task to hold.
	At time.Duration
	// Since is when the reservation was made.
	Since time.Duration
	// Limit is how long tasks are held before the reservation lapses.
	Limit time.Duration
	// Lapsed reports that no task is held until ResumeAt.
	Lapsed   bool
	ResumeAt time.Duration
	// Holds reports whether a task is held since UpdatedAt, and HeldFor how long tasks
	// were held before that.
	Holds     bool
	UpdatedAt time.Duration
	HeldFor   time.Duration
}

// Input describes an endpoint and its queue.
type Input struct {
	Now time.Duration
	// Capacity limits the sum of the needs of the running tasks. If it is zero,
	// Slots limits their number, and no task is reserved capacity.
	Capacity resources.Resources
	Slots    int
	Running  []Running
	Queue    []Queued    // in the order in which they should start
	Previous Reservation // of the previous decision
}

// Verdict says what happens to a queued task. The comment of each value is its text.
type Verdict int

//go:generate stringer -type=Verdict -linecomment -output=verdict_string.go

// The values of Verdict.
const (
	DoesNotFit Verdict = iota // does_not_fit
	Start                     // start
	// Backfill is the start of a task before a reserved one.
	Backfill // backfilled
	Reserved // reserved
	// Held is a task that fits but would delay the reserved one.
	Held // held
)

// Decision is the outcome for each task of the queue, and the reservation to be
// passed to the next decision.
type Decision struct {
	Verdicts    []Verdict
	Reservation Reservation
}

// Decide decides which queued tasks start now.
func Decide(in Input) Decision {
	d := Decision{Verdicts: make([]Verdict, len(in.Queue))}
	if in.Capacity.IsZero() {
		for i := range min(len(in.Queue), max(0, in.Slots-len(in.Running))) {
			d.Verdicts[i] = Start
		}
		return d
	}
	free := in.Capacity
	for _, r := range in.Running {
		free = free.Without(r.Need)
	}
	p := newPlan(in)
	for i, q := range in.Queue {
		switch {
		case !free.Covers(q.Need):
			p.considerHead(i)
			continue
		case p.head < 0:
			d.Verdicts[i] = Start
		case p.holds(q, free):
			d.Verdicts[i] = Held
			continue
		default:
			d.Verdicts[i] = Backfill
		}
		free = free.Without(q.Need)
		p.started = append(p.started, Running{Need: q.Need, Expected: q.Expected})
	}
	if p.head >= 0 && p.reservation.Active {
		d.Reservation = p.reservation
		d.Verdicts[p.head] = Reserved
	}
	return d
}

// plan is a decision in progress.
type plan struct {
	in          Input
	head        int       // index of the first task that does not fit, -1 if there is none
	started     []Running // tasks that the decision starts
	reservation Reservation
}

// newPlan returns a plan with the previous reservation as of now.
func newPlan(in Input) plan {
	r := in.Previous
	if r.Holds {
		r.HeldFor += in.Now - r.UpdatedAt
	}
	r.Holds = false
	return plan{in: in, head: -1, reservation: r}
}

// considerHead makes task i the head if it is the first that does not fit, and drops
// the reservation of another task. A task above the whole capacity, which may have
// shrunk, reserves nothing.
func (p *plan) considerHead(i int) {
	if p.head >= 0 || !p.in.Capacity.Covers(p.in.Queue[i].Need) {
		return
	}
	p.head = i
	if p.reservation.Task != i {
		p.reservation = Reservation{}
	}
}

// holds reports whether a task that fits must wait for the head. The reservation is
// made or updated when such a task is found, since it has no effect without one.
func (p *plan) holds(q Queued, free resources.Resources) bool {
	need := p.in.Queue[p.head].Need
	running := append(p.in.Running[:len(p.in.Running):len(p.in.Running)], p.started...)
	at, ok := fitsAt(p.in.Now, free, need, running)
	if !ok {
		return false
	}
	p.reserve(at)
	if p.reservation.Lapsed {
		return false
	}
	late := Running{Need: q.Need, Expected: time.Duration(latestRatio * float64(q.Expected))}
	delayed, ok := fitsAt(p.in.Now, free.Without(q.Need), need, append(running, late))
	if !ok || delayed <= at {
		return false
	}
	// The time that the head has waited counts as gained, since a single start delays
	// it little, but a series of them for as long as there are small tasks.
	idle := float64(q.Need.CPUMilli) * float64(at-p.in.Now)
	gained := float64(need.CPUMilli) * float64(delayed-at+p.in.Now-p.reservation.Since)
	if idle > gained {
		return false
	}
	p.reservation.Holds = true
	return true
}
