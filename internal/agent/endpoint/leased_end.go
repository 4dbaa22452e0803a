package endpoint

import (
	"cmp"
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/transport/clock"
	"github.com/savorystair/savorystair/internal/transport/pause"
)

// awaitEnds waits until all runs have ended, at the latest with the lease, which is no
// longer renewed. The endpoint may have another runner by now.
func (l *LeasedRunner) awaitEnds(ctx context.Context) {
	l.mu.Lock()
	l.closed = true
	if len(l.runs) > 0 {
		l.Log.Info("awaiting the end of the runs of an endpoint that is no longer served", zap.Int("runs", len(l.runs)), zap.Duration("lease_left", l.leaseLeft()))
	}
	l.mu.Unlock()
	for l.hasActiveRun() && !l.isGone() && !l.leaseLapsed() {
		request, requestedAt := l.newListRequest(), clock.SinceBoot()
		listing, err := l.listRuns(ctx, request)
		if err == nil {
			l.applyListing(ctx, request, requestedAt, listing)
			continue
		}
		pause.For(ctx, requestRetryDelay)
	}
}

// hasActiveRun reports whether a run has not ended.
func (l *LeasedRunner) hasActiveRun() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs {
		if !r.hasEnded() {
			return true
		}
	}
	return false
}

// awaitLateStarts waits, after a restart of the endpoint, for the runs that the new
// incarnation may have started: it can have the id of the earlier one, so that it
// accepts a request for that. Such a run ends with its lease, which no request of this
// runner extends. The other runs ended with the restart.
func (l *LeasedRunner) awaitLateStarts() {
	for {
		l.mu.Lock()
		until := time.Duration(0)
		for _, r := range l.runs {
			if by := l.lateStartEnd(r); clock.SinceBoot() < by {
				until = max(until, by)
			} else {
				r.recordEnd(EndedCrashed)
			}
		}
		l.mu.Unlock()
		if until == 0 {
			return
		}
		time.Sleep(min(requestRetryDelay, until-clock.SinceBoot()))
	}
}

// lateStartEnd returns when a run that the new incarnation of a restarted endpoint may
// have started has ended, or 0 if it has not started the run. The caller holds the lock.
func (l *LeasedRunner) lateStartEnd(r *leasedRun) time.Duration {
	if r.hasEnded() || r.listed || r.startAckedAt > 0 && r.startAckedAt <= l.listedAt {
		return 0
	}
	lease := time.Duration(float64(cmp.Or(l.MaxLease, l.LeaseDuration)) / (1 - maxClockDrift))
	return r.startSentAt + requestTimeout + lease + lapseMargin
}

// endLapsedRuns records the end of all runs if the lease has lapsed. No request
// extends the lease in between: a run that has ended is not started.
func (l *LeasedRunner) endLapsedRuns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaseLeft() < 0 {
		l.endRuns(l.endingAtLapse())
	}
}

// setRefused records that the endpoint's process does not listen.
func (l *LeasedRunner) setRefused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refusedSince = true
}

// endingAtLapse returns how the runs have ended once the lease has lapsed. An
// endpoint that refuses connections has crashed, unless it is no longer served, since it
// may have left. One that is silent may have crashed, but may as well be unreachable. The
// caller holds the lock.
func (l *LeasedRunner) endingAtLapse() Ending {
	if l.refusedSince && !l.closed {
		return EndedCrashed
	}
	return EndedLapsed
}

// abandonRuns ends all runs and lets no further run be added, because the
// endpoint has restarted or the lease has lapsed.
func (l *LeasedRunner) abandonRuns(restarted bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gone = true
	ending := EndedUnknown
	if restarted || l.restarted {
		ending = EndedCrashed
	}
	l.endRuns(ending)
}

// endRuns records an end for every run that has none. The caller holds the lock.
func (l *LeasedRunner) endRuns(ending Ending) {
	for _, r := range l.runs {
		r.recordEnd(ending)
	}
}

func (l *LeasedRunner) isGone() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gone
}
