// Package leased is a stand-in for an endpoint that runs tasks under a lease. It
// implements endpoint.RunController in memory, with a clock and a fence of its
// own, and injects faults.
package leased

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/savorystair/savorystair/internal/agent/endpoint"
)

// errNoResponse is returned for a request that gets no response.
var errNoResponse = errors.New("no response from the endpoint")

// Faults are the faults injected into requests and runs. The zero value has
// none.
type Faults struct {
	LateRequestShare  float64       // share of requests that get no response and are executed late
	LateRequestDelay  time.Duration // delay of late requests
	LateStopShare     float64       // the same for stop requests alone
	LostResponseShare float64       // share of responses that are lost
	HangRuns          bool          // runs that start make no progress
	FailAll           bool          // runs that start fail at their end
	RejectNoRoom      bool          // starts are rejected because there is no room
	RejectUnhealthy   bool          // starts are rejected because the endpoint is unhealthy
	Silent            bool          // requests get no response and have no effect
	RefuseConnections bool          // requests fail as if no process listened
}

// Endpoint runs every task for the same time. It is safe for concurrent use.
type Endpoint struct {
	// RunTime is the run time of each task.
	RunTime time.Duration
	// MaxLease is the longest lease that is granted; 0 means that there is no limit.
	MaxLease time.Duration

	mu            sync.Mutex
	random        *rand.Rand
	faults        Faults
	incarnation   int
	startedAt     time.Time
	leaseEnd      time.Duration // on the endpoint's clock
	fence         uint64        // the highest of all requests
	running       map[endpoint.Run]*activeRun
	highestEnded  map[endpoint.Run]uint32 // ended or stopped, by task
	unseenEnds    []endpoint.End          // not yet confirmed as seen by a list request
	lastEndNumber uint64
	endSignal     chan struct{} // closed at each end
	startCount    int
	overlaps      []string // starts while another run of the task was active
	lateRequests  sync.WaitGroup
	closed        bool // no further request is executed late
}

// activeRun is a run that has not ended. One that hangs does not end by itself.
type activeRun struct {
	startedAt time.Time
	timer     *time.Timer
	hangs     bool
}

// New returns an endpoint whose random faults are determined by a seed.
func New(runTime time.Duration, seed uint64) *Endpoint {
	e := &Endpoint{RunTime: runTime, random: rand.New(rand.NewPCG(seed, 1))}
	e.Crash()
	return e
}

// SetFaults replaces the injected faults.
func (e *Endpoint) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

func (e *Endpoint) currentFaults() Faults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetRunTime changes the run time of the tasks that start from now on.
func (e *Endpoint) SetRunTime(runTime time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.RunTime = runTime
}

// Crash ends all runs and restarts the endpoint as a new incarnation without any
// state.
func (e *Endpoint) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.running {
		r.timer.Stop()
	}
	e.incarnation++
	e.startedAt = time.Now()
	e.leaseEnd, e.fence, e.lastEndNumber, e.unseenEnds = 0, 0, 0, nil
	e.running = map[endpoint.Run]*activeRun{}
	e.highestEnded = map[endpoint.Run]uint32{}
	if e.endSignal != nil {
		close(e.endSignal)
	}
	e.endSignal = make(chan struct{})
}

// Running returns the runs that have not ended.
func (e *Endpoint) Running() []endpoint.Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLease()
	var all []endpoint.Run
	for r := range e.running {
		all = append(all, r)
	}
	return all
}

// Starts returns how many runs were started, and a description of each that was
// started while another run of its task had not ended.
func (e *Endpoint) Starts() (int, []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.startCount, slices.Clone(e.overlaps)
}

// Close waits until the delayed requests have been executed. Requests that
// arrive after Close are never executed late.
func (e *Endpoint) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.lateRequests.Wait()
}

// clock returns a reading of the endpoint's clock. The clock starts at one
// second, since an agent derives its fence from a reading, and 0 means no fence.
func (e *Endpoint) clock() time.Duration { return time.Since(e.startedAt) + time.Second }

