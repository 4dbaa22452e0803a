package endpoint

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/transport/clock"
	"github.com/savorystair/savorystair/internal/transport/pause"
)

const (
	// maxListWait is how long the endpoint may delay the response to a list
	// request while no run ends. A lost response delays the ends that it
	// reported by as long, and the shortest tasks of users take only 60 ms.
	maxListWait = 40 * time.Millisecond
	// requestTimeout limits a request to the endpoint. The endpoint is on the
	// same host and responds within 1 to 5 ms. A request that times out is
	// repeated.
	requestTimeout = 40 * time.Millisecond
	// requestRetryDelay is the delay before a failed request is repeated.
	requestRetryDelay = 10 * time.Millisecond
	// lapseMargin is added to the end of a lease for the time that the endpoint
	// takes to kill its runs.
	lapseMargin = 60 * time.Millisecond
	// maxClockDrift is the fraction by which an endpoint's clock may run slow.
	maxClockDrift = 0.02
	// silenceTimeout is how long an endpoint may send no response before it gets
	// no new tasks. Single requests can time out while the endpoint is working.
	silenceTimeout = 400 * time.Millisecond
)

// ErrRestarted is the cause with which the context of Serve is cancelled if the
// endpoint has announced itself as a new incarnation.
var ErrRestarted = errors.New("the endpoint has restarted")

// LeasedRunner is a Runner for an endpoint that runs tasks under a lease. It
// renews the lease and stops unowned runs, which belong to none of its current
// tasks. It returns the outcome of a run once the run has certainly ended: its
// end was listed, it is no longer listed although its start or stop was
// acknowledged, the lease has lapsed, or the endpoint has restarted.
type LeasedRunner struct {
	// Controller sends the requests to the endpoint.
	Controller RunController
	// LeaseDuration is how far ahead of the endpoint's clock the lease is
	// renewed.
	LeaseDuration time.Duration
	// Announced is the Listing.Incarnation of the endpoint that was announced. Another
	// one that answers in its place counts as a restarted endpoint. Empty means that
	// the first listing decides.
	Announced string
	// OnRestart is called when another incarnation of the endpoint has answered.
	OnRestart func()
	// MaxLease is the longest lease that the endpoint grants; 0 means LeaseDuration.
	MaxLease time.Duration
	Log      *zap.Logger
	// CountEvent counts an event, such as a failed request, by name.
	CountEvent func(event string)

	stopRequests   sync.WaitGroup
	mu             sync.Mutex
	runs           map[Run]*leasedRun // by task, as a Run without number
	highestNumbers map[Run]uint32     // highest run number used, by the same key
	incarnation    string             // of the endpoint
	endpointClock  time.Duration      // last reading of the endpoint's clock
	clockReadAt    time.Duration      // reading of this host's clock when endpointClock was received
	listedAt       time.Duration      // when the latest listing was requested
	brokenAt       time.Duration      // when a request last failed without a response, but for time-outs
	leaseEnd       time.Duration      // latest end of the lease that was requested, on the endpoint's clock
	fence          uint64             // fencing token of the requests; 0 until the endpoint's clock is known
	fenceStep      uint64             // by how much the latest rejection raised fence, 0 after a listing
	lastSeenEnd    uint64             // number of the last end that was processed
	pendingStops   map[Run]bool       // unowned runs whose stop request is under way
	unownedListed  bool               // whether the latest listing has shown an unowned run
	unownedCleared bool               // whether a listing with the fencing token has shown no unowned run
	refusedSince   bool               // whether the endpoint has refused a connection since its last response
	restarted      bool               // whether the endpoint has restarted
	closed         bool               // whether the endpoint is no longer served: no run is added and the lease not renewed
	gone           bool               // whether the endpoint has restarted or Serve has returned
}

