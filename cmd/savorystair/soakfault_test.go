package main_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/savorystair/savorystair/internal/gen/operatorapi"
	"github.com/savorystair/savorystair/internal/gen/tablepb"
)

// soakFault is a fault that the soak test injects from outside the processes.
type soakFault interface {
	soakFault()
	String() string
}

// killFault kills a process and restarts it after downtime.
type killFault struct {
	node     *soakNode
	downtime time.Duration
}

// terminateFault sends SIGTERM to a process, waits for its exit, and restarts
// it after downtime.
type terminateFault struct {
	node     *soakNode
	downtime time.Duration
}

// pauseFault stops a process with SIGSTOP and continues it after duration.
type pauseFault struct {
	node     *soakNode
	duration time.Duration
}

// reloadFault sends SIGHUP to a process, which makes it reload its settings.
type reloadFault struct{ node *soakNode }

// linkFault disturbs the connections through the relay of an agent, or through
// the relay of the table service if node is nil.
type linkFault struct {
	node        *soakNode
	disturbance linkDisturbance
	duration    time.Duration
}

// linkDisturbance is a way to disturb the connections through a relay. Upstream
// is the direction from the client to the target of the relay.
type linkDisturbance int

const (
	silenceUpstream   linkDisturbance = iota // bytes towards the target are discarded
	silenceDownstream                        // bytes from the target are discarded
	silenceBoth                              // bytes in both directions are discarded
	partition                                // as silenceBoth, and new connections fail
	resetConnections                         // open connections are reset
	delayBytes                               // bytes are delayed by linkDelay
	linkDisturbanceCount
)

// String names the disturbance in the event log.
func (d linkDisturbance) String() string {
	return [...]string{"silent upstream", "silent downstream", "silent in both directions", "partitioned", "reset", "delayed"}[d]
}

// linkDelay is the delay of every read from a delayed connection.
const linkDelay = 120 * time.Millisecond

// tableFault sets faults of the table service for duration.
type tableFault struct {
	faults   *tablepb.SetFaultsRequest
	duration time.Duration
}

// zoneFault takes an availability zone out of service for duration.
type zoneFault struct {
	zone     string
	duration time.Duration
}

func (killFault) soakFault()      {}
func (terminateFault) soakFault() {}
func (pauseFault) soakFault()     {}
func (reloadFault) soakFault()    {}
func (linkFault) soakFault()      {}
func (tableFault) soakFault()     {}
func (zoneFault) soakFault()      {}

// String describes the fault in the event log.
func (f killFault) String() string {
	return fmt.Sprintf("%s: killed, restarts after %s", f.node.id, f.downtime)
}

func (f terminateFault) String() string {
	return fmt.Sprintf("%s: sent SIGTERM, restarts %s after its exit", f.node.id, f.downtime)
}

func (f pauseFault) String() string {
	return fmt.Sprintf("%s: paused for %s", f.node.id, f.duration)
}

func (f reloadFault) String() string { return f.node.id + ": sent SIGHUP" }

func (f linkFault) String() string {
	target := "the table service"
	if f.node != nil {
		target = f.node.id
	}
	return fmt.Sprintf("connections to %s: %s for %s", target, f.disturbance, f.duration)
}

func (f tableFault) String() string {
	return fmt.Sprintf("table service: %v for %s", f.faults, f.duration)
}

func (f zoneFault) String() string {
	return fmt.Sprintf("%s: out of service for %s", f.zone, f.duration)
}

// timedFault is a fault with the time of its injection.
type timedFault struct {
	at time.Duration // since the start of the injection
	soakFault
}

// drawFaults returns the random faults of a seed for a period. They are 50 to
// 949 ms apart and last up to several seconds, so that some of them overlap.
func drawFaults(seed uint64, nodes []*soakNode, period time.Duration) []timedFault {
	rng := rand.New(rand.NewPCG(seed, 0))
	var faults []timedFault
	for at := 200 * time.Millisecond; at < period; at += time.Duration(50+rng.IntN(900)) * time.Millisecond {
		faults = append(faults, timedFault{at, drawFault(rng, nodes)})
	}
	return faults
}

