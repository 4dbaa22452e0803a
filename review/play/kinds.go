package main

import (
	"fmt"
	"time"
)

// Both cases submit jobs of one task that takes 1.6 of 16 cores for 0.2 s, and that
// requires the label "a". Two of three endpoints have it, and the load is 70% of theirs.
const (
	taskWork      = 200 * time.Millisecond
	taskCPUMilli  = 1600
	jobsPerSecond = 70
	loadLength    = 12 * time.Second
	// changedKindLoad is longer, since the endpoint crashes more than once.
	changedKindLoad = 16 * time.Second
	troubleAfter    = 4 * time.Second
)

var kindJob = jobSpec{tasks: 1, cpuMilli: taskCPUMilli, work: taskWork, label: "a"}

// startKinds starts a site with two endpoints that have the label, and one that hasn't.
func startKinds(s *site) error {
	return s.start(2, []string{"a", "r1-1"}, []string{"a", "r1-2"}, []string{"b", "r1-3"})
}

const (
	// crashes is how many times the endpoint crashes, and becomes of the other kind.
	crashes       = 3
	crashInterval = 3500 * time.Millisecond
	// crashLength is how long a crashed endpoint is down.
	crashLength = time.Second
)

// playChangedKind lets an endpoint crash under load, some times. Each time a new one boots
// at its address, and is of the other kind.
func playChangedKind(s *site, trouble bool) error {
	if err := startKinds(s); err != nil {
		return err
	}
	failed := make(chan error, 1)
	if trouble {
		time.AfterFunc(troubleAfter, func() { failed <- changeKind(s.agents[0].endpoint) })
	} else {
		failed <- nil
	}
	s.load(jobsPerSecond, changedKindLoad, kindJob)
	return <-failed
}

func changeKind(e *endpoint) error {
	for i := range crashes {
		e.crash()
		time.Sleep(crashLength)
		e.id = fmt.Sprintf("i-1%03d", i)
		kind := "b"
		if i%2 == 1 {
			kind = "a"
		}
		if err := e.boot([]string{kind, "r1-1"}); err != nil {
			return err
		}
		time.Sleep(crashInterval - crashLength)
	}
	return nil
}

// Times after a loss of power at which the endpoint and the agent are back.
const (
	endpointDown = 700 * time.Millisecond
	agentDown    = 1200 * time.Millisecond
)

// playPowerAndKind lets a host lose its power under load. Its endpoint boots first, at its
// address and with its id, and is of another kind.
func playPowerAndKind(s *site, trouble bool) error {
	if err := startKinds(s); err != nil {
		return err
	}
	failed := make(chan error, 1)
	if trouble {
		time.AfterFunc(troubleAfter, func() {
			h := s.agents[0]
			s.rec.add("host %s: loses its power", h.name)
			h.kill()
			h.endpoint.crash()
			time.Sleep(endpointDown)
			if err := h.endpoint.boot([]string{"b", "r1-1"}); err != nil {
				failed <- err
				return
			}
			time.Sleep(agentDown - endpointDown)
			s.rec.add("host %s: its process is back", h.name)
			failed <- h.startProcess()
		})
	} else {
		failed <- nil
	}
	s.load(jobsPerSecond, loadLength, kindJob)
	return <-failed
}
