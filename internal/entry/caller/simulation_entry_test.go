package caller_test

import (
	"time"

	agententry "github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
)

// performEntryAction carries out an action of an entry in the simulation.
func (sim *simulation) performEntryAction(e *simEntry, inc string, act caller.Action) {
	switch act := act.(type) {
	case caller.Reply:
		if done := e.waiters[act.Ticket]; done != nil {
			delete(e.waiters, act.Ticket)
			done(act.Answer, true)
		}
	case caller.JobNotFound:
		if done := e.waiters[act.Ticket]; done != nil {
			delete(e.waiters, act.Ticket)
			done(caller.Answer{}, false)
		}
	case caller.WriteClaim:
		sim.writeClaim(e, inc, act, 0)
	case caller.ReadClaim:
		sim.tableCall(func(ok bool) { sim.readClaim(e, inc, act.Key, ok) })
	case caller.ReadRosters:
		sim.readRosters(e, inc, act, 0)
	case caller.WriteRoster:
		sim.writeRoster(e, inc, act)
	case caller.AwaitOwner:
		sim.awaitOwner(e, inc, act)
	case caller.OpenLink:
		sim.openLink(e, inc, act.Agent, act.Address)
	case caller.CloseLink:
		sim.breakLink(e.links[act.Agent], false)
		delete(e.links, act.Agent)
	case caller.ResetLink:
		if l := e.links[act.Agent]; l != nil && l.id == act.Session {
			sim.breakLink(l, true)
		}
	case caller.SendToAgent:
		if l := e.links[act.Agent]; l != nil && l.up && (l.id == act.Session || sim.anySession) {
			sim.sendToAgent(l, act.Agent, act.Msg)
		}
	case caller.RecordCount:
		if sim.load != nil {
			sim.load.recordCount(act)
		}
	case caller.JobStatus:
	}
}

// tableCall calls done after the latency of a table call. ok is false if the
// table is down by then.
func (sim *simulation) tableCall(done func(ok bool)) {
	sim.after(sim.randomDuration(2*ms, 12*ms), func() { done(!sim.tableDown) })
}

// writeClaim simulates platform.Claims, which retries a write of unknown outcome
// with the same token.
func (sim *simulation) writeClaim(e *simEntry, inc string, act caller.WriteClaim, tries int) {
	token := act.Row.Token
	sim.tableCall(func(ok bool) {
		if !ok && tries == 2 {
			sim.deliverToEntry(e, inc, caller.ClaimFailed{Key: act.Key, Token: token})
			return
		}
		if !ok {
			sim.writeClaim(e, inc, act, tries+1)
			return
		}
		row := sim.claimRows[act.Key]
		switch {
		case row.version == act.IfVersion:
			sim.claimRows[act.Key] = simRow{version: row.version + 1, claim: act.Row}
			if sim.responsesToLose > 0 {
				sim.responsesToLose--
				sim.after(time.Second, func() { sim.writeClaim(e, inc, act, tries+1) })
				return
			}
			sim.deliverToEntry(e, inc, caller.ClaimWritten{Key: act.Key, Token: token, Version: row.version + 1})
		case row.claim != nil && row.claim.Token == token:
			sim.deliverToEntry(e, inc, caller.ClaimWritten{Key: act.Key, Token: token, Version: row.version})
		default:
			sim.deliverToEntry(e, inc, caller.ClaimFound{Key: act.Key, Token: token, Row: row.claim, Version: row.version})
		}
	})
}

func (sim *simulation) readClaim(e *simEntry, inc string, key caller.Key, ok bool) {
	row, found := sim.claimRows[key]
	if ok {
		e.claimReadAt[key] = sim.now
	}
	switch {
	case !ok:
		sim.deliverToEntry(e, inc, caller.ClaimFailed{Key: key})
	case !found:
		sim.deliverToEntry(e, inc, caller.ClaimAbsent{Key: key})
	default:
		sim.deliverToEntry(e, inc, caller.ClaimFound{Key: key, Row: row.claim, Version: row.version})
	}
}

func (sim *simulation) readRosters(e *simEntry, inc string, act caller.ReadRosters, tries int) {
	sim.tableCall(func(ok bool) {
		if !ok && tries == 4 {
			sim.deliverToEntry(e, inc, caller.ClaimFailed{Key: act.Key})
			return
		}
		if !ok {
			sim.after(100*ms, func() { sim.readRosters(e, inc, act, tries+1) })
			return
		}
		var all []*wirepb.RosterAgent
		for _, owner := range act.Owners {
			all = append(all, sim.rosters[owner]...)
		}
		sim.deliverToEntry(e, inc, caller.RostersRead{Key: act.Key, Agents: all})
	})
}

func (sim *simulation) writeRoster(e *simEntry, inc string, act caller.WriteRoster) {
	sim.tableCall(func(ok bool) {
		if !ok {
			sim.after(100*ms, func() { sim.writeRoster(e, inc, act) })
			return
		}
		sim.rosters[inc] = act.Agents
		sim.deliverToEntry(e, inc, caller.RosterWritten{WriteNumber: act.WriteNumber})
	})
}

