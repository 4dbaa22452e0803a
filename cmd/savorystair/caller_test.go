package main_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/gen/callerapi"
)

// TestCancelAtAnotherEntry cancels a job through an entry other than the one
// that claimed it. The caller, the canceller and a later resubmission must get
// the same failure, and no task may start afterwards.
func TestCancelAtAnotherEntry(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 2, 2, surveyEndpoint)
	job := newJob("team", "cancelled", 200, "work", "100ms", 30*time.Second)
	firstAnswer := make(chan *callerapi.Answer, 1)
	go func() {
		a, err := s.entries[0].callerClient.SubmitJob(t.Context(), job)
		if err != nil {
			t.Error(err)
		}
		firstAnswer <- a
	}()
	time.Sleep(400 * time.Millisecond)
	cancelled, err := s.entries[1].callerClient.CancelJob(t.Context(), callerapi.CancelJobParams{Team: "team", JobID: "cancelled"})
	if err != nil {
		t.Fatal(err)
	}
	again, err := s.entries[1].callerClient.SubmitJob(t.Context(), job)
	if err != nil {
		t.Fatal(err)
	}
	for name, a := range map[string]*callerapi.Answer{"canceller": cancelled, "caller": <-firstAnswer, "resubmission": again} {
		if a == nil || a.Status != callerapi.AnswerStatusFailed || a.Reason.Value != "cancelled" || !a.MayHaveRun.Value {
			t.Errorf("%s got %+v, want a failure with reason cancelled that may have run", name, a)
		}
	}
	started := len(s.startCounts())
	time.Sleep(300 * time.Millisecond)
	if later := len(s.startCounts()); later != started {
		t.Errorf("%d tasks were started after the cancellation, want none", later-started)
	}
	s.checkStartedOnce()
}

// TestUnrepeatableRequest submits each unrepeatable request to every entry at
// once, and kills an entry meanwhile. Callers of that entry submit their
// requests again to another. Each request must run exactly once.
func TestUnrepeatableRequest(t *testing.T) {
	t.Parallel()
	s := startSystem(t, 3, 3, surveyEndpoint)
	submit := func(e *entryProcess, i int) (*callerapi.Answer, error) {
		return e.callerClient.SubmitRequest(t.Context(), &callerapi.SingleRequest{
			Team:         "team",
			RequestID:    callerapi.NewOptName(callerapi.Name(fmt.Sprintf("reserve-%d", i))),
			Service:      "survey",
			Deadline:     time.Now().Add(20 * time.Second),
			Unrepeatable: callerapi.NewOptBool(true),
			Task:         callerapi.Task{Kind: "work", Payload: fmt.Appendf(nil, "30ms %d", i)},
		})
	}
	var wg sync.WaitGroup
	for i := range 60 {
		for entry, e := range s.entries {
			wg.Go(func() {
				a, err := submit(e, i)
				for err != nil && e == s.entries[0] {
					e = s.entries[1]
					a, err = submit(e, i)
				}
				if err != nil || a.Status != callerapi.AnswerStatusComplete || string(a.Results[0]) != fmt.Sprintf("30ms %d", i) {
					t.Errorf("request %d at entry %d: answer %+v, error %v, want a complete answer with the payload of the request", i, entry, a, err)
				}
			})
		}
		if i == 30 {
			time.Sleep(10 * time.Millisecond)
			s.entries[0].kill()
		}
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	s.checkStartedOnce()
	if n := len(s.startCounts()); n != 60 {
		t.Errorf("%d requests ran, want 60", n)
	}
}
