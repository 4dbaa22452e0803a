package endpoint

import (
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
	// listWait is how long the endpoint may hold back a listing for an end. When
	// a listing is lost, its ends are heard of that much later, while the shortest
	// tasks of the users take 60 ms.
	listWait = 40 * time.Millisecond
	// orderTimeout bounds an order on the same host, which takes 1 to 5 ms there;
	// one that is not answered is given again.
	orderTimeout = 40 * time.Millisecond
	// orderRetry is the delay before an order that failed is given again.
	orderRetry = 10 * time.Millisecond
	// lapseMargin is added to the end of a lease for the time that the
	// endpoint takes to kill its runs.
	lapseMargin = 60 * time.Millisecond
	// clockDrift is by how much an endpoint's clock may be slow.
	clockDrift = 0.02
	// downAfter is how long an endpoint may answer nothing before it gets no
	// new tasks. Some orders get no answer although the endpoint works on.
	downAfter = 400 * time.Millisecond
)

// Leased hands tasks to an endpoint that is given orders. It renews the lease
// of what it runs, and stops what nobody owns. A run's outcome is returned once
// the run has surely ended: its end was listed, it is not listed after its stop
// was acknowledged, or the lease has lapsed.
type Leased struct {
	// Orders are the endpoint's calls.
	Orders Orders
	// Lease is how far ahead the lease is renewed.
	Lease time.Duration
	Log   *zap.Logger
	// Count counts what happens to orders, by name.
	Count func(event string)

	stops       sync.WaitGroup
	mu          sync.Mutex
	runs        map[Run]*leasedRun // by task
	numbers     map[Run]uint32     // the highest number used, by task
	incarnation string
	clock       time.Duration // of the endpoint, when it was read
	clockAt     time.Duration // of this host, when it was read
	until       time.Duration // the latest end of the lease, on the endpoint's clock
	fence       uint64
	seen        uint64
	stopping    map[Run]bool // runs that nobody owns
	clean       bool         // a listing showed nothing that nobody owns
	lost        bool         // the endpoint has gone or started again
}

// Serve keeps the lease and takes listings until ctx ends or the endpoint has
// started again. It says by changed when the endpoint can take tasks, because
// nothing runs there that nobody owns, and when it is out of reach.
func (l *Leased) Serve(ctx context.Context, changed func(up bool)) {
	defer l.stops.Wait()
	defer l.endAll()
	up := false
	tell := func(now bool) {
		if now != up {
			up = now
			changed(now)
		}
	}
	for ctx.Err() == nil && !l.isLost() {
		began := clock.Boot()
		listing, err := l.list(ctx)
		if err == nil {
			l.take(ctx, began, listing)
			tell(l.isClean())
			continue
		}
		l.listFailed(ctx, err)
		if errors.Is(err, syscall.ECONNREFUSED) || l.quiet() > downAfter {
			tell(false)
		}
	}
	if ctx.Err() == nil {
		tell(false)
	}
}

// quiet returns for how long the endpoint has answered nothing.
func (l *Leased) quiet() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return clock.Boot() - l.clockAt
}

func (l *Leased) list(ctx context.Context) (Listing, error) {
	l.mu.Lock()
	order := ListOrder{Seen: l.seen, Fence: l.fence}
	if l.fence > 0 {
		order.Wait = listWait
		// An order without an answer may have renewed the lease. While the
		// endpoint is silent none does, so that the lease lapses.
		if clock.Boot()-l.clockAt <= downAfter {
			order.Until = l.leaseEnd()
		}
	}
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, order.Wait+orderTimeout)
	defer cancel()
	return l.Orders.List(ctx, order)
}

// leaseEnd returns where the lease is to end, on the endpoint's clock, and
// notes it. The caller holds the lock.
func (l *Leased) leaseEnd() time.Duration {
	now := l.clock + clock.Boot() - l.clockAt
	l.until = max(l.until, now+l.Lease)
	return now + l.Lease
}

// lapsed reports whether the lease has surely ended.
func (l *Leased) lapsed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	left := time.Duration(float64(l.until-l.clock) / (1 - clockDrift))
	return clock.Boot() > l.clockAt+left+lapseMargin
}

func (l *Leased) listFailed(ctx context.Context, err error) {
	if r, ok := rejection(err); ok {
		l.rejected(r)
	} else {
		l.Count("listings_failed")
		l.Log.Debug("endpoint not listed", zap.Error(err))
	}
	if l.lapsed() {
		l.finishAll(EndedLapsed)
	}
	pause.For(ctx, orderRetry)
}