// Serve renews the lease and processes listings until ctx ends or the endpoint
// restarts. It calls onReadyChange when the endpoint becomes ready for tasks,
// which requires that no unowned run is left there, and when it becomes
// unreachable. After ctx has ended, Serve returns once all runs have ended.
func (l *LeasedRunner) Serve(ctx context.Context, onReadyChange func(ready bool)) {
	defer l.stopRequests.Wait()
	defer func() { l.abandonRuns(errors.Is(context.Cause(ctx), ErrRestarted)) }()
	ready := false
	reportReady := func(current bool) {
		if current != ready {
			ready = current
			onReadyChange(current)
		}
	}
	for ctx.Err() == nil && !l.isGone() {
		request, requestedAt := l.newListRequest(), clock.SinceBoot()
		listing, err := l.listRuns(ctx, request)
		if err == nil {
			l.applyListing(ctx, request, requestedAt, listing)
			reportReady(l.isUnownedCleared())
			continue
		}
		l.handleListError(ctx, err)
		if errors.Is(err, syscall.ECONNREFUSED) || l.silentFor() > silenceTimeout {
			reportReady(false)
		}
	}
	if ctx.Err() == nil {
		reportReady(false)
		if l.OnRestart != nil {
			l.OnRestart()
		}
		l.awaitLateStarts()
		return
	}
	l.awaitEnds(context.WithoutCancel(ctx))
	if l.hasRestarted() || errors.Is(context.Cause(ctx), ErrRestarted) {
		l.awaitLateStarts()
	}
}

func (l *LeasedRunner) hasRestarted() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restarted
}

// silentFor returns the time since the endpoint last responded.
func (l *LeasedRunner) silentFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return clock.SinceBoot() - l.clockReadAt
}

// newListRequest returns the next list request. It renews the lease unless the
// endpoint is silent: a request without a response may still have renewed it. The
// first listing may show unowned runs, so that it renews nothing either. Until the
// endpoint is ready for tasks, the request does not wait for an end.
func (l *LeasedRunner) newListRequest() ListRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	request := ListRequest{LastSeenEnd: l.lastSeenEnd, Fence: l.fence}
	if l.fence == 0 {
		return request
	}
	if l.unownedCleared || l.unownedListed {
		request.MaxWait = maxListWait
	}
	if l.incarnation != "" && clock.SinceBoot()-l.clockReadAt <= silenceTimeout {
		request.LeaseEnd = l.extendLease()
	}
	return request
}

// extendLease returns the new end of the lease, on the endpoint's clock, and
// records it. The lease never reaches beyond the time by which one of the runs must
// have ended: a stop request may get no response while the endpoint answers others.
// For the same reason it is not extended while an unowned run is listed, nor while the
// endpoint refuses connections, so that its runs soon count as ended. The caller holds
// the lock.
func (l *LeasedRunner) extendLease() time.Duration {
	end := l.endpointClock + clock.SinceBoot() - l.clockReadAt + l.LeaseDuration
	for _, r := range l.runs {
		if r.endBy != nil && !r.hasEnded() {
			end = min(end, l.latestLeaseEnd(r.endBy()))
		}
	}
	if l.unownedListed || l.closed || l.refusedSince {
		end = min(end, l.leaseEnd)
	}
	l.leaseEnd = max(l.leaseEnd, end)
	return max(0, end)
}

// latestLeaseEnd returns the latest end of a lease, on the endpoint's clock, that
// lapses by a reading of this host's clock. The caller holds the lock.
func (l *LeasedRunner) latestLeaseEnd(by time.Duration) time.Duration {
	remaining := by - lapseMargin - l.clockReadAt
	return l.endpointClock + time.Duration(float64(remaining)*(1-maxClockDrift))
}

// leaseLapsed reports whether the lease has certainly lapsed, even if the
// endpoint's clock runs slow.
func (l *LeasedRunner) leaseLapsed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaseLeft() < 0
}

// leaseLeft returns the time until the lease has certainly lapsed. The caller
// holds the lock.
func (l *LeasedRunner) leaseLeft() time.Duration {
	remaining := time.Duration(float64(l.leaseEnd-l.endpointClock) / (1 - maxClockDrift))
	return l.clockReadAt + remaining + lapseMargin - clock.SinceBoot()
}

func (l *LeasedRunner) handleListError(ctx context.Context, err error) {
	if _, ok := asRejected(err); !ok {
		l.CountEvent("listings_failed")
		l.Log.Debug("list request to endpoint failed", zap.Error(err))
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		l.setRefused()
	}
	l.endLapsedRuns()
	pause.For(ctx, requestRetryDelay)
}

