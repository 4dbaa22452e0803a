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

// A hung task must be stopped within half a second: results of jobs with 60 ms
// tasks are of no use to their callers after 0.2 s, and those of jobs with 0.9 s
// tasks after 3 s.
func TestHungRunIsStoppedSoon(t *testing.T) {
	t.Parallel()
	e := leased.New(time.Second, 1)
	l := serveLeased(t, e)
	e.SetFaults(leased.Faults{HangRuns: true})
	start := time.Now()
	o := l.Run(t.Context(), taskNamed("j", 0))
	if took := time.Since(start); o.Reason != reason.NoProgress || took > 500*time.Millisecond {
		t.Errorf("outcome %+v after %s, want no_progress within 500ms", o, took)
	}
}

// A task much longer than declared is stopped, because it advances too slowly to
// be distinguished from a hung one. The longer stall timeout of a later run must
// let it go on.
func TestLongTaskEventuallyRuns(t *testing.T) {
	t.Parallel()
	e := leased.New(time.Minute, 1)
	l := serveLeased(t, e)
	task := taskNamed("j", 0)
	if o := l.Run(t.Context(), task); o.Reason != reason.NoProgress {
		t.Errorf("first run: outcome %+v, want no_progress", o)
	}
	task.Stalls = 2
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if o := l.Run(ctx, task); o.Reason != reason.Cancelled {
		t.Errorf("third run: outcome %+v, want cancelled", o)
	}
}

// Runs must not count as stalled because the endpoint sends no response for a
// while, as long as the lease has not ended.
func TestSilenceIsNoStall(t *testing.T) {
	t.Parallel()
	e := leased.New(1500*time.Millisecond, 1)
	l := &endpoint.LeasedRunner{Controller: e, LeaseDuration: 3 * time.Second, Log: zap.NewNop(), CountEvent: func(string) {}}
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan struct{})
	readiness := make(chan bool, 100)
	go func() {
		defer close(served)
		l.Serve(ctx, func(ready bool) { readiness <- ready })
	}()
	defer func() {
		cancel()
		<-served
	}()
	<-readiness
	outcome := make(chan endpoint.Outcome, 1)
	go func() { outcome <- l.Run(t.Context(), taskNamed("j", 0)) }()
	time.Sleep(150 * time.Millisecond)
	e.SetFaults(leased.Faults{Silent: true})
	time.Sleep(900 * time.Millisecond)
	e.SetFaults(leased.Faults{})
	if o := <-outcome; o.Reason != reason.Unspecified {
		t.Errorf("outcome %+v of a run during 900 ms of silence, want success", o)
	}
}