// rejected learns from an order that was rejected. The fence is the endpoint's
// own clock when this agent first spoke to it: it is above that of any earlier
// agent, whatever became of the clock and the memory of this host.
func (l *Leased) rejected(r *RejectedError) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Why == RejectedIncarnation {
		l.lost = true
		return
	}
	l.readClock(r.Clock)
	if r.Why == RejectedFence && r.Clock > 0 {
		l.fence = max(l.fence+1, uint64(r.Clock.Milliseconds())+1)
		l.Log.Info("fence raised", zap.Uint64("fence", l.fence), zap.Duration("endpoint_clock", r.Clock))
	}
}

// readClock takes a reading of the endpoint's clock. The caller holds the lock.
func (l *Leased) readClock(at time.Duration) {
	if at > 0 {
		l.clock = at
		l.clockAt = clock.Boot()
	}
}

// take takes a listing that was asked for at clock reading began.
func (l *Leased) take(ctx context.Context, began time.Duration, li Listing) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.incarnation == "" {
		l.incarnation = li.Incarnation
	}
	if li.Incarnation != l.incarnation {
		l.lost = true
		return
	}
	l.readClock(li.Clock)
	if l.fence == 0 {
		l.fence = uint64(li.Clock.Milliseconds()) + 1
	}
	for _, e := range li.Ended {
		l.takeEnd(e)
	}
	listed := map[Run]Progress{}
	for _, p := range li.Running {
		listed[p.Run] = p
	}
	for _, r := range l.runs {
		l.look(r, began, li.Clock, listed)
	}
	l.stopUnowned(ctx, li.Running)
}

func (l *Leased) takeEnd(e End) {
	if e.Number <= l.seen {
		return
	}
	l.seen = e.Number
	if r := l.runs[e.Run.task()]; r != nil && r.run == e.Run {
		r.finish(e.How)
	}
}

// look compares a run with a listing that was asked for at clock reading began,
// and made at a reading of the endpoint's clock.
func (l *Leased) look(r *leasedRun, began, at time.Duration, listed map[Run]Progress) {
	p, there := listed[r.run]
	switch {
	case there:
		r.missing = 0
		if r.acked == 0 {
			r.acked = clock.Boot()
			time.AfterFunc(answerGrace, r.settled)
		}
		r.progressed(at, p.Percent)
	case r.stopped > 0 && r.stopped < began:
		r.finish(EndedStopped)
	case r.acked > 0 && r.acked < began:
		r.missing++
		if r.missing > 1 {
			l.Count("runs_vanished")
			r.finish(EndedOtherwise)
		}
	}
}

// stopUnowned stops what an earlier agent left running.
func (l *Leased) stopUnowned(ctx context.Context, running []Progress) {
	unowned := 0
	for _, p := range running {
		if r := l.runs[p.Run.task()]; r != nil && r.run == p.Run {
			continue
		}
		unowned++
		if l.stopping[p.Run] {
			continue
		}
		if l.stopping == nil {
			l.stopping = map[Run]bool{}
		}
		l.stopping[p.Run] = true
		l.Log.Info("stopping a run that nobody owns", zap.Stringer("run", p.Run))
		l.Count("unowned_stopped")
		l.stops.Go(func() { l.stopOnce(ctx, p.Run) })
	}
	l.clean = l.clean || unowned == 0 && l.fence > 0
}

func (l *Leased) stopOnce(ctx context.Context, r Run) {
	if err := l.order(ctx, func(ctx context.Context) (time.Duration, error) {
		return l.Orders.Stop(ctx, r, l.fenceNow())
	}); err != nil {
		l.Log.Debug("stop not answered", zap.Stringer("run", r), zap.Error(err))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.stopping, r)
}

// order gives one order and learns from its answer.
func (l *Leased) order(ctx context.Context, give func(context.Context) (time.Duration, error)) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	at, err := give(ctx)
	if err == nil {
		l.mu.Lock()
		l.readClock(at)
		l.mu.Unlock()
	} else if r, ok := rejection(err); ok {
		l.rejected(r)
	}
	return err
}

func (l *Leased) fenceNow() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence
}

// endAll ends the runs of an endpoint that has gone, or whose lease is not
// renewed any more.
func (l *Leased) endAll() {
	l.mu.Lock()
	l.lost = true
	l.mu.Unlock()
	l.finishAll(EndedOtherwise)
}

func (l *Leased) finishAll(how Ending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.runs {
		r.finish(how)
	}
}

func (l *Leased) isLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lost
}

func (l *Leased) isClean() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clean
}