// setEndpointClock records a reading of the endpoint's clock. The caller holds
// the lock.
func (l *LeasedRunner) setEndpointClock(reading time.Duration) {
	if reading > 0 {
		l.endpointClock = reading
		l.clockReadAt = clock.SinceBoot()
		l.refusedSince = false
	}
}

// applyListing processes the response to a list request that was sent at
// requestedAt.
func (l *LeasedRunner) applyListing(ctx context.Context, request ListRequest, requestedAt time.Duration, listing Listing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.incarnation == "" {
		l.incarnation = cmp.Or(l.Announced, listing.Incarnation)
	}
	if listing.Incarnation != l.incarnation {
		l.gone, l.restarted = true, true
		return
	}
	l.setEndpointClock(listing.Clock)
	l.listedAt = max(l.listedAt, requestedAt)
	l.fenceStep = 0
	if l.fence == 0 {
		l.fence = uint64(listing.Clock.Milliseconds()) + 1
	}
	for _, e := range listing.Ended {
		l.applyEnd(e)
	}
	listed := map[Run]Progress{}
	for _, p := range listing.Running {
		listed[p.Run] = p
	}
	for _, r := range l.runs {
		l.updateRun(r, requestedAt, listing.Clock, listed)
	}
	if l.closed {
		return
	}
	l.stopUnownedRuns(ctx, listing.Running)
	// From this fencing token on, the endpoint rejects late starts of earlier agents.
	l.unownedCleared = l.unownedCleared || !l.unownedListed && request.Fence > 0
}

// applyEnd records the end of a run, unless it was processed before. The caller
// holds the lock.
func (l *LeasedRunner) applyEnd(e End) {
	if e.Number <= l.lastSeenEnd {
		return
	}
	l.lastSeenEnd = e.Number
	if r := l.runs[e.Run.withoutNumber()]; r != nil && r.run == e.Run {
		r.recordEnd(e.Ending)
	}
}

// updateRun updates a run from a listing that was requested at requestedAt, and
// made when the endpoint's clock read endpointClock. A run that is not listed has
// ended if its stop was acknowledged before the request. If only its start was,
// the run has ended once two consecutive listings lack it.
func (l *LeasedRunner) updateRun(r *leasedRun, requestedAt, endpointClock time.Duration, listed map[Run]Progress) {
	progress, isListed := listed[r.run]
	switch {
	case isListed:
		r.missedListings = 0
		if r.startAckedAt == 0 {
			r.startAckedAt = clock.SinceBoot()
			time.AfterFunc(startResponseGrace, r.cancelStart)
		}
		r.recordProgress(endpointClock, progress.Percent)
	case r.stopAckedAt > 0 && r.stopAckedAt < requestedAt:
		r.recordEnd(EndedStopped)
	case r.startAckedAt > 0 && r.startAckedAt < requestedAt:
		r.missedListings++
		if r.missedListings > 1 {
			l.CountEvent("runs_vanished")
			r.recordEnd(EndedUnknown)
		}
	}
}

// stopUnownedRuns stops the listed runs that belong to no current task, such as
// those that an earlier agent left at the endpoint. The caller holds the lock.
func (l *LeasedRunner) stopUnownedRuns(ctx context.Context, running []Progress) {
	unowned := 0
	for _, p := range running {
		if r := l.runs[p.Run.withoutNumber()]; r != nil && r.run == p.Run {
			continue
		}
		unowned++
		if l.pendingStops[p.Run] {
			continue
		}
		if l.pendingStops == nil {
			l.pendingStops = map[Run]bool{}
		}
		l.pendingStops[p.Run] = true
		l.Log.Info("stopping a run that belongs to no current task", zap.Stringer("run", p.Run))
		l.CountEvent("unowned_stopped")
		l.stopRequests.Go(func() { l.stopUnownedRun(ctx, p.Run) })
	}
	l.unownedListed = unowned > 0
}

func (l *LeasedRunner) stopUnownedRun(ctx context.Context, r Run) {
	if err := l.sendRequest(ctx, func(ctx context.Context) (time.Duration, error) {
		return l.Controller.Stop(ctx, r, l.Fence())
	}); err != nil {
		l.Log.Debug("stop request to endpoint failed", zap.Stringer("run", r), zap.Error(err))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pendingStops, r)
}

func (l *LeasedRunner) isUnownedCleared() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.unownedCleared
}
