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

// leaseDuration is how far ahead of the endpoint's clock the tests renew the
// lease.
const leaseDuration = 400 * time.Millisecond

// serveLeased starts a runner for an endpoint and returns it once the endpoint
// is ready for tasks. The runner is stopped when the test ends.
func serveLeased(t *testing.T, e *leased.Endpoint) *endpoint.LeasedRunner {
	t.Helper()
	l, stop := startLeased(t, e)
	t.Cleanup(stop)
	return l
}

// startLeased is serveLeased for a runner that the test stops itself.
func startLeased(t *testing.T, e *leased.Endpoint) (l *endpoint.LeasedRunner, stop func()) {
	t.Helper()
	l = &endpoint.LeasedRunner{Controller: e, LeaseDuration: leaseDuration, Log: zap.NewNop(), CountEvent: func(string) {}}
	ctx, cancel := context.WithCancel(t.Context())
	var served sync.WaitGroup
	readiness := make(chan bool, 100)
	served.Go(func() { l.Serve(ctx, func(ready bool) { readiness <- ready }) })
	select {
	case <-readiness:
	case <-time.After(3 * time.Second):
		t.Fatal("the endpoint is not ready for tasks after 3 s")
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
		{"no room", leased.Faults{RejectNoRoom: true}, reason.AgentBusy, true},
		{"unhealthy", leased.Faults{RejectUnhealthy: true}, reason.EndpointRefused, true},
		{"hung", leased.Faults{HangRuns: true}, reason.NoProgress, false},
		{"responses lost", leased.Faults{LostResponseShare: 0.5}, reason.Unspecified, false},
		{"requests late", leased.Faults{LateRequestShare: 0.3, LateRequestDelay: 200 * time.Millisecond}, reason.Unspecified, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			e := leased.New(30*time.Millisecond, 1)
			l := serveLeased(t, e)
			e.SetFaults(tt.faults)
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

// A failed task must be able to run again at the same endpoint. The endpoint
// rejects run numbers that it has seen, so the second run needs a new one.
func TestLeasedSecondRunOfATask(t *testing.T) {
	t.Parallel()
	e := leased.New(20*time.Millisecond, 1)
	l := serveLeased(t, e)
	e.SetFaults(leased.Faults{FailAll: true})
	if o := l.Run(t.Context(), taskNamed("j", 0)); o.Reason != reason.EndpointFailed {
		t.Fatalf("first run: outcome %+v, want endpoint_failed", o)
	}
	e.SetFaults(leased.Faults{})
	if o := l.Run(t.Context(), taskNamed("j", 0)); o.Reason != reason.Unspecified {
		t.Errorf("second run: outcome %+v, want success", o)
	}
}

// When the context ends, the run is stopped, and the outcome is returned only
// after it has ended.
func TestLeasedStopsWhenCancelled(t *testing.T) {
	for _, faults := range []leased.Faults{{}, {LostResponseShare: 0.5}, {LateRequestShare: 0.5, LateRequestDelay: 300 * time.Millisecond}} {
		t.Run(fmt.Sprintf("%+v", faults), func(t *testing.T) {
			t.Parallel()
			e := leased.New(10*time.Second, 1)
			l := serveLeased(t, e)
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			defer cancel()
			e.SetFaults(faults)
			o := l.Run(ctx, taskNamed("j", 0))
			if o.Reason != reason.Cancelled && o.Reason != reason.EndpointSilent && !o.NotRun {
				t.Errorf("outcome %+v, want cancelled, endpoint_silent or not run", o)
			}
			e.Close()
			if left := e.Running(); len(left) > 0 {
				t.Errorf("still running after the outcome: %v", left)
			}
		})
	}
}

// When the endpoint stops responding, the outcome must not be returned before
// the lease has lapsed.
func TestLeasedSilenceLapses(t *testing.T) {
	t.Parallel()
	e := leased.New(10*time.Second, 1)
	l := serveLeased(t, e)
	outcome := make(chan endpoint.Outcome, 1)
	go func() { outcome <- l.Run(t.Context(), taskNamed("j", 0)) }()
	for len(e.Running()) == 0 {
		time.Sleep(time.Millisecond)
	}
	e.SetFaults(leased.Faults{Silent: true})
	o := <-outcome
	if left := e.Running(); len(left) > 0 {
		t.Errorf("still running after the outcome %+v: %v", o, left)
	}
	if o.Reason == reason.Unspecified {
		t.Errorf("outcome %+v of a run that lapsed, want a failure", o)
	}
}

// When the endpoint restarts, its runs are gone, and the outcome must be
// returned soon.
func TestLeasedEndpointRestart(t *testing.T) {
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
		if o.Reason != reason.EndpointCrashed {
			t.Errorf("outcome %+v, want endpoint_crashed", o)
		}
	case <-time.After(time.Second):
		t.Error("no outcome 1 s after the restart of the endpoint")
	}
}

// A crash, after which connections are refused, is reported differently from a lapsed
// lease, also if the start got no response or the run was cancelled meanwhile.
func TestLeasedEndpointCrash(t *testing.T) {
	tests := []struct {
		name   string
		fault  leased.Faults
		cancel bool
		want   reason.Reason
	}{
		{"refuses connections", leased.Faults{RefuseConnections: true}, false, reason.EndpointCrashed},
		{"refuses connections, cancelled", leased.Faults{RefuseConnections: true}, true, reason.EndpointCrashed},
		{"silent", leased.Faults{Silent: true}, false, reason.LeaseLapsed},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			e := leased.New(10*time.Second, 1)
			l := serveLeased(t, e)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			outcome := make(chan endpoint.Outcome, 1)
			go func() { outcome <- l.Run(ctx, taskNamed("j", 0)) }()
			for len(e.Running()) == 0 {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(100 * time.Millisecond)
			e.SetFaults(tt.fault)
			if tt.cancel {
				cancel()
			}
			if o := <-outcome; o.Reason != tt.want || o.NotRun {
				t.Errorf("outcome %+v, want %s that has run", o, tt.want)
			}
		})
	}
}

// A request on a refused connection renews no lease and starts no run. The runs of
// a crashed endpoint have ended one lease after its last response, and a start that
// it never received is not run.
func TestLeasedRefusedRequests(t *testing.T) {
	t.Parallel()
	e := leased.New(10*time.Second, 1)
	l := serveLeased(t, e)
	outcome := make(chan endpoint.Outcome, 1)
	go func() { outcome <- l.Run(t.Context(), taskNamed("j", 0)) }()
	for len(e.Running()) == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(100 * time.Millisecond)
	e.SetFaults(leased.Faults{RefuseConnections: true})
	crashed := time.Now()
	if o := l.Run(t.Context(), taskNamed("later", 0)); !o.NotRun {
		t.Errorf("outcome %+v of a start after the crash, want one that is not run", o)
	}
	o := <-outcome
	if took := time.Since(crashed); took > leaseDuration*3/2 {
		t.Errorf("outcome %s after the crash, want it soon after the lease of %s", took, leaseDuration)
	}
	if left := e.Running(); len(left) > 0 {
		t.Errorf("still running after the outcome %+v: %v", o, left)
	}
}

// An endpoint that crashes around a start may not have received it, so that the crash
// doesn't count against the task.
func TestLeasedCrashBeforeTheStartIsAcknowledged(t *testing.T) {
	t.Parallel()
	e := leased.New(10*time.Second, 1)
	l := serveLeased(t, e)
	e.SetFaults(leased.Faults{Silent: true})
	outcome := make(chan endpoint.Outcome, 1)
	go func() { outcome <- l.Run(t.Context(), taskNamed("j", 0)) }()
	time.Sleep(60 * time.Millisecond)
	e.SetFaults(leased.Faults{RefuseConnections: true})
	if o := <-outcome; o.Reason != reason.EndpointSilent || o.NotRun {
		t.Errorf("outcome %+v, want endpoint_silent that may have run", o)
	}
}

// A new agent must stop the runs of its predecessor before it is ready for
// tasks, and delayed requests of the predecessor must not start a run.
func TestLeasedNewAgentStopsUnowned(t *testing.T) {
	t.Parallel()
	e := leased.New(10*time.Second, 1)
	first, stop := startLeased(t, e)
	go first.Run(t.Context(), taskNamed("j", 0))
	for len(e.Running()) == 0 {
		time.Sleep(time.Millisecond)
	}
	e.SetFaults(leased.Faults{LateRequestShare: 1, LateRequestDelay: 300 * time.Millisecond})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	go first.Run(ctx, taskNamed("late", 0))
	time.Sleep(20 * time.Millisecond)
	stop()
	e.SetFaults(leased.Faults{})
	serveLeased(t, e)
	if left := e.Running(); len(left) > 0 {
		t.Errorf("the new agent is ready for tasks while runs of the previous one go on: %v", left)
	}
	e.Close()
	time.Sleep(100 * time.Millisecond)
	if left := e.Running(); len(left) > 0 {
		t.Errorf("a delayed request of the previous agent started %v", left)
	}
}

// Delayed requests and lost responses must never lead to two runs of a task at
// once, nor to one that goes on after its outcome was returned.
func TestLeasedNeverTwice(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			e := leased.New(15*time.Millisecond, seed)
			l := serveLeased(t, e)
			e.SetFaults(leased.Faults{LateRequestShare: 0.1, LateRequestDelay: 150 * time.Millisecond, LostResponseShare: 0.15, FailAll: seed%3 == 0})
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
				t.Errorf("runs at the same time: %v, want none", overlaps)
			}
			if left := e.Running(); len(left) > 0 {
				t.Errorf("still running after every outcome: %v", left)
			}
		})
	}
}
