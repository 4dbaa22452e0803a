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

// TestConcurrentJobs runs 200 jobs of mixed sizes from 16 callers, each
// submitted to two entries at the same time. Every task must start exactly
// once, and no endpoint may exceed its slots.
func TestConcurrentJobs(t *testing.T) {
	const callers, jobs, entries = 16, 200, 3
	s := startSystem(t, entries, 6, endpoint.Options{Service: "survey", Slots: 8, Connections: 64})
	rng := rand.New(rand.NewPCG(1, 2))
	queue := make(chan *callerapi.Job, jobs)
	totalTasks := 0
	for i := range jobs {
		tasks := 1 + rng.IntN(60)
		if i%20 == 0 {
			tasks = 260
		}
		totalTasks += tasks
		queue <- newJob(fmt.Sprintf("team-%d", i%5), fmt.Sprintf("job-%d", i), tasks, "work", "2ms", time.Minute)
	}
	close(queue)
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			first, second := s.entries[c%entries], s.entries[(c+1)%entries]
			for job := range queue {
				var both sync.WaitGroup
				both.Go(func() { submit(t, first, job) })
				both.Go(func() { submit(t, second, job) })
				both.Wait()
			}
		})
	}
	wg.Wait()
	s.checkStartedOnce()
	if got := len(s.startCounts()); got != totalTasks {
		t.Errorf("%d tasks were started, want %d", got, totalTasks)
	}
	for _, a := range s.agents {
		if peak := a.endpoint.PeakRunning(); peak > 8 {
			t.Errorf("the endpoint of %s ran %d tasks at the same time, want at most 8", a.id, peak)
		}
	}
}

// submit submits a job to an entry and checks that the answer is complete.
func submit(t testing.TB, e *entryProcess, job *callerapi.Job) {
	t.Helper()
	answer, err := e.callerClient.SubmitJob(t.Context(), job)
	if err != nil {
		t.Errorf("job %s at %s: %v", job.JobID, e.id, err)
		return
	}
	checkAnswer(t, job, answer)
}
