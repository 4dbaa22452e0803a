package caller_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// newFullHarness returns a harness whose only agent runs 16 tasks of this entry, of one
// core and 9 s each, on 16 cores. Enough run times were measured for a refusal.
func newFullHarness(t *testing.T) *harness {
	r := newLeasedHarness(t, 16)
	load := func(running uint32) *wirepb.Load {
		return &wirepb.Load{Slots: 16, Room: 16 - running, Running: running, Yours: running, Open: true, Free: &wirepb.Resources{CpuMilli: 16000 - 1000*running, MemoryMb: 1}}
	}
	for i := range 20 {
		name := fmt.Sprint("measured", i)
		r.step(caller.Submit{Ticket: caller.Ticket(100 + i), Job: r.repeatableJob(name, time.Second, 100*ms)})
		r.now += 100 * ms
		r.step(caller.AgentMessage{Agent: "a.1", Msg: &wirepb.FromAgent{Stamp: int64(r.now), Load: load(0), Updates: []*wirepb.Update{
			{Team: "t", JobId: "~" + name, Generation: 1, Attempt: 1, State: done, RunUs: 100_000},
		}}})
	}
	var runs []time.Duration
	for range 16 {
		runs = append(runs, 9*time.Second)
	}
	r.step(caller.Submit{Ticket: 200, Job: r.repeatableJob("full", 20*time.Second, runs...)})
	r.step(caller.AgentMessage{Agent: "a.1", Msg: &wirepb.FromAgent{Stamp: int64(r.now), Load: load(16)}})
	return r
}

// A job that can't be of use is refused at once, as not run, with the time after which
// room is expected. Its caller must not wait until the deadline.
func TestRefusalStatesWhenRoomIsExpected(t *testing.T) {
	r := newFullHarness(t)
	a := r.answerOf(r.step(caller.Submit{Ticket: 1, Job: r.repeatableJob("j", 300*ms, 100*ms)}))
	if !a.Refused || a.MayHaveRun || a.Reason != reason.Overloaded || a.RetryAfter < 500*ms || a.RetryAfter > 10*time.Second {
		t.Errorf("answer %+v, want a refusal as not run until some of the tasks of 9 s end", a)
	}
	noDueTime := r.repeatableJob("no due time", 0, 100*ms)
	noDueTime.Due = 0
	for _, act := range r.step(caller.Submit{Ticket: 2, Job: noDueTime}) {
		if reply, ok := act.(caller.Reply); ok {
			t.Errorf("answer %+v to a job without a due time, want it to wait for its deadline in a minute", reply.Answer)
		}
	}
}

// A waiting job that an urgent one displaces is answered at once as not run.
func TestDisplacedJobIsAnswered(t *testing.T) {
	r := newFullHarness(t)
	low := r.repeatableJob("low", 3*time.Second, 100*ms)
	low.Priority = 2
	r.step(caller.Submit{Ticket: 1, Job: low})
	r.now += 8700 * ms
	r.step(caller.AgentMessage{Agent: "a.1", Msg: &wirepb.FromAgent{
		Stamp:   int64(r.now),
		Load:    &wirepb.Load{Slots: 16, Running: 16, Yours: 15, Open: true},
		Updates: []*wirepb.Update{{Team: "t", JobId: "~full", Generation: 1, Attempt: 1, State: done, RunUs: 8_700_000}},
	}})
	urgent := r.repeatableJob("urgent", 2*time.Second)
	for i := range 64 {
		urgent.Tasks = append(urgent.Tasks, caller.Task{Kind: "k", Index: i, Declared: 100 * ms, Need: low.Tasks[0].Need})
	}
	if a := r.answerOf(r.step(caller.Submit{Ticket: 2, Job: urgent})); !a.Refused || a.MayHaveRun || a.Reason != reason.Displaced || a.RetryAfter <= 0 {
		t.Errorf("answer %+v, want the waiting job refused as not run", a)
	}
}
