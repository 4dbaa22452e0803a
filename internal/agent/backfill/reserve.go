package backfill

import (
	"cmp"
	"slices"
	"time"

	"github.com/savorystair/savorystair/internal/task/resources"
)

const (
	// spread is how far run times are from the declared ones, in either direction.
	spread = 0.4
	// latestRatio is the latest end of a task that keeps to the spread, as a multiple
	// of its expected run time.
	latestRatio = 1 + spread
	// tailShare is the least time that a running task is expected to take further, as
	// a share of its time so far. A task that has run past its expectation is one of
	// the tail, where the remaining time grows with the time so far.
	tailShare = 0.25
	// lapseFactor is how long a reservation may hold tasks, as a multiple of the time
	// that it was first expected to take. It allows for the spread.
	lapseFactor = 1 + 2*spread
	// minHold is the least limit. Expected ends that lie within some ms of each other
	// can't be told apart.
	minHold = 10 * time.Millisecond
	// maxHold is the greatest limit: twice the usual latency target of 60 ms. A short
	// task that is held for longer misses its due time.
	maxHold = 120 * time.Millisecond
)

// ExpectedRemaining returns how long a running task is expected to take further. Its
// run time is taken to be spread evenly around the expected one; values below the
// time so far are ruled out.
func ExpectedRemaining(elapsed, expected time.Duration) time.Duration {
	earliest := time.Duration((1 - spread) * float64(expected))
	latest := time.Duration(latestRatio * float64(expected))
	return max((max(elapsed, earliest)+latest)/2-elapsed, time.Duration(tailShare*float64(elapsed)))
}

// fitsAt returns when the need is expected to be covered by what is free now and
// what the tasks release, and whether it ever is.
func fitsAt(now time.Duration, free, need resources.Resources, running []Running) (time.Duration, bool) {
	type release struct {
		in   time.Duration
		need resources.Resources
	}
	releases := make([]release, len(running))
	for i, r := range running {
		releases[i] = release{ExpectedRemaining(r.Elapsed, r.Expected), r.Need}
	}
	slices.SortStableFunc(releases, func(a, b release) int { return cmp.Compare(a.in, b.in) })
	for _, r := range releases {
		free = free.With(r.need)
		if free.Covers(need) {
			return now + r.in, true
		}
	}
	return 0, false
}

// reserve makes the reservation of the head or updates the existing one. A
// reservation that has held tasks up to its limit lapses for as long as it held them,
// so that wrong expectations can't leave capacity idle for more than half of the time.
func (p *plan) reserve(at time.Duration) {
	now, r := p.in.Now, p.reservation
	if !r.Active || r.Lapsed && now >= r.ResumeAt {
		limit := time.Duration(lapseFactor * float64(at-now))
		since := now
		if r.Active {
			since = r.Since
		}
		r = Reservation{Active: true, Task: p.head, Since: since, Limit: min(max(limit, minHold), maxHold)}
	}
	r.At, r.UpdatedAt = at, now
	if !r.Lapsed && r.HeldFor >= r.Limit {
		r.Lapsed = true
		r.ResumeAt = now + r.HeldFor
	}
	p.reservation = r
}
