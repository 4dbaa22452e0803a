// Package leased is a stand-in for an endpoint that is given orders and runs
// what it is told under a lease: its clock, its memory of runs, fences and ends,
// and the ways in which its calls fail.
package leased

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/savorystair/savorystair/internal/agent/endpoint"
)

// errNoAnswer is what a call gets whose answer is lost.
var errNoAnswer = errors.New("no answer")

// Faults are the ways in which calls and runs fail. The zero value has none.
type Faults struct {
	Late    float64       // share of orders without an answer, carried out later
	LateBy  time.Duration // how much later
	Lost    float64       // share of answers that are lost
	Hang    bool          // runs make no progress
	FailAll bool          // runs fail at their end
	Room    bool          // starts are rejected for want of room
	Refused bool          // starts are rejected by an unhealthy endpoint
	Silent  bool          // calls get no answer and have no effect
}

// Endpoint runs every task for the same time. It is safe for concurrent use.
type Endpoint struct {
	// Work is how long a run takes.
	Work time.Duration

	mu       sync.Mutex
	random   *rand.Rand
	faults   Faults
	life     int
	born     time.Time
	until    time.Duration
	fence    uint64
	runs     map[endpoint.Run]*run
	highest  map[endpoint.Run]uint32 // ended or stopped, by task
	ended    []endpoint.End
	lastEnd  uint64
	change   chan struct{} // closed at each end
	starts   int
	overlaps []string
	late     sync.WaitGroup
	closed   bool // no further order is carried out late
}

type run struct {
	began time.Time
	timer *time.Timer
	hang  bool
}

// New returns an endpoint whose faults repeat from a seed.
func New(work time.Duration, seed uint64) *Endpoint {
	e := &Endpoint{Work: work, random: rand.New(rand.NewPCG(seed, 1))}
	e.Crash()
	return e
}

// Set replaces the faults in force.
func (e *Endpoint) Set(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SetWork changes how long the runs take that begin from now on.
func (e *Endpoint) SetWork(work time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Work = work
}

// Crash ends everything and starts the endpoint again without memory.
func (e *Endpoint) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.runs {
		r.timer.Stop()
	}
	e.life++
	e.born = time.Now()
	e.until, e.fence, e.lastEnd, e.ended = 0, 0, 0, nil
	e.runs = map[endpoint.Run]*run{}
	e.highest = map[endpoint.Run]uint32{}
	if e.change != nil {
		close(e.change)
	}
	e.change = make(chan struct{})
}

// Running returns the runs that are there now.
func (e *Endpoint) Running() []endpoint.Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lapse()
	var all []endpoint.Run
	for r := range e.runs {
		all = append(all, r)
	}
	return all
}

// Starts returns how many runs were begun, and a line for each that began while
// another run of its task was there.
func (e *Endpoint) Starts() (int, []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.starts, slices.Clone(e.overlaps)
}

// Close waits for the orders that are carried out late. Those that come after it
// are not.
func (e *Endpoint) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.late.Wait()
}

func (e *Endpoint) clock() time.Duration { return time.Since(e.born) + time.Second }

// lapse ends everything once the lease is over.
func (e *Endpoint) lapse() {
	if len(e.runs) == 0 || e.clock() <= e.until {
		return
	}
	for r := range e.runs {
		e.end(r, endpoint.EndedLapsed)
	}
}

func (e *Endpoint) end(r endpoint.Run, how endpoint.Ending) {
	held := e.runs[r]
	if held == nil {
		return
	}
	held.timer.Stop()
	delete(e.runs, r)
	e.lastEnd++
	e.ended = append(e.ended, endpoint.End{Number: e.lastEnd, Run: r, How: how})
	e.close(r)
	close(e.change)
	e.change = make(chan struct{})
}

// close refuses further runs up to r's number.
func (e *Endpoint) close(r endpoint.Run) {
	task := taskOf(r)
	e.highest[task] = max(e.highest[task], r.Number)
}

func taskOf(r endpoint.Run) endpoint.Run {
	r.Number = 0
	return r
}

// call carries an order out, now or late, and loses its answer if it is to.
func (e *Endpoint) call(ctx context.Context, do func() error) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lapse()
	f := e.faults
	switch {
	case f.Silent:
		return e.silence(ctx)
	case e.random.Float64() < f.Late && !e.closed:
		life := e.life
		e.late.Go(func() {
			time.Sleep(f.LateBy)
			e.mu.Lock()
			defer e.mu.Unlock()
			e.lapse()
			if e.life == life {
				// Nobody waits for the outcome of a late order.
				_ = do()
			}
		})
		return e.silence(ctx)
	}
	err := do()
	if e.random.Float64() < f.Lost {
		return e.silence(ctx)
	}
	return err
}

