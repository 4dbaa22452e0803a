package main_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/gen/callerapi"
	"github.com/savorystair/savorystair/internal/standin/endpoint"
)

// TestPath runs 200 jobs of mixed size from 16 callers through separate
// processes, each submitted a second time through another entry.
func TestPath(t *testing.T) {
	const callers, jobs, entries = 16, 200, 3
	s := startSystem(t, entries, 6, endpoint.Options{Service: "survey", Slots: 8, Connections: 64})
	sizes := rand.New(rand.NewPCG(1, 2))
	work := make(chan *callerapi.Job, jobs)
	total := 0
	for i := range jobs {
		n := 1 + sizes.IntN(60)
		if i%20 == 0 {
			n = 260
		}
		total += n
		work <- newJob(fmt.Sprintf("team-%d", i%5), fmt.Sprintf("job-%d", i), n, "work", "2ms", time.Minute)
	}
	close(work)
	var wait sync.WaitGroup
	for c := range callers {
		wait.Go(func() {
			first, second := s.entries[c%entries], s.entries[(c+1)%entries]
			for job := range work {
				var both sync.WaitGroup
				both.Go(func() { submit(t, first, job) })
				both.Go(func() { submit(t, second, job) })
				both.Wait()
			}
		})
	}
	wait.Wait()
	s.checkStarts()
	if got := len(s.startCounts()); got != total {
		t.Errorf("%d tasks were started, want %d", got, total)
	}
	for _, a := range s.agents {
		if peak := a.endpoint.Peak(); peak > 8 {
			t.Errorf("%s ran %d tasks at once in 8 slots", a.id, peak)
		}
	}
}

func submit(t testing.TB, e *entryProgram, job *callerapi.Job) {
	t.Helper()
	answer, err := e.callers.SubmitJob(t.Context(), job)
	if err != nil {
		t.Errorf("job %s at %s: %v", job.JobID, e.id, err)
		return
	}
	checkAnswer(t, job, answer)
}
