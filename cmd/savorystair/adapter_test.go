package main_test

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/savorystair/savorystair/platform/standin"
)

// An entry that is killed, stands still or is stopped under load: its callers
// submit their jobs again 1.3 s later at another entry, and no task has two runs.
func TestSiteEntryLost(t *testing.T) {
	t.Parallel()
	s := startSite(t, 2, 3, longWork)
	l := s.startLoad(12)
	e := s.entries[0]
	time.Sleep(500 * time.Millisecond)
	e.signal(syscall.SIGKILL)
	<-e.ended
	time.Sleep(1200 * time.Millisecond)
	e.start(t)
	time.Sleep(time.Second)
	e.signal(syscall.SIGSTOP)
	time.Sleep(2 * time.Second)
	e.signal(syscall.SIGCONT)
	time.Sleep(time.Second)
	l.end()
	s.serves(siteRecovery)
	if l.completed == 0 || l.broken == 0 {
		t.Error("no job completed, or no connection broke")
	}
}

// TestSiteFindsMissingStop checks the check: when agents let runs go on for long
// without their entry, a task has two runs at once.
func TestSiteFindsMissingStop(t *testing.T) {
	t.Parallel()
	s := &site{t: t, work: 3 * siteResubmit, resubmit: 10 * time.Second, store: standin.NewStore()}
	s.start(2, 3)
	// Few callers, so that there is room for the jobs that are submitted again.
	l := s.startLoad(4)
	time.Sleep(500 * time.Millisecond)
	s.entries[0].signal(syscall.SIGKILL)
	time.Sleep(3 * time.Second)
	found := s.watch.takeTwice()
	if len(found) == 0 {
		t.Error("the watcher finds no task with two runs")
	}
	t.Logf("%d tasks were found with two runs", len(found))
	for _, h := range s.hosts {
		h.signal(syscall.SIGKILL)
	}
	l.end()
	s.watch.takeTwice()
}

// An agent that is killed, or stands still, under load: its tasks are placed
// again only once their runs have ended.
func TestSiteAgentLost(t *testing.T) {
	t.Parallel()
	s := startSite(t, 2, 3, longWork)
	l := s.startLoad(12)
	a := s.agents[0]
	for range 2 {
		time.Sleep(500 * time.Millisecond)
		a.signal(syscall.SIGKILL)
		<-a.ended
		time.Sleep(200 * time.Millisecond)
		a.start(t)
		time.Sleep(time.Second)
		a.signal(syscall.SIGSTOP)
		time.Sleep(1500 * time.Millisecond)
		a.signal(syscall.SIGCONT)
	}
	time.Sleep(time.Second)
	l.end()
	if l.completed == 0 || l.broken > 0 {
		t.Errorf("%d jobs completed and %d connections broke, want some and none", l.completed, l.broken)
	}
}

// All processes are lost at once while the store is down. Service is back within
// the users' bound after the store is.
func TestSiteAllLostInOutage(t *testing.T) {
	t.Parallel()
	s := startSite(t, 2, 3, shortWork)
	l := s.startLoad(8)
	time.Sleep(500 * time.Millisecond)
	for _, h := range s.hosts {
		h.gate.Set(standin.Silent)
	}
	for _, h := range s.hosts {
		h.signal(syscall.SIGKILL)
	}
	for _, h := range s.hosts {
		<-h.ended
		h.start(t)
	}
	time.Sleep(2 * time.Second)
	for _, h := range s.hosts {
		h.gate.Set(standin.Served)
	}
	back := time.Now()
	s.serves(siteRecovery)
	t.Logf("served %s after the store was back", time.Since(back))
	l.end()
}

// A zone is taken out while the store turns away an entry and the agents of the
// zone, each in its own way: no task starts there, and service goes on.
func TestSiteZoneOutWhileTurnedAway(t *testing.T) {
	t.Parallel()
	for _, how := range []standin.Trouble{standin.Busy, standin.Limited, standin.Broken, standin.Silent} {
		t.Run(fmt.Sprint(how), func(t *testing.T) {
			t.Parallel()
			s := startSite(t, 2, 3, shortWork)
			l := s.startLoad(8)
			time.Sleep(300 * time.Millisecond)
			s.entries[0].gate.Set(how)
			s.agents[1].gate.Set(how)
			time.Sleep(200 * time.Millisecond)
			s.store.TakeOut(s.agents[1].zone)
			out := time.Now()
			time.Sleep(siteEvacuate + 1500*time.Millisecond)
			if r, late, found := s.watch.since("agent-1", out.Add(siteEvacuate)); found {
				t.Errorf("%s began %s after its zone was taken out", r, siteEvacuate+late)
			}
			s.serves(siteRecovery)
			l.end()
		})
	}
}

// Planned stops under load break no connection off: of an entry whose callers
// follow the balancer's view, and of an agent.
func TestSitePlannedStops(t *testing.T) {
	t.Parallel()
	s := startSite(t, 2, 3, shortWork)
	l := s.startLoad(8)
	time.Sleep(500 * time.Millisecond)
	for _, h := range []*siteHost{s.agents[0], s.entries[0]} {
		began := time.Now()
		h.signal(syscall.SIGTERM)
		<-h.ended
		if took := time.Since(began); took > siteGrace || h.status != nil {
			t.Errorf("%s stopped after %s with %v", h.id, took, h.status)
		}
		h.start(t)
		s.serves(siteRecovery)
	}
	l.end()
	if l.broken > 0 {
		t.Errorf("%d connections were broken off", l.broken)
	}
}