// expireLease ends all runs if the lease has ended. Every request calls it
// first, so that no run is seen to outlive the lease. The caller holds the lock.
func (e *Endpoint) expireLease() {
	if len(e.running) == 0 || e.clock() <= e.leaseEnd {
		return
	}
	for r := range e.running {
		e.endRun(r, endpoint.EndedLapsed)
	}
}

// extendLease extends the lease up to a reading of the endpoint's clock. The caller
// holds the lock.
func (e *Endpoint) extendLease(end time.Duration) {
	if e.MaxLease > 0 {
		end = min(end, e.clock()+e.MaxLease)
	}
	e.leaseEnd = max(e.leaseEnd, end)
}

// endRun ends a run, if it has not ended yet, and wakes the list requests that
// wait for an end. The caller holds the lock.
func (e *Endpoint) endRun(r endpoint.Run, ending endpoint.Ending) {
	active := e.running[r]
	if active == nil {
		return
	}
	active.timer.Stop()
	delete(e.running, r)
	e.lastEndNumber++
	e.unseenEnds = append(e.unseenEnds, endpoint.End{Number: e.lastEndNumber, Run: r, Ending: ending})
	e.rejectUpTo(r)
	close(e.endSignal)
	e.endSignal = make(chan struct{})
}

// rejectUpTo makes the endpoint reject starts of r's task up to r's number.
func (e *Endpoint) rejectUpTo(r endpoint.Run) {
	task := taskOf(r)
	e.highestEnded[task] = max(e.highestEnded[task], r.Number)
}

// taskOf returns the run without its number, which identifies its task.
func taskOf(r endpoint.Run) endpoint.Run {
	r.Number = 0
	return r
}

// handleRequest executes a request under the injected faults: at once, late or
// not at all, and with or without a response. A request is late with probability
// lateShare. HandleRequest calls execute with the lock held.
func (e *Endpoint) handleRequest(ctx context.Context, lateShare float64, execute func() error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLease()
	f := e.faults
	switch {
	case f.RefuseConnections:
		return fmt.Errorf("request to endpoint: %w", syscall.ECONNREFUSED)
	case f.Silent:
		return e.withholdResponse(ctx)
	case e.random.Float64() < lateShare && !e.closed:
		incarnation := e.incarnation
		e.lateRequests.Go(func() {
			time.Sleep(f.LateRequestDelay)
			e.mu.Lock()
			defer e.mu.Unlock()
			e.expireLease()
			if e.incarnation == incarnation {
				// A late request gets no response, so its error is dropped.
				_ = execute()
			}
		})
		return e.withholdResponse(ctx)
	}
	err := execute()
	if e.random.Float64() < f.LostResponseShare {
		return e.withholdResponse(ctx)
	}
	return err
}

// withholdResponse waits until the request times out. The caller holds the lock,
// which is released during the wait.
func (e *Endpoint) withholdResponse(ctx context.Context) error {
	e.mu.Unlock()
	defer e.mu.Lock()
	<-ctx.Done()
	return errNoResponse
}

// reject returns the error for a request that is rejected without effect.
func (e *Endpoint) reject(rejection endpoint.Rejection) error {
	return &endpoint.RejectedError{Rejection: rejection, Clock: e.clock()}
}

// staleFence reports whether the fence of a request is lower than the highest
// one so far. If not, it becomes the highest.
func (e *Endpoint) staleFence(fence uint64) bool {
	if fence < e.fence {
		return true
	}
	e.fence = fence
	return false
}

// Start starts a run and returns a reading of the endpoint's clock.
func (e *Endpoint) Start(ctx context.Context, s endpoint.StartRequest) (time.Duration, error) {
	err := e.handleRequest(ctx, e.currentFaults().LateRequestShare, func() error { return e.start(s) })
	return e.readClock(), err
}

