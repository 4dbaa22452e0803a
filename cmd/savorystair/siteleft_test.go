package main_test

import (
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/savorystair/savorystair/platform/standin"
)

// TestSiteCallerLeftBeforeAdmission guards against two runs of one task when the
// connection of a caller is reset before an entry has read the job, and the caller
// submits it again to another entry.
func TestSiteCallerLeftBeforeAdmission(t *testing.T) {
	t.Parallel()
	const (
		rounds = 5
		jobs   = 20 // in each round
		paused = 50 * time.Millisecond
	)
	s := startSite(t, 2, 3, shortRunTime)
	first, second := s.entries[0], s.entries[1]
	want := s.countStarts()
	var resubmissions sync.WaitGroup
	for range rounds {
		first.signal(syscall.SIGSTOP)
		pausedUntil := time.Now().Add(paused)
		for range jobs {
			job := s.newJob()
			want += job.TaskCount
			s.submitAndReset(first, job)
			resubmissions.Go(func() {
				answer, err := standin.Submit(t.Context(), http.DefaultClient, second.ip+":8161", siteRoute, job, siteAnswerTimeout)
				if err != nil || !answer.Completed() {
					t.Errorf("job %s: answer %+v, error %v, want completed", job.ID, answer, err)
				}
			})
		}
		time.Sleep(time.Until(pausedUntil))
		first.signal(syscall.SIGCONT)
		resubmissions.Wait()
	}
	if got := s.countStarts(); got != want {
		t.Errorf("%d runs started, want %d, one for each task", got, want)
	}
}

// submitAndReset sends a job to an entry and resets the connection.
func (s *site) submitAndReset(entry *siteHost, job standin.Job) {
	s.t.Helper()
	req, err := standin.NewSubmission(s.t.Context(), entry.ip+":8161", siteRoute, job, siteAnswerTimeout)
	if err != nil {
		s.t.Fatal(err)
	}
	conn, err := net.Dial("tcp", entry.ip+":8161")
	if err != nil {
		s.t.Fatal(err)
	}
	if err := req.Write(conn); err != nil {
		s.t.Fatal(err)
	}
	// Without lingering, Close resets the connection.
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		s.t.Fatal(err)
	}
	if err := conn.Close(); err != nil {
		s.t.Fatal(err)
	}
}

// countStarts returns how many runs all endpoints have started.
func (s *site) countStarts() int {
	total := 0
	for _, a := range s.agents {
		n, _ := a.endpoint.Starts()
		total += n
	}
	return total
}
