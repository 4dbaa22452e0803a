package main_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/gen/callerapi"
)

// A job is cancelled through an entry that does not hold it; every caller gets
// the same failure, and nothing more starts.
func TestCancelAtAnotherEntry(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 2, 2, survey)
	job := newJob("team", "cancelled", 200, "work", "100ms", 30*time.Second)
	first := make(chan *callerapi.Answer, 1)
	go func() {
		a, err := s.entries[0].callers.SubmitJob(t.Context(), job)
		if err != nil {
			t.Error(err)
		}
		first <- a
	}()
	time.Sleep(400 * time.Millisecond)
	cancelled, err := s.entries[1].callers.CancelJob(t.Context(), callerapi.CancelJobParams{Team: "team", JobID: "cancelled"})
	if err != nil {
		t.Fatal(err)
	}
	again, err := s.entries[1].callers.SubmitJob(t.Context(), job)
	if err != nil {
		t.Fatal(err)
	}
	for name, a := range map[string]*callerapi.Answer{"canceller": cancelled, "caller": <-first, "resubmission": again} {
		if a == nil || a.Status != callerapi.AnswerStatusFailed || a.Reason.Value != "cancelled" || !a.MayHaveRun.Value {
			t.Errorf("%s got %+v, want a failure as cancelled that may have run", name, a)
		}
	}
	started := len(s.startCounts())
	time.Sleep(300 * time.Millisecond)
	if later := len(s.startCounts()); later != started {
		t.Errorf("%d tasks were started after the cancellation", later-started)
	}
	s.checkStarts()
}

// An unrepeatable request that is submitted through every entry at once, and
// again while an entry is killed, runs once.
func TestUnrepeatableRequest(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 3, survey)
	submit := func(e *entryProgram, i int) (*callerapi.Answer, error) {
		return e.callers.SubmitRequest(t.Context(), &callerapi.SingleRequest{
			Team:         "team",
			RequestID:    callerapi.NewOptName(callerapi.Name(fmt.Sprintf("reserve-%d", i))),
			Service:      "survey",
			Deadline:     time.Now().Add(20 * time.Second),
			Unrepeatable: callerapi.NewOptBool(true),
			Task:         callerapi.Task{Kind: "work", Payload: fmt.Appendf(nil, "30ms %d", i)},
		})
	}
	var wait sync.WaitGroup
	for i := range 60 {
		for n, e := range s.entries {
			wait.Go(func() {
				a, err := submit(e, i)
				for err != nil && e == s.entries[0] {
					e = s.entries[1]
					a, err = submit(e, i)
				}
				if err != nil || a.Status != callerapi.AnswerStatusComplete || string(a.Results[0]) != fmt.Sprintf("30ms %d", i) {
					t.Errorf("request %d at entry %d: %+v, %v", i, n, a, err)
				}
			})
		}
		if i == 30 {
			time.Sleep(10 * time.Millisecond)
			s.entries[0].kill()
		}
		time.Sleep(5 * time.Millisecond)
	}
	wait.Wait()
	s.checkStarts()
	if n := len(s.startCounts()); n != 60 {
		t.Errorf("%d requests ran, want 60", n)
	}
}
