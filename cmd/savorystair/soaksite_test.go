package main_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/standin/leased"
	"github.com/savorystair/savorystair/platform/standin"
)

// siteFault is a fault of a site. apply injects it and returns when it has
// ended.
type siteFault struct {
	at          time.Duration // since the start of the injection
	description string
	apply       func()
}

// siteSoak is one run of a site with the faults of a seed.
type siteSoak struct {
	*site
	processMutexes sync.Map // *siteHost to *sync.Mutex, held while a fault affects the process of the host

	mu       sync.Mutex
	eventLog []string // injected faults and their effects, with the time of each
	outages  []outage
}

// TestSiteSoak runs entries and agents with the adapter and injects the faults
// of the seeds selected by the flags of TestSoak. It kills, stops and pauses
// processes, takes zones out of service, makes the store fail for single hosts,
// and makes endpoints lose responses, apply requests late, hang, fail, reject
// starts or give no response, also to stops alone while a process is killed.
func TestSiteSoak(t *testing.T) {
	for i := range *soakSeedCount {
		seed := *soakFirstSeed + uint64(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) { runSiteSoak(t, seed) })
	}
}

func runSiteSoak(t *testing.T, seed uint64) {
	s := &siteSoak{site: startSite(t, 2, 4, longRunTime)}
	s.unequalNeeds.Store(true)
	load := s.startLoad(12)
	load.mayRunLate = true
	s.inject(s.drawFaults(seed, *soakFaultPeriod))
	faultsEnded := time.Now()
	s.waitServing(siteRecoveryTimeout)
	s.logEvent("every entry has completed a job %s after the last fault", time.Since(faultsEnded).Round(time.Millisecond))
	load.stop()
	s.checkOutages()
	if t.Failed() || testing.Verbose() {
		t.Logf("go test ./cmd/savorystair -run TestSiteSoak$ -soak.seeds 1 -soak.first %d -soak.for %s", seed, *soakFaultPeriod)
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, line := range s.eventLog {
			t.Log(line)
		}
	}
}

// logEvent adds a line to the event log, which is printed if the test fails.
func (s *siteSoak) logEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.eventLog = append(s.eventLog, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// drawFaults returns the random faults of a seed for a period.
func (s *siteSoak) drawFaults(seed uint64, period time.Duration) []siteFault {
	rng := rand.New(rand.NewPCG(seed, 2))
	var faults []siteFault
	for at := 200 * time.Millisecond; at < period; at += time.Duration(50+rng.IntN(900)) * time.Millisecond {
		f := s.drawFault(rng, time.Duration(100+rng.IntN(2500))*time.Millisecond)
		f.at = at
		faults = append(faults, f)
	}
	faults = append(faults, s.drawUnansweredStops(seed, period)...)
	slices.SortStableFunc(faults, func(a, b siteFault) int { return cmp.Compare(a.at, b.at) })
	return faults
}

// drawUnansweredStops returns faults in which an endpoint answers no stop while a
// process is killed: its agent, whose runs go on, or an entry. They are drawn apart, so
// that the other faults of a seed stay the same.
func (s *siteSoak) drawUnansweredStops(seed uint64, period time.Duration) []siteFault {
	rng := rand.New(rand.NewPCG(seed, 3))
	var faults []siteFault
	for at := time.Second; at < period; at += time.Duration(1500+rng.IntN(2000)) * time.Millisecond {
		a := s.agents[rng.IntN(len(s.agents))]
		killed := a
		if rng.IntN(3) == 0 {
			killed = s.entries[rng.IntN(len(s.entries))]
		}
		downtime := time.Duration(50+rng.IntN(600)) * time.Millisecond
		faults = append(faults, siteFault{
			at:          at,
			description: fmt.Sprintf("%s: stops get no response, %s killed for %s", a.id, killed.id, downtime),
			apply: func() {
				a.endpoint.SetFaults(leased.Faults{LateStopShare: 1, LateRequestDelay: 3 * time.Second})
				s.stopAndRestart(killed, syscall.SIGKILL, downtime)
				time.Sleep(siteResubmitDelay)
				a.endpoint.SetFaults(leased.Faults{})
			},
		})
	}
	return faults
}

// drawFault returns a random fault. Its description names the drawn duration;
// some faults last a fraction or a multiple of it.
func (s *siteSoak) drawFault(rng *rand.Rand, duration time.Duration) siteFault {
	h := s.hosts[rng.IntN(len(s.hosts))]
	a := s.agents[rng.IntN(len(s.agents))]
	newFault := func(description string, apply func()) siteFault {
		return siteFault{description: description + "; drawn duration " + duration.String(), apply: apply}
	}
	switch rng.IntN(8) {
	case 0, 1:
		return newFault(h.id+": killed, restarts after half the drawn duration", func() { s.stopAndRestart(h, syscall.SIGKILL, duration/2) })
	case 2:
		return newFault(h.id+": sent SIGTERM, restarts half the drawn duration after its exit", func() { s.stopAndRestart(h, syscall.SIGTERM, duration/2) })
	case 3, 4:
		return newFault(h.id+": paused", func() { s.pause(h, duration) })
	case 5:
		storeFault := standin.Fault(1 + rng.IntN(4))
		return newFault(fmt.Sprintf("%s: store fault %d", h.id, storeFault), func() {
			h.storeServer.SetFault(storeFault)
			time.Sleep(duration)
			h.storeServer.SetFault(standin.NoFault)
		})
	case 6:
		endpointFaults := []leased.Faults{
			{LateRequestShare: 0.3, LateRequestDelay: 2 * time.Second}, {LostResponseShare: 0.4}, {HangRuns: true}, {FailAll: true}, {Silent: true}, {RejectUnhealthy: true},
		}[rng.IntN(6)]
		return newFault(fmt.Sprintf("%s: endpoint faults %+v", a.id, endpointFaults), func() {
			a.endpoint.SetFaults(endpointFaults)
			time.Sleep(duration)
			a.endpoint.SetFaults(leased.Faults{})
		})
	default:
		zone := zoneName(rng.IntN(3))
		return newFault(zone+": out of service for three times the drawn duration", func() { s.takeOutOfService(zone, 3*duration) })
	}
}

// inject applies each fault at its time and returns when all have ended.
func (s *siteSoak) inject(faults []siteFault) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, f := range faults {
		time.Sleep(time.Until(start.Add(f.at)))
		s.logEvent("%s", f.description)
		wg.Go(f.apply)
	}
	wg.Wait()
}