func drawFault(rng *rand.Rand, nodes []*soakNode) soakFault {
	node := nodes[rng.IntN(len(nodes))]
	duration := time.Duration(100+rng.IntN(2500)) * time.Millisecond
	switch rng.IntN(10) {
	case 0, 1:
		return killFault{node, duration / 2}
	case 2:
		return terminateFault{node, duration / 2}
	case 3, 4:
		return pauseFault{node, duration}
	case 5:
		return reloadFault{node}
	case 6, 7:
		if node.relay == nil {
			node = nil // entries have no relay; disturb the table service's
		}
		return linkFault{node, linkDisturbance(rng.IntN(int(linkDisturbanceCount))), duration}
	case 8:
		return tableFault{[]*tablepb.SetFaultsRequest{
			{Down: true}, {Silent: true}, {DelayMs: 300}, {LoseAnswers: 5},
		}[rng.IntN(4)], duration}
	default:
		return zoneFault{zoneName(rng.IntN(3)), 2 * duration}
	}
}

// inject applies each fault at its time and returns when all have ended.
func (s *soakRun) inject(faults []timedFault) {
	start := time.Now()
	var wg sync.WaitGroup
	for _, f := range faults {
		time.Sleep(time.Until(start.Add(f.at)))
		s.logEvent("%s", f.soakFault)
		wg.Go(func() { s.apply(f.soakFault) })
	}
	wg.Wait()
}

func (s *soakRun) apply(f soakFault) {
	switch f := f.(type) {
	case killFault:
		f.node.kill(f.downtime)
	case terminateFault:
		f.node.terminate(f.downtime)
	case pauseFault:
		f.node.pause(f.duration)
	case reloadFault:
		f.node.signal(syscall.SIGHUP)
	case linkFault:
		r := s.tableRelay
		if f.node != nil {
			r = f.node.relay
		}
		r.disturb(f.disturbance, f.duration)
	case tableFault:
		s.applyTableFault(f)
	case zoneFault:
		s.outages.takeOutOfService(s, f)
	}
}

// applyTableFault sets faults of the table service and clears them after the
// duration of f. If two overlap, the later one replaces the earlier one, and
// the first to end clears both.
func (s *soakRun) applyTableFault(f tableFault) {
	s.setTableFaults(f.faults)
	time.Sleep(f.duration)
	s.setTableFaults(&tablepb.SetFaultsRequest{})
}

// soakNode is an entry or an agent that can be restarted at the same addresses.
// Either entry or agent is set; an agent also has a relay.
type soakNode struct {
	soak  *soakRun
	id    string
	zone  string
	entry *entryProcess
	agent *agentProcess
	relay *relay

	processMu     sync.Mutex // held while a fault affects the process
	incarnationMu sync.Mutex
	incarnation   int // number of restarts begun
	process       *childProcess
}

// String names the node in the event log.
func (n *soakNode) String() string { return n.id }

// currentIncarnation returns a number that changes with each restart.
func (n *soakNode) currentIncarnation() int {
	n.incarnationMu.Lock()
	defer n.incarnationMu.Unlock()
	return n.incarnation
}

func (n *soakNode) signal(sig syscall.Signal) {
	n.processMu.Lock()
	defer n.processMu.Unlock()
	n.process.signal(sig)
}

func (n *soakNode) pause(duration time.Duration) {
	n.processMu.Lock()
	defer n.processMu.Unlock()
	n.process.signal(syscall.SIGSTOP)
	time.Sleep(duration)
	n.process.signal(syscall.SIGCONT)
}

func (n *soakNode) kill(downtime time.Duration) {
	n.processMu.Lock()
	defer n.processMu.Unlock()
	n.process.signal(syscall.SIGKILL)
	<-n.process.exited
	n.restartAfter(downtime)
}