// silence waits until the caller gives up.
func (e *Endpoint) silence(ctx context.Context) error {
	e.mu.Unlock()
	defer e.mu.Lock()
	<-ctx.Done()
	return errNoAnswer
}

func (e *Endpoint) reject(why endpoint.Rejection) error {
	return &endpoint.RejectedError{Why: why, Clock: e.clock()}
}

func (e *Endpoint) fenced(fence uint64) bool {
	if fence < e.fence {
		return true
	}
	e.fence = fence
	return false
}

// Start begins a run.
func (e *Endpoint) Start(ctx context.Context, s endpoint.StartOrder) (time.Duration, error) {
	err := e.call(ctx, func() error { return e.start(s) })
	return e.now(), err
}

func (e *Endpoint) start(s endpoint.StartOrder) error {
	switch {
	case e.faults.Refused:
		return e.reject(endpoint.RejectedUnhealthy)
	case e.fenced(s.Fence):
		return e.reject(endpoint.RejectedFence)
	case s.Until <= e.clock():
		return e.reject(endpoint.RejectedLate)
	}
	e.until = max(e.until, s.Until)
	switch {
	case e.runs[s.Run] != nil:
		return nil
	case s.Run.Number <= e.highest[taskOf(s.Run)]:
		return e.reject(endpoint.RejectedOld)
	case e.faults.Room:
		return e.reject(endpoint.RejectedRoom)
	}
	for other := range e.runs {
		if taskOf(other) == taskOf(s.Run) {
			e.overlaps = append(e.overlaps, fmt.Sprintf("%s beside %s", s.Run, other))
		}
	}
	e.starts++
	e.runs[s.Run] = e.begin(s.Run)
	return nil
}

func (e *Endpoint) begin(r endpoint.Run) *run {
	how := endpoint.EndedDone
	if e.faults.FailAll {
		how = endpoint.EndedFailed
	}
	held := &run{began: time.Now(), hang: e.faults.Hang}
	held.timer = time.AfterFunc(e.Work, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.lapse()
		if e.runs[r] == held && !held.hang {
			e.end(r, how)
		}
	})
	return held
}

// Stop ends a run.
func (e *Endpoint) Stop(ctx context.Context, r endpoint.Run, fence uint64) (time.Duration, error) {
	err := e.call(ctx, func() error {
		if e.fenced(fence) {
			return e.reject(endpoint.RejectedFence)
		}
		e.close(r)
		e.end(r, endpoint.EndedStopped)
		return nil
	})
	return e.now(), err
}

// List renews the lease and lists the runs.
func (e *Endpoint) List(ctx context.Context, l endpoint.ListOrder) (endpoint.Listing, error) {
	var out endpoint.Listing
	err := e.call(ctx, func() error {
		if e.fenced(l.Fence) {
			return e.reject(endpoint.RejectedFence)
		}
		e.until = max(e.until, l.Until)
		out = e.listing(l.Seen)
		return nil
	})
	if err == nil && len(out.Ended) == 0 && l.Wait > 0 {
		out = e.wait(ctx, l)
	}
	return out, err
}

// wait returns the listing after the next end, or after the time to wait.
func (e *Endpoint) wait(ctx context.Context, l endpoint.ListOrder) endpoint.Listing {
	e.mu.Lock()
	change := e.change
	e.mu.Unlock()
	select {
	case <-change:
	case <-time.After(l.Wait):
	case <-ctx.Done():
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lapse()
	return e.listing(l.Seen)
}

func (e *Endpoint) listing(seen uint64) endpoint.Listing {
	e.ended = slices.DeleteFunc(e.ended, func(end endpoint.End) bool { return end.Number <= seen })
	li := endpoint.Listing{
		Incarnation: fmt.Sprint(e.life),
		Clock:       e.clock(),
		Ended:       slices.Clone(e.ended),
	}
	for r, held := range e.runs {
		percent := int(100 * time.Since(held.began) / max(e.Work, 1))
		if held.hang {
			percent = 0
		}
		li.Running = append(li.Running, endpoint.Progress{Run: r, Percent: percent})
	}
	return li
}

func (e *Endpoint) now() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.clock()
}
