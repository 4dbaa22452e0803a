package endpoint_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/agent/endpoint"
	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/standin/leased"
)

// A task that hangs is given up within half a second: jobs of 60 ms tasks are of
// no use to their callers after 0.2 s, and those of 0.9 s tasks after 3 s.
func TestHungRunIsLeftSoon(t *testing.T) {
	t.Parallel()
	e := leased.New(time.Second, 1)
	l := serveLeased(t, e)
	e.Set(leased.Faults{Hang: true})
	began := time.Now()
	o := l.Run(t.Context(), taskNamed("j", 0))
	if took := time.Since(began); o.Reason != reason.NoProgress || took > 500*time.Millisecond {
		t.Errorf("outcome %+v after %s, want no progress within 500ms", o, took)
	}
}

// A task that is much longer than others makes progress too slowly to be told
// from one that hangs, but gets through at a later run.
func TestLongTaskGetsThrough(t *testing.T) {
	t.Parallel()
	e := leased.New(time.Minute, 1)
	l := serveLeased(t, e)
	task := taskNamed("j", 0)
	if o := l.Run(t.Context(), task); o.Reason != reason.NoProgress {
		t.Errorf("first run: %+v", o)
	}
	task.Stalls = 2
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if o := l.Run(ctx, task); o.Reason != reason.Cancelled {
		t.Errorf("third run: %+v, want it to go on until it is cancelled", o)
	}
}

// The silence of an endpoint says nothing about its runs, as long as the lease
// holds.
func TestSilenceIsNoStall(t *testing.T) {
	t.Parallel()
	e := leased.New(1500*time.Millisecond, 1)
	l := &endpoint.Leased{Orders: e, Lease: 3 * time.Second, Log: zap.NewNop(), Count: func(string) {}}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan struct{})
	up := make(chan bool, 100)
	go func() {
		defer close(served)
		l.Serve(ctx, func(now bool) { up <- now })
	}()
	defer func() {
		cancel()
		<-served
	}()
	<-up
	outcome := make(chan endpoint.Outcome, 1)
	go func() { outcome <- l.Run(t.Context(), taskNamed("j", 0)) }()
	time.Sleep(150 * time.Millisecond)
	e.Set(leased.Faults{Silent: true})
	time.Sleep(900 * time.Millisecond)
	e.Set(leased.Faults{})
	if o := <-outcome; o.Reason != reason.Unspecified {
		t.Errorf("outcome %+v of a run beside 900 ms of silence", o)
	}
}