// awaitOwner requests the answer of a job from its owner, which an entry treats
// as gone if it has ended or is paused.
func (sim *simulation) awaitOwner(e *simEntry, inc string, act caller.AwaitOwner) {
	gone := func() { sim.deliverToEntry(e, inc, caller.OwnerGone{Key: act.Key}) }
	var target *simEntry
	for _, o := range sim.entries {
		if o.inc == act.Owner && o.alive {
			target = o
		}
	}
	if target == nil {
		sim.after(50*ms, gone)
		return
	}
	if target.paused {
		sim.after(1600*ms, gone)
		return
	}
	query := &ownerQuery{target: target}
	query.gone = func() {
		if !query.done {
			query.done = true
			gone()
		}
	}
	sim.ownerQueries = append(sim.ownerQueries, query)
	ticket := sim.newTicket(target, func(a caller.Answer, known bool) {
		sim.after(sim.randomDuration(1*ms, 5*ms), func() {
			switch {
			case query.done:
			case !known:
				query.gone()
			default:
				query.done = true
				sim.deliverToEntry(e, inc, caller.OwnerAnswered{Key: act.Key, Answer: a})
			}
		})
	})
	sim.deliverToEntry(target, target.inc, caller.Await{Ticket: ticket, Key: act.Key, Digest: act.Digest[:], Cancel: act.Cancel})
}

func (sim *simulation) newTicket(e *simEntry, done func(caller.Answer, bool)) caller.Ticket {
	e.lastTicket++
	e.waiters[e.lastTicket] = done
	return e.lastTicket
}

// openLink connects to an agent, and retries until the link is closed or the
// agent's incarnation has ended.
func (sim *simulation) openLink(e *simEntry, inc, agentInc, address string) {
	if e.links[agentInc] != nil || e.inc != inc {
		return
	}
	sim.lastSequenceNumber++
	l := &simLink{id: uint64(sim.lastSequenceNumber), entry: e}
	e.links[agentInc] = l
	for _, a := range sim.agents {
		if address == a.address() {
			l.agent = a
		}
	}
	sim.after(sim.randomDuration(1*ms, 10*ms), func() { sim.dial(l, inc, agentInc) })
}

func (sim *simulation) dial(l *simLink, inc, agentInc string) {
	e, a := l.entry, l.agent
	if e.inc != inc || e.links[agentInc] != l || !e.alive {
		return
	}
	if a.inc != agentInc || !a.alive {
		sim.deliverToEntry(e, inc, caller.LinkDown{Agent: agentInc, Session: uint64(sim.lastSequenceNumber), Gone: true})
		return
	}
	if a.paused || e.paused {
		sim.after(700*ms, func() { sim.dial(l, inc, agentInc) })
		return
	}
	sim.lastSequenceNumber++
	l.id = uint64(sim.lastSequenceNumber)
	l.up = true
	l.cut = false
	a.links[l.id] = l
	sim.deliverToAgent(a, agentInc, agententry.LinkOpened{Link: l.id, Entry: inc})
	up := caller.LinkUp{Agent: agentInc, Session: l.id}
	if sim.lastSequenceNumber%2 == 0 {
		// In the other cases, the agent has no endpoint at the moment.
		up.Info = a.info()
	}
	sim.deliverToEntry(e, inc, up)
}

// breakLink closes a connection at both ends, or at the entry's end only if the
// connection is cut. With reconnect set, the entry opens a new one.
func (sim *simulation) breakLink(l *simLink, reconnect bool) {
	if l == nil || !l.up {
		return
	}
	l.up = false
	e, a := l.entry, l.agent
	inc, agentInc, id, cut := e.inc, a.inc, l.id, l.cut
	next := &simLink{entry: e, agent: a}
	if reconnect {
		e.links[agentInc] = next
	}
	sim.after(sim.randomDuration(1*ms, 5*ms), func() {
		if !cut {
			sim.deliverToAgent(a, agentInc, agententry.LinkClosed{Link: id})
		}
		if reconnect {
			sim.deliverToEntry(e, inc, caller.LinkDown{Agent: agentInc, Session: id})
			sim.after(20*ms, func() { sim.dial(next, inc, agentInc) })
		}
	})
}

func (sim *simulation) killEntry(e *simEntry) {
	e.alive = false
	for _, l := range e.links {
		sim.breakLink(l, false)
	}
	for _, q := range sim.ownerQueries {
		if q.target == e {
			sim.after(50*ms, q.gone)
		}
	}
	e.waiters = nil
}

func (sim *simulation) killAgent(a *simAgent) {
	a.alive = false
	for _, l := range a.links {
		sim.breakLink(l, true)
	}
}

func (sim *simulation) resume(p *proc) {
	p.paused = false
	deferred := p.deferred
	p.deferred = nil
	for _, do := range deferred {
		do()
	}
}
