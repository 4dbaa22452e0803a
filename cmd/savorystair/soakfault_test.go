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

// soakFault is something done to the system from outside.
type soakFault interface {
	soakFault()
	String() string
}

// killed is a process that is killed, and started again after a while.
type killed struct {
	node *soakNode
	down time.Duration
}

// stopped is a process that gets SIGTERM, and is started again when it has ended.
type stopped struct {
	node *soakNode
	down time.Duration
}

// paused is a process that stands still for a while.
type paused struct {
	node *soakNode
	last time.Duration
}

// reloaded is a process that gets SIGHUP.
type reloaded struct{ node *soakNode }

// linkFault disturbs the connections of a relay; of the table's if node is nil.
type linkFault struct {
	node *soakNode
	how  linkTrouble
	last time.Duration
}

// linkTrouble is what becomes of connections.
type linkTrouble int

const (
	muteUp   linkTrouble = iota // bytes towards the far side are lost
	muteDown                    // bytes from the far side are lost
	mute                        // both
	cutOff                      // both, and no new connection works
	reset                       // open connections are reset
	delayed                     // bytes come late
	linkTroubles
)

// String names the trouble in the tale of a run.
func (l linkTrouble) String() string {
	return [...]string{"mute up", "mute down", "mute", "cut off", "reset", "delayed"}[l]
}

// linkDelay is by how much a delayed connection lags.
const linkDelay = 120 * time.Millisecond

// tableFault makes the table misbehave for a while.
type tableFault struct {
	faults *tablepb.SetFaultsRequest
	last   time.Duration
}

// zoneOut takes a zone out of service for a while.
type zoneOut struct {
	zone string
	last time.Duration
}

func (killed) soakFault()     {}
func (stopped) soakFault()    {}
func (paused) soakFault()     {}
func (reloaded) soakFault()   {}
func (linkFault) soakFault()  {}
func (tableFault) soakFault() {}
func (zoneOut) soakFault()    {}

// String describes a fault in the tale of a run.
func (f killed) String() string { return fmt.Sprintf("%s is killed, down for %s", f.node.id, f.down) }

func (f stopped) String() string {
	return fmt.Sprintf("%s gets SIGTERM, down for %s", f.node.id, f.down)
}

func (f paused) String() string { return fmt.Sprintf("%s stands still for %s", f.node.id, f.last) }

func (f reloaded) String() string { return f.node.id + " gets SIGHUP" }

func (f linkFault) String() string {
	where := "table"
	if f.node != nil {
		where = f.node.id
	}
	return fmt.Sprintf("links of the %s: %s for %s", where, f.how, f.last)
}

func (f tableFault) String() string { return fmt.Sprintf("table: %v for %s", f.faults, f.last) }

func (f zoneOut) String() string { return fmt.Sprintf("%s out for %s", f.zone, f.last) }

// timedFault is a fault and when it comes.
type timedFault struct {
	at time.Duration
	soakFault
}

// drawFaults draws the faults of a seed: some alone, some in quick succession,
// so that they overlap.
func drawFaults(seed uint64, nodes []*soakNode, within time.Duration) []timedFault {
	rng := rand.New(rand.NewPCG(seed, 0))
	var all []timedFault
	for at := 200 * time.Millisecond; at < within; at += time.Duration(50+rng.IntN(900)) * time.Millisecond {
		all = append(all, timedFault{at, drawFault(rng, nodes)})
	}
	return all
}

func drawFault(rng *rand.Rand, nodes []*soakNode) soakFault {
	node := nodes[rng.IntN(len(nodes))]
	last := time.Duration(100+rng.IntN(2500)) * time.Millisecond
	switch rng.IntN(10) {
	case 0, 1:
		return killed{node, last / 2}
	case 2:
		return stopped{node, last / 2}
	case 3, 4:
		return paused{node, last}
	case 5:
		return reloaded{node}
	case 6, 7:
		if node.relay == nil {
			node = nil // the table's relay
		}
		return linkFault{node, linkTrouble(rng.IntN(int(linkTroubles))), last}
	case 8:
		return tableFault{[]*tablepb.SetFaultsRequest{
			{Down: true}, {Silent: true}, {DelayMs: 300}, {LoseAnswers: 5},
		}[rng.IntN(4)], last}
	default:
		return zoneOut{zoneName(rng.IntN(3)), 2 * last}
	}
}

// inject brings the faults about and returns when all are over.
func (k *soak) inject(all []timedFault) {
	began := time.Now()
	var over sync.WaitGroup
	for _, f := range all {
		time.Sleep(time.Until(began.Add(f.at)))
		k.note("%s", f.soakFault)
		over.Go(func() { k.bring(f.soakFault) })
	}
	over.Wait()
}

