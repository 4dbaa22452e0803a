package main_test

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
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
	before := first.readEvents(t)
	var resubmissions sync.WaitGroup
	for range rounds {
		first.pause()
		pausedUntil := time.Now().Add(paused)
		for range jobs {
			job := s.newJob()
			reset(s.openJob(first, job))
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
	after := first.readEvents(t)
	if sent := after.StartsSent - before.StartsSent; sent != 0 {
		t.Errorf("the paused entry sent %d starts, want none: the callers of all of its jobs had left", sent)
	}
	if after.SubmissionsAfterDisconnect == before.SubmissionsAfterDisconnect {
		t.Error("the paused entry read no job whose caller had left, want some")
	}
}

// TestSiteCallerLeftWithBytesUnread guards against two runs of one task when a caller
// sends more after its job before its connection is reset, and submits the job again.
func TestSiteCallerLeftWithBytesUnread(t *testing.T) {
	t.Parallel()
	s := startSite(t, 2, 3, longRunTime)
	var resubmissions sync.WaitGroup
	for range 5 {
		job := s.newJob()
		conn := s.openJob(s.entries[0], job)
		s.eventually("every task of the job has a run", func() bool { return s.monitor.countRuns(job.ID) == job.TaskCount })
		if _, err := conn.Write([]byte("\r\n")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(20 * time.Millisecond)
		reset(conn)
		resubmissions.Go(func() {
			time.Sleep(siteResubmitDelay)
			if _, err := standin.Submit(t.Context(), http.DefaultClient, s.entries[1].ip+":8161", siteRoute, job, siteAnswerTimeout); err != nil {
				t.Errorf("job %s: %v, want an answer", job.ID, err)
			}
		})
	}
	resubmissions.Wait()
}

// TestSiteUnreadJobWhoseResetWasLost guards against two runs of one task when an entry
// stands still with jobs that it has not read, and the network doesn't deliver the resets
// of their connections.
func TestSiteUnreadJobWhoseResetWasLost(t *testing.T) {
	t.Parallel()
	s := startSite(t, 2, 3, longRunTime)
	first, second := s.entries[0], s.entries[1]
	var resubmissions sync.WaitGroup
	first.pause()
	for range 5 {
		job := s.newJob()
		// An open connection stands for one whose reset was lost.
		conn := s.openJob(first, job)
		defer conn.Close()
		resubmissions.Go(func() {
			time.Sleep(siteResubmitDelay)
			if _, err := standin.Submit(t.Context(), http.DefaultClient, second.ip+":8161", siteRoute, job, siteAnswerTimeout); err != nil {
				t.Errorf("job %s: %v, want an answer", job.ID, err)
			}
		})
	}
	time.Sleep(2 * time.Second)
	first.signal(syscall.SIGCONT)
	resubmissions.Wait()
}

// entryEvents contains counters of an entry.
type entryEvents struct {
	StartsSent                 int `json:"starts_sent"`
	SubmissionsAfterDisconnect int `json:"submissions_after_disconnect"`
}

// readEvents reads the counters of the entry on a host.
func (h *siteHost) readEvents(t testing.TB) entryEvents {
	t.Helper()
	var vars struct{ Events entryEvents }
	if err := getJSON(t.Context(), "http://"+h.ip+":7735/debug/vars", &vars); err != nil {
		t.Fatal(err)
	}
	return vars.Events
}

// openJob sends a job to an entry and returns the open connection.
func (s *site) openJob(entry *siteHost, job standin.Job) *net.TCPConn {
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
	return conn.(*net.TCPConn)
}

// reset closes a connection by a reset.
func reset(conn *net.TCPConn) {
	// Errors mean that the connection has ended already.
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// pause stops the process and waits until all of its threads have stopped, which takes
// some time after the signal was sent.
func (p *childProcess) pause() {
	p.t.Helper()
	p.signal(syscall.SIGSTOP)
	for deadline := time.Now().Add(5 * time.Second); !p.isStopped(); time.Sleep(100 * time.Microsecond) {
		if time.Now().After(deadline) {
			p.t.Fatalf("%s has not stopped within 5s", p.name)
		}
	}
}

// isStopped reports whether all threads of the process are stopped.
func (p *childProcess) isStopped() bool {
	stats, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	return !slices.ContainsFunc(stats, func(path string) bool {
		stat, err := os.ReadFile(path)
		if err != nil {
			return false // the thread has ended
		}
		_, state, _ := strings.Cut(string(stat), ") ")
		return !strings.HasPrefix(state, "T")
	})
}
