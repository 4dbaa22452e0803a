package caller_test

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	agententry "github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/membership/rendezvous"
)

func newSimAgentState(inc string, entrySilence time.Duration) *agententry.State {
	return agententry.New(agententry.Options{
		Incarnation:         inc,
		QueuePerSlot:        1,
		Ledger:              agententry.LedgerOptions{Jobs: 1000, ResultBytes: 1 << 20, Retention: time.Minute},
		EntrySilenceTimeout: entrySilence,
	})
}

func (sim *simulation) startAgent(a *simAgent) {
	a.proc = proc{inc: fmt.Sprintf("a%d.%d", a.index, sim.lastSequenceNumber), startedAt: sim.now, alive: true}
	a.links = map[uint64]*simLink{}
	a.state = newSimAgentState(a.inc, sim.entrySilence())
	inc := a.inc
	a.ready = !sim.leased
	a.endpointNumber = 1
	if sim.leased {
		sim.startEndpoint(a)
	} else {
		sim.deliverToAgent(a, inc, a.endpointReady())
	}
	sim.every(tickInterval, func() bool { sim.deliverToAgent(a, inc, agententry.Tick{}); return a.inc == inc && a.alive })
	sim.every(500*ms, func() bool { sim.announce(a, inc); return a.inc == inc && a.alive })
}

// endpointReady is the event that the agent's endpoint takes tasks.
func (a *simAgent) endpointReady() agententry.Event {
	return agententry.EndpointChanged{Endpoint: agententry.Endpoint{Number: a.endpointNumber, Slots: 2, AcceptsTasks: true}}
}

func (sim *simulation) announce(a *simAgent, inc string) {
	if a.paused || a.inc != inc || !a.ready {
		return
	}
	info := a.info()
	for _, e := range sim.homesOf(a) {
		if l := e.links[inc]; l == nil || !l.up {
			sim.deliverToEntry(e, e.inc, caller.AgentAnnounced{Info: info})
		}
	}
}

// homesOf returns those of the live entries that an agent selects.
func (sim *simulation) homesOf(a *simAgent) []*simEntry {
	var alive []rendezvous.Entry
	byAddress := map[string]*simEntry{}
	for _, e := range sim.entries {
		if e.alive {
			address := fmt.Sprint("e", e.index)
			alive = append(alive, rendezvous.Entry{Address: address, Zone: e.zone})
			byAddress[address] = e
		}
	}
	var homes []*simEntry
	for _, home := range rendezvous.Homes(a.address(), alive) {
		homes = append(homes, byAddress[home.Address])
	}
	return homes
}

func (a *simAgent) address() string { return fmt.Sprint("a", a.index) }

func (a *simAgent) info() *wirepb.AgentInfo {
	return &wirepb.AgentInfo{
		Id: fmt.Sprintf("a%d", a.index), Incarnation: a.inc, Address: a.address(),
		Zone: a.zone, Service: "s", Slots: 2, RunsOverMs: a.endpoint.orphanRunLimitMs,
		Capacity: a.capacity.Wire(), Endpoint: a.endpointNumber,
	}
}

func (sim *simulation) deliverToAgent(a *simAgent, inc string, ev agententry.Event) {
	if a.inc != inc || !a.alive {
		return
	}
	if a.paused {
		if _, isTick := ev.(agententry.Tick); !isTick {
			a.deferred = append(a.deferred, func() { sim.deliverToAgent(a, inc, ev) })
		}
		return
	}
	acts := a.state.Step(sim.now-a.startedAt+1, ev)
	sim.recording.recordAgentStep(inc, sim.now-a.startedAt+1, ev, acts)
	for _, act := range acts {
		sim.performAgentAction(a, inc, act)
	}
}

func (sim *simulation) performAgentAction(a *simAgent, inc string, act agententry.Action) {
	switch act := act.(type) {
	case agententry.Send:
		if l := a.links[act.Link]; l != nil {
			sim.sendToEntry(l, inc, a.withDescription(l, act.Msg))
		}
	case agententry.StartTask:
		if sim.load != nil {
			sim.load.startRun(a, inc, act)
			return
		}
		if act.CallerJobID != "" {
			sim.startRun(a, inc, act)
			return
		}
		sim.recordStart(a, act)
		took := time.Duration(float64(sim.randomDuration(5*ms, 400*ms)) / a.speed)
		sim.after(took, func() {
			sim.deliverToAgent(a, inc, agententry.TaskEnded{Ref: act.Ref, Result: act.Payload, Took: took})
		})
	case agententry.CancelTask:
		sim.cancelRun(a, inc, act.Ref)
	case agententry.RecordRefusal:
	}
}

// withDescription returns the message with the description of the agent if it reports
// another endpoint than those before on the link.
func (a *simAgent) withDescription(l *simLink, msg *wirepb.FromAgent) *wirepb.FromAgent {
	number := msg.Load.GetEndpoint()
	if number == l.described {
		return msg
	}
	l.described = number
	described := proto.Clone(msg).(*wirepb.FromAgent)
	described.Info = a.info()
	return described
}

// recordStart counts a start and checks it: a task of a claimed job starts at
// most once, and no task starts in a zone that has been out of service for
// longer than zoneGrace.
func (sim *simulation) recordStart(a *simAgent, act agententry.StartTask) {
	if act.Ref.Job[0] != '~' {
		name := fmt.Sprintf("%s/%s/%d", act.Ref.Team, act.Ref.Job, act.Ref.Task)
		sim.startCounts[name]++
		sim.recordFirstStart(act.Ref.Job)
		if sim.startCounts[name] > 1 {
			sim.reportViolation("task %s started %d times, want once", name, sim.startCounts[name])
		}
	}
	if since, out := sim.zoneOutSince[a.zone]; out && sim.now > since+zoneGrace {
		sim.reportViolation("task started in zone %s, which is out of service since %s", a.zone, since)
	}
}

func (sim *simulation) recordFirstStart(id string) {
	for _, j := range sim.jobs {
		if j.job.ID == id && j.startedAt < 0 {
			j.startedAt = sim.now
		}
	}
}
