package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// The jobs to be cancelled have steps of one task each, that follow one another.
const (
	longSteps       = 6
	longWork        = 900 * time.Millisecond
	longTimeout     = 15 * time.Second
	longJobs        = 20
	submitInterval  = 200 * time.Millisecond
	cancelAfter     = 500 * time.Millisecond
	cancelTimeout   = 4 * time.Second
	longTaskMilli   = 1600
	endpointsOfSite = 3
)

// cancelledInFive is how many of five jobs are cancelled.
const cancelledInFive = 2

// playCancelled cancels two of five jobs while their first task runs: one at the entry
// that took the job, the other at another one.
func playCancelled(s *site, trouble bool) error {
	var labels [][]string
	for i := range endpointsOfSite {
		labels = append(labels, []string{"a", fmt.Sprintf("r1-%d", i)})
	}
	if err := s.start(2, labels...); err != nil {
		return err
	}
	job := jobSpec{tasks: 1, cpuMilli: longTaskMilli, work: longWork, steps: longSteps}
	callers, cancelling := &http.Client{Timeout: longTimeout}, &http.Client{Timeout: cancelTimeout}
	for i := range longJobs {
		id := fmt.Sprintf("%016x", rand.Uint64())
		s.work.Go(func() { s.submitAs(callers, id, i, job) })
		if trouble && i%5 < cancelledInFive {
			s.work.Go(func() {
				time.Sleep(cancelAfter)
				s.cancel(cancelling, s.entries[(i+i%5)%len(s.entries)], id)
			})
		}
		time.Sleep(submitInterval)
	}
	s.work.Wait()
	return nil
}