func (n *soakNode) terminate(downtime time.Duration) {
	n.processMu.Lock()
	defer n.processMu.Unlock()
	n.process.signal(syscall.SIGTERM)
	select {
	case <-n.process.exited:
	case <-time.After(stopTimeout):
		n.soak.t.Errorf("%s did not stop within %s", n.id, stopTimeout)
		n.process.signal(syscall.SIGKILL)
		<-n.process.exited
	}
	n.restartAfter(downtime)
}

// stopTimeout bounds the time from SIGTERM to the exit of a process: 30 s, which
// is the default of stop_timeout_s, and 2 s to exit.
const stopTimeout = 32 * time.Second

// restartAfter restarts the process, which has exited, after downtime. The caller
// holds processMu.
func (n *soakNode) restartAfter(downtime time.Duration) {
	n.incarnationMu.Lock()
	n.incarnation++
	n.incarnationMu.Unlock()
	time.Sleep(downtime)
	n.process = n.restart()
	n.soak.logEvent("%s: restarted", n.id)
}

// restart starts the process of the node at its previous addresses and waits
// until it is running.
func (n *soakNode) restart() *childProcess {
	s := n.soak
	if n.entry != nil {
		file := s.writeEntrySettings(n.id, n.zone, n.entry.callerAddress, n.entry.operatorAddress, n.entry.peerAddress)
		p := startProcess(s.t, n.id, "entry", "--settings", file)
		p.waitLogField("entry started", "caller_address")
		return p
	}
	file := s.writeAgentSettings(n.id, n.zone, n.agent.linkAddress, n.agent.endpointAddress, n.relay)
	p := startProcess(s.t, n.id, "agent", "--settings", file)
	p.waitLogField("agent started", "link_address")
	return p
}

// zoneOutages records when availability zones were out of service.
type zoneOutages struct {
	mu      sync.Mutex
	outages []outage
}

// outage is a period in which an availability zone was out of service. It
// begins after the edit that takes the zone out was accepted and ends before
// the edit that restores it is sent.
type outage struct {
	zone     string
	from, to time.Time
}

// zoneOutMaxDelay is how long tasks may still start in an availability zone
// after the edit that takes it out was accepted. An agent may use its view of the
// configuration for 2 s, and the stand-in endpoint records a start only once it
// has read the request body.
const zoneOutMaxDelay = 3 * time.Second

// takeOutOfService takes an availability zone out of service for the duration
// of f and records the outage. The lock is held throughout, so that the edits
// of two faults never interleave.
func (z *zoneOutages) takeOutOfService(s *soakRun, f zoneFault) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if !s.setZoneOut(f.zone, true) {
		return
	}
	from := time.Now()
	time.Sleep(f.duration)
	z.outages = append(z.outages, outage{f.zone, from, time.Now()})
	for !s.setZoneOut(f.zone, false) {
		time.Sleep(100 * time.Millisecond)
	}
}

// setZoneOut sets whether an availability zone is out of service, through the
// first entry that accepts the edit. If it returns false, the edit may still
// have been made, because the answer may have been lost.
func (s *soakRun) setZoneOut(zone string, out bool) bool {
	for _, e := range s.entries {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		_, err := e.operatorClient.SetZone(ctx, &operatorapi.Switch{Out: out, Author: "soak"}, operatorapi.SetZoneParams{Zone: zone})
		cancel()
		if err == nil {
			s.logEvent("zone %s: out of service %t, accepted by %s", zone, out, e.id)
			return true
		}
	}
	return false
}

// checkStarts reports tasks that started in an availability zone while it was
// out of service.
func (z *zoneOutages) checkStarts(s *soakRun) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, a := range s.agents {
		for _, start := range a.endpoint.Starts() {
			i := slices.IndexFunc(z.outages, func(o outage) bool {
				return o.zone == a.zone && start.At.After(o.from.Add(zoneOutMaxDelay)) && start.At.Before(o.to)
			})
			if i >= 0 {
				s.t.Errorf("task %s/%s started at %s, %s after its zone was taken out of service, want at most zoneOutMaxDelay", start.Job, start.Task, a.id, start.At.Sub(z.outages[i].from))
			}
		}
	}
}
