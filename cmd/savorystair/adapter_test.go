package main_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/savorystair/savorystair/platform/standin"
)

// TestSiteEntryFailure kills an entry under load, restarts it, and pauses it.
// Callers submit their jobs again to another entry after siteResubmitDelay. The
// run monitor checks that no task has two concurrent runs, which would happen
// if agents didn't stop the runs of the failed entry in time.
func TestSiteEntryFailure(t *testing.T) {
	t.Parallel()
	s := startSite(t, 2, 3, longRunTime)
	load := s.startLoad(12)
	entry := s.entries[0]
	time.Sleep(500 * time.Millisecond)
	entry.signal(syscall.SIGKILL)
	<-entry.exited
	time.Sleep(1200 * time.Millisecond)
	entry.start(t)
	time.Sleep(time.Second)
	entry.signal(syscall.SIGSTOP)
	time.Sleep(2 * time.Second)
	entry.signal(syscall.SIGCONT)
	time.Sleep(time.Second)
	load.stop()
	s.waitServing(siteRecoveryTimeout)
	if load.completedJobs == 0 || load.brokenConnections == 0 {
		t.Error("no job completed or no connection broke, want some of both")
	}
}

// TestSiteFindsMissingStop checks that the run monitor detects concurrent runs.
// With a resubmit_ms setting of 30 s, agents don't stop the runs of a killed
// entry in time, so that a job that is submitted again has tasks with two
// concurrent runs.
func TestSiteFindsMissingStop(t *testing.T) {
	t.Parallel()
	s := &site{t: t, runTime: shortRunTime, resubmitDelay: 30 * time.Second, store: standin.NewStore()}
	s.start(2, 3)
	for _, a := range s.agents {
		a.endpoint.SetRunTime(12 * time.Second)
	}
	job := s.newJob()
	ctx, cancel := context.WithCancel(t.Context())
	var submissions sync.WaitGroup
	defer submissions.Wait()
	defer cancel()
	submit := func(entry *siteHost) {
		submissions.Go(func() {
			// The outcome of the submission is irrelevant to this test.
			_, _ = standin.Submit(ctx, http.DefaultClient, entry.ip+":8161", siteRoute, job, siteAnswerTimeout)
		})
	}
	submit(s.entries[0])
	s.eventually("every task of the job has a run", func() bool { return s.monitor.countRuns(job.ID) == job.TaskCount })
	s.entries[0].signal(syscall.SIGKILL)
	time.Sleep(siteResubmitDelay)
	submit(s.entries[1])
	s.eventually("the run monitor finds a task with two concurrent runs", func() bool { return len(s.monitor.takeDuplicates()) > 0 })
	for _, h := range s.hosts {
		h.signal(syscall.SIGKILL)
	}
	s.eventually("all runs have ended because their leases expired", func() bool {
		return !slices.ContainsFunc(s.agents, func(a *siteHost) bool { return len(a.endpoint.Running()) > 0 })
	})
	s.monitor.takeDuplicates()
}

// eventually waits until holds returns true, for at most 8 s.
func (s *site) eventually(condition string, holds func() bool) {
	s.t.Helper()
	(&system{t: s.t}).eventually(8*time.Second, condition, holds)
}

// TestSiteAgentFailure kills an agent under load, restarts it, and pauses it,
// twice. Its tasks must not be placed on another agent before their runs have
// ended; the run monitor reports those that are. The connections of callers
// stay open.
func TestSiteAgentFailure(t *testing.T) {
	t.Parallel()
	s := startSite(t, 2, 3, longRunTime)
	load := s.startLoad(12)
	agent := s.agents[0]
	for range 2 {
		time.Sleep(500 * time.Millisecond)
		agent.signal(syscall.SIGKILL)
		<-agent.exited
		time.Sleep(200 * time.Millisecond)
		agent.start(t)
		time.Sleep(time.Second)
		agent.signal(syscall.SIGSTOP)
		time.Sleep(1500 * time.Millisecond)
		agent.signal(syscall.SIGCONT)
	}
	time.Sleep(time.Second)
	load.stop()
	if load.completedJobs == 0 || load.brokenConnections > 0 {
		t.Errorf("%d jobs completed and %d connections broke, want at least one and none", load.completedJobs, load.brokenConnections)
	}
}

// TestSiteAllProcessesKilledInStoreOutage kills and restarts all processes
// while the store doesn't respond. Once the store responds again, every entry
// must complete a job within siteRecoveryTimeout.
func TestSiteAllProcessesKilledInStoreOutage(t *testing.T) {
	t.Parallel()
	s := startSite(t, 2, 3, shortRunTime)
	load := s.startLoad(8)
	time.Sleep(500 * time.Millisecond)
	for _, h := range s.hosts {
		h.storeServer.SetFault(standin.NoResponse)
	}
	for _, h := range s.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range s.hosts {
		<-h.exited
		h.start(t)
	}
	time.Sleep(2 * time.Second)
	for _, h := range s.hosts {
		h.storeServer.SetFault(standin.NoFault)
	}
	storeBack := time.Now()
	s.waitServing(siteRecoveryTimeout)
	t.Logf("every entry completed a job %s after the end of the store outage", time.Since(storeBack))
	load.stop()
}

// TestSiteZoneOutDuringStoreFault takes an availability zone out of service
// while the store fails for one entry and for the agent in the zone. No task
// may start in the zone after siteEvacuationTimeout, although neither process
// can read the change from the store, and entries keep completing jobs.
func TestSiteZoneOutDuringStoreFault(t *testing.T) {
	t.Parallel()
	for _, fault := range []standin.Fault{standin.Unavailable, standin.RateLimited, standin.ConnectionClosed, standin.NoResponse} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			t.Parallel()
			s := startSite(t, 2, 3, shortRunTime)
			load := s.startLoad(8)
			time.Sleep(300 * time.Millisecond)
			s.entries[0].storeServer.SetFault(fault)
			s.agents[1].storeServer.SetFault(fault)
			time.Sleep(200 * time.Millisecond)
			s.store.ExcludeZone(s.agents[1].zone)
			takenOutAt := time.Now()
			time.Sleep(siteEvacuationTimeout + 1500*time.Millisecond)
			if r, delay, found := s.monitor.runStartedAfter("agent-1", takenOutAt.Add(siteEvacuationTimeout)); found {
				t.Errorf("run %s started %s after its zone was taken out of service, want at most siteEvacuationTimeout", r, siteEvacuationTimeout+delay)
			}
			s.waitServing(siteRecoveryTimeout)
			load.stop()
		})
	}
}

// TestSitePlannedStops sends SIGTERM to an agent and to an entry under load.
// Each must exit successfully within siteStopTimeout without breaking a
// connection. Connections that are refused don't count, because a balancer
// sends callers to ready entries only.
func TestSitePlannedStops(t *testing.T) {
	t.Parallel()
	s := startSite(t, 2, 3, shortRunTime)
	load := s.startLoad(8)
	time.Sleep(500 * time.Millisecond)
	for _, h := range []*siteHost{s.agents[0], s.entries[0]} {
		start := time.Now()
		h.signal(syscall.SIGTERM)
		<-h.exited
		if elapsed := time.Since(start); elapsed > siteStopTimeout || h.exitErr != nil {
			t.Errorf("%s exited after %s with error %v, want a successful exit within siteStopTimeout", h.id, elapsed, h.exitErr)
		}
		h.start(t)
		s.waitServing(siteRecoveryTimeout)
	}
	load.stop()
	if load.brokenConnections > 0 {
		t.Errorf("%d connections broke, want none", load.brokenConnections)
	}
}