// lockProcess locks the process of a host against other faults and returns the
// function that unlocks it.
func (s *siteSoak) lockProcess(h *siteHost) func() {
	value, _ := s.processMutexes.LoadOrStore(h, &sync.Mutex{})
	mu := value.(*sync.Mutex)
	mu.Lock()
	return mu.Unlock
}

// stopAndRestart sends a signal that ends the process of a host, checks that it
// exits in time, and restarts it after downtime.
func (s *siteSoak) stopAndRestart(h *siteHost, sig syscall.Signal, downtime time.Duration) {
	defer s.lockProcess(h)()
	start := time.Now()
	h.signal(sig)
	<-h.exited
	if elapsed := time.Since(start); elapsed > siteStopTimeout+time.Second {
		s.t.Errorf("%s exited %s after %s, want at most siteStopTimeout and 1 s", h.id, elapsed, sig)
	}
	time.Sleep(downtime)
	h.start(s.t)
	s.logEvent("%s: restarted", h.id)
}

func (s *siteSoak) pause(h *siteHost, duration time.Duration) {
	defer s.lockProcess(h)()
	h.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	h.signal(syscall.SIGCONT)
}

// takeOutOfService takes an availability zone out of service for duration and
// records the outage. If two outages of a zone overlap, the first to end
// restores the zone.
func (s *siteSoak) takeOutOfService(zone string, duration time.Duration) {
	s.store.ExcludeZone(zone)
	from := time.Now()
	time.Sleep(duration)
	s.mu.Lock()
	s.outages = append(s.outages, outage{zone, from, time.Now()})
	s.mu.Unlock()
	s.store.IncludeZone(zone)
}

// checkOutages reports runs that started in an availability zone while it was
// out of service. If the end of another fault restored the zone earlier, only
// the time until then is checked.
func (s *siteSoak) checkOutages() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, o := range s.outages {
		to := o.to
		for _, other := range s.outages {
			if other.zone == o.zone && other.to.After(o.from) && other.to.Before(to) {
				to = other.to
			}
		}
		for _, a := range s.agents {
			if a.zone != o.zone {
				continue
			}
			if r, ok := s.monitor.runStartedBetween(a.id, o.from.Add(siteEvacuationTimeout), to); ok {
				s.t.Errorf("run %s started at %s more than %s after its zone was taken out of service", r, a.id, siteEvacuationTimeout)
			}
		}
	}
}