// start executes a start request. If the run is active already, it succeeds and
// only renews the lease. The caller holds the lock.
func (e *Endpoint) start(s endpoint.StartRequest) error {
	switch {
	case e.faults.RejectUnhealthy:
		return e.reject(endpoint.RejectedUnhealthy)
	case e.staleFence(s.Fence):
		return e.reject(endpoint.RejectedFence)
	case s.LeaseEnd <= e.clock():
		return e.reject(endpoint.RejectedLeaseEnded)
	}
	e.extendLease(s.LeaseEnd)
	switch {
	case e.running[s.Run] != nil:
		return nil
	case s.Run.Number <= e.highestEnded[taskOf(s.Run)]:
		return e.reject(endpoint.RejectedOldRun)
	case e.faults.RejectNoRoom:
		return e.reject(endpoint.RejectedNoRoom)
	}
	for other := range e.running {
		if taskOf(other) == taskOf(s.Run) {
			e.overlaps = append(e.overlaps, fmt.Sprintf("%s beside %s", s.Run, other))
		}
	}
	e.startCount++
	e.running[s.Run] = e.newRun(s.Run)
	return nil
}

// newRun returns an active run that ends by itself after the run time, unless
// it hangs.
func (e *Endpoint) newRun(r endpoint.Run) *activeRun {
	ending := endpoint.EndedDone
	if e.faults.FailAll {
		ending = endpoint.EndedFailed
	}
	active := &activeRun{startedAt: time.Now(), hangs: e.faults.HangRuns}
	active.timer = time.AfterFunc(e.RunTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.expireLease()
		if e.running[r] == active && !active.hangs {
			e.endRun(r, ending)
		}
	})
	return active
}

// Stop ends a run, makes the endpoint reject later starts of it, and returns a
// reading of the endpoint's clock.
func (e *Endpoint) Stop(ctx context.Context, r endpoint.Run, fence uint64) (time.Duration, error) {
	f := e.currentFaults()
	err := e.handleRequest(ctx, max(f.LateRequestShare, f.LateStopShare), func() error {
		if e.staleFence(fence) {
			return e.reject(endpoint.RejectedFence)
		}
		e.rejectUpTo(r)
		e.endRun(r, endpoint.EndedStopped)
		return nil
	})
	return e.readClock(), err
}

// List renews the lease and lists the runs. If there are no ends to report, it
// waits up to l.MaxWait for one.
func (e *Endpoint) List(ctx context.Context, l endpoint.ListRequest) (endpoint.Listing, error) {
	var listing endpoint.Listing
	err := e.handleRequest(ctx, e.currentFaults().LateRequestShare, func() error {
		if e.staleFence(l.Fence) {
			return e.reject(endpoint.RejectedFence)
		}
		e.extendLease(l.LeaseEnd)
		listing = e.makeListing(l.LastSeenEnd)
		return nil
	})
	if err == nil && len(listing.Ended) == 0 && l.MaxWait > 0 {
		listing = e.waitForEnd(ctx, l)
	}
	return listing, err
}

// waitForEnd returns the listing after the next end of a run, or after
// l.MaxWait.
func (e *Endpoint) waitForEnd(ctx context.Context, l endpoint.ListRequest) endpoint.Listing {
	e.mu.Lock()
	endSignal := e.endSignal
	e.mu.Unlock()
	select {
	case <-endSignal:
	case <-time.After(l.MaxWait):
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLease()
	return e.makeListing(l.LastSeenEnd)
}

// makeListing discards the ends up to number lastSeenEnd, and returns the others
// with the active runs. The caller holds the lock.
func (e *Endpoint) makeListing(lastSeenEnd uint64) endpoint.Listing {
	e.unseenEnds = slices.DeleteFunc(e.unseenEnds, func(end endpoint.End) bool { return end.Number <= lastSeenEnd })
	listing := endpoint.Listing{
		Incarnation: fmt.Sprint(e.incarnation),
		Clock:       e.clock(),
		Ended:       slices.Clone(e.unseenEnds),
	}
	for r, active := range e.running {
		percent := int(100 * time.Since(active.startedAt) / max(e.RunTime, 1))
		if active.hangs {
			percent = 0
		}
		listing.Running = append(listing.Running, endpoint.Progress{Run: r, Percent: percent})
	}
	return listing
}

// readClock returns a reading of the endpoint's clock. Unlike clock, it is called
// without the lock.
func (e *Endpoint) readClock() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock()
}