func (k *soak) bring(f soakFault) {
	switch f := f.(type) {
	case killed:
		f.node.kill(f.down)
	case stopped:
		f.node.terminate(f.down)
	case paused:
		f.node.pause(f.last)
	case reloaded:
		f.node.send(syscall.SIGHUP)
	case linkFault:
		r := k.relay
		if f.node != nil {
			r = f.node.relay
		}
		r.trouble(f.how, f.last)
	case tableFault:
		k.disturbTable(f)
	case zoneOut:
		k.zones.takeOut(k, f)
	}
}

// disturbTable sets faults of the table. A later fault replaces an earlier one,
// and the first that ends lifts them.
func (k *soak) disturbTable(f tableFault) {
	k.setFaults(f.faults)
	time.Sleep(f.last)
	k.setFaults(&tablepb.SetFaultsRequest{})
}

// soakNode is an entry or an agent that can be restarted at its addresses.
type soakNode struct {
	soak  *soak
	id    string
	zone  string
	entry *entryProgram
	agent *agentProgram
	relay *relay

	mu      sync.Mutex // held while a fault has the process
	lifeMu  sync.Mutex
	life    int
	program *program
}

// String names the node in the tale of a run.
func (n *soakNode) String() string { return n.id }

func (n *soakNode) lives() int {
	n.lifeMu.Lock()
	defer n.lifeMu.Unlock()
	return n.life
}

func (n *soakNode) send(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.program.signal(s)
}

func (n *soakNode) pause(last time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.program.signal(syscall.SIGSTOP)
	time.Sleep(last)
	n.program.signal(syscall.SIGCONT)
}

func (n *soakNode) kill(down time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.program.signal(syscall.SIGKILL)
	<-n.program.ended
	n.startAgain(down)
}

func (n *soakNode) terminate(down time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.program.signal(syscall.SIGTERM)
	select {
	case <-n.program.ended:
	case <-time.After(stopBound):
		n.soak.t.Errorf("%s did not stop within %s", n.id, stopBound)
		n.program.signal(syscall.SIGKILL)
		<-n.program.ended
	}
	n.startAgain(down)
}

// stopBound is how long a planned stop may take: the default of stop_timeout_s,
// and time to end.
const stopBound = 32 * time.Second

func (n *soakNode) startAgain(down time.Duration) {
	n.lifeMu.Lock()
	n.life++
	n.lifeMu.Unlock()
	time.Sleep(down)
	n.program = n.restart()
	n.soak.note("%s runs again", n.id)
}

// restart runs the program again at the addresses that it had.
func (n *soakNode) restart() *program {
	k := n.soak
	if n.entry != nil {
		file := k.entrySettings(n.id, n.zone, n.entry.callerAt, n.entry.varsAt, n.entry.peerAt)
		p := run(k.t, n.id, "entry", "--settings", file)
		p.field("entry started", "caller_address")
		return p
	}
	file := k.agentSettings(n.id, n.zone, n.agent.linkAt, n.agent.endpointAt, n.relay)
	p := run(k.t, n.id, "agent", "--settings", file)
	p.field("agent started", "link_address")
	return p
}

// soakZones keeps when zones were out of service.
type soakZones struct {
	mu   sync.Mutex
	outs []outage
}

// outage is when a zone was surely out of service.
type outage struct {
	zone     string
	from, to time.Time
}

// zoneBound is how long after the answer to an edit tasks may start in the
// zone: the view of an agent holds for 2 s, and the stand-in notes a start when
// its body was read.
const zoneBound = 3 * time.Second

// takeOut takes a zone out and in again, and notes the time between. Edits of
// one zone go one after another.
func (z *soakZones) takeOut(k *soak, f zoneOut) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if !k.setZone(f.zone, true) {
		return
	}
	from := time.Now()
	time.Sleep(f.last)
	z.outs = append(z.outs, outage{f.zone, from, time.Now()})
	for !k.setZone(f.zone, false) {
		time.Sleep(100 * time.Millisecond)
	}
}

// setZone edits a zone at the first entry that accepts it. An edit without an
// answer may have been made.
func (k *soak) setZone(zone string, out bool) bool {
	for _, e := range k.entries {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		_, err := e.operator.SetZone(ctx, &operatorapi.Switch{Out: out, Author: "soak"}, operatorapi.SetZoneParams{Zone: zone})
		cancel()
		if err == nil {
			k.note("zone %s out: %t, accepted by %s", zone, out, e.id)
			return true
		}
	}
	return false
}

// check reports tasks that started in a zone that was out.
func (z *soakZones) check(k *soak) {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, a := range k.agents {
		for _, start := range a.endpoint.Starts() {
			i := slices.IndexFunc(z.outs, func(o outage) bool {
				return o.zone == a.zone && start.At.After(o.from.Add(zoneBound)) && start.At.Before(o.to)
			})
			if i >= 0 {
				k.t.Errorf("task %s/%s started at %s, %s after its zone was taken out", start.Job, start.Task, a.id, start.At.Sub(z.outs[i].from))
			}
		}
	}
}
