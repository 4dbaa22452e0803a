package endpoint_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/agent/endpoint"
	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/standin/leased"
)

// lease is how far ahead the tests renew the lease.
const lease = 400 * time.Millisecond

// serveLeased runs an agent's side of an endpoint until the test ends, and
// returns it once it takes tasks.
func serveLeased(t *testing.T, e *leased.Endpoint) *endpoint.Leased {
	t.Helper()
	l, stop := startLeased(t, e)
	t.Cleanup(stop)
	return l
}

func startLeased(t *testing.T, e *leased.Endpoint) (l *endpoint.Leased, stop func()) {
	t.Helper()
	l = &endpoint.Leased{Orders: e, Lease: lease, Log: zap.NewNop(), Count: func(string) {}}
	ctx, cancel := context.WithCancel(t.Context())
	var served sync.WaitGroup
	up := make(chan bool, 100)
	served.Go(func() { l.Serve(ctx, func(now bool) { up <- now }) })
	select {
	case <-up:
	case <-time.After(3 * time.Second):
		t.Fatal("the endpoint takes no tasks after 3 s")
	}
	return l, func() {
		cancel()
		served.Wait()
	}
}

func taskNamed(job string, index uint32) endpoint.Task {
	return endpoint.Task{Job: job, Index: index, Attempt: 1, Payload: []byte("p")}
}

func TestLeasedOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		faults leased.Faults
		want   reason.Reason
		notRun bool
	}{
		{"done", leased.Faults{}, reason.Unspecified, false},
		{"failed", leased.Faults{FailAll: true}, reason.EndpointFailed, false},
		{"no room", leased.Faults{Room: true}, reason.AgentBusy, true},
		{"unhealthy", leased.Faults{Refused: true}, reason.EndpointRefused, true},
		{"hung", leased.Faults{Hang: true}, reason.NoProgress, false},
		{"answers lost", leased.Faults{Lost: 0.5}, reason.Unspecified, false},
		{"orders late", leased.Faults{Late: 0.3, LateBy: 200 * time.Millisecond}, reason.Unspecified, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			e := leased.New(30*time.Millisecond, 1)
			l := serveLeased(t, e)
			e.Set(tt.faults)
			o := l.Run(t.Context(), taskNamed("j", 0))
			if o.Reason != tt.want || o.NotRun != tt.notRun {
				t.Errorf("outcome %+v, want %s, not run %t", o, tt.want, tt.notRun)
			}
			if left := e.Running(); len(left) > 0 {
				t.Errorf("still running after the outcome: %v", left)
			}
		})
	}
}

// A task that failed is started again at the same endpoint under a number that
// the endpoint has not seen.
func TestLeasedSecondRunOfATask(t *testing.T) {
	t.Parallel()
	e := leased.New(20*time.Millisecond, 1)
	l := serveLeased(t, e)
	e.Set(leased.Faults{FailAll: true})
	if o := l.Run(t.Context(), taskNamed("j", 0)); o.Reason != reason.EndpointFailed {
		t.Fatalf("first run: %+v", o)
	}
	e.Set(leased.Faults{})
	if o := l.Run(t.Context(), taskNamed("j", 0)); o.Reason != reason.Unspecified {
		t.Errorf("second run: %+v", o)
	}
}

// The end of the context stops a run, and the outcome comes once it is gone.
func TestLeasedStopsWhenCancelled(t *testing.T) {
	for _, faults := range []leased.Faults{{}, {Lost: 0.5}, {Late: 0.5, LateBy: 300 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%+v", faults), func(t *testing.T) {
			t.Parallel()
			e := leased.New(10*time.Second, 1)
			l := serveLeased(t, e)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			e.Set(faults)
			o := l.Run(ctx, taskNamed("j", 0))
			if o.Reason != reason.Cancelled && o.Reason != reason.EndpointSilent && !o.NotRun {
				t.Errorf("outcome %+v", o)
			}
			e.Close()
			if left := e.Running(); len(left) > 0 {
				t.Errorf("still running after the outcome: %v", left)
			}
		})
	}
}

// When the endpoint falls silent the outcome comes only after its lease has
// lapsed.
func TestLeasedSilenceLapses(t *testing.T) {
	t.Parallel()
	e := leased.New(10*time.Second, 1)
	l := serveLeased(t, e)
	outcome := make(chan endpoint.Outcome, 1)
	go func() { outcome <- l.Run(t.Context(), taskNamed("j", 0)) }()
	for len(e.Running()) == 0 {
		time.Sleep(time.Millisecond)
	}
	e.Set(leased.Faults{Silent: true})
	o := <-outcome
	if left := e.Running(); len(left) > 0 {
		t.Errorf("still running after the outcome %+v: %v", o, left)
	}
	if o.Reason == reason.Unspecified {
		t.Errorf("outcome %+v of a run that lapsed", o)
	}
}

// An endpoint that starts again has lost its runs.
func TestLeasedEndpointStartsAgain(t *testing.T) {
	t.Parallel()
	e := leased.New(10*time.Second, 1)
	l := serveLeased(t, e)
	outcome := make(chan endpoint.Outcome, 1)
	go func() { outcome <- l.Run(t.Context(), taskNamed("j", 0)) }()
	for len(e.Running()) == 0 {
		time.Sleep(time.Millisecond)
	}
	e.Crash()
	select {
	case o := <-outcome:
		if o.Reason != reason.EndpointGone {
			t.Errorf("outcome %+v, want endpoint_gone", o)
		}
	case <-time.After(time.Second):
		t.Error("no outcome 1 s after the endpoint has started again")
	}
}

// A new agent stops what the one before left running before it takes tasks, and
// orders of the one before that come late do nothing.
func TestLeasedNewAgentStopsUnowned(t *testing.T) {
	t.Parallel()
	e := leased.New(10*time.Second, 1)
	first, stop := startLeased(t, e)
	go first.Run(t.Context(), taskNamed("j", 0))
	for len(e.Running()) == 0 {
		time.Sleep(time.Millisecond)
	}
	e.Set(leased.Faults{Late: 1, LateBy: 300 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	go first.Run(ctx, taskNamed("late", 0))
	time.Sleep(20 * time.Millisecond)
	stop()
	e.Set(leased.Faults{})
	serveLeased(t, e)
	if left := e.Running(); len(left) > 0 {
		t.Errorf("the new agent takes tasks while these run: %v", left)
	}
	e.Close()
	time.Sleep(100 * time.Millisecond)
	if left := e.Running(); len(left) > 0 {
		t.Errorf("a late order of the agent before began %v", left)
	}
}

// Whatever is late or lost, a task never has two runs at once, and after its
// outcome it has none.
func TestLeasedNeverTwice(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			e := leased.New(15*time.Millisecond, seed)
			l := serveLeased(t, e)
			e.Set(leased.Faults{Late: 0.1, LateBy: 150 * time.Millisecond, Lost: 0.15, FailAll: seed%3 == 0})
			var runs sync.WaitGroup
			for task := range uint32(4) {
				runs.Go(func() {
					for attempt := range uint32(5) {
						next := taskNamed("j", task)
						next.Attempt = attempt + 1
						l.Run(t.Context(), next)
					}
				})
			}
			runs.Wait()
			e.Close()
			if _, overlaps := e.Starts(); len(overlaps) > 0 {
				t.Errorf("runs at the same time: %v", overlaps)
			}
			if left := e.Running(); len(left) > 0 {
				t.Errorf("still running after every outcome: %v", left)
			}
		})
	}
}
