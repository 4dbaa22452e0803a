package caller_test

import (
	"time"

	agententry "github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
)

// doEntry carries out an action of an entry against the fakes.
func (w *world) doEntry(e *simEntry, inc string, act caller.Action) {
	switch act := act.(type) {
	case caller.Reply:
		if done := e.wait[act.Ticket]; done != nil {
			delete(e.wait, act.Ticket)
			done(act.Answer, true)
		}
	case caller.Unknown:
		if done := e.wait[act.Ticket]; done != nil {
			delete(e.wait, act.Ticket)
			done(caller.Answer{}, false)
		}
	case caller.WriteClaim:
		w.writeClaim(e, inc, act, 0)
	case caller.ReadClaim:
		w.tableCall(func(ok bool) { w.readClaim(e, inc, act.Key, ok) })
	case caller.ReadRosters:
		w.readRosters(e, inc, act, 0)
	case caller.WriteRoster:
		w.writeRoster(e, inc, act)
	case caller.AskOwner:
		w.askOwner(e, inc, act)
	case caller.OpenLink:
		w.openLink(e, inc, act.Agent, act.Address)
	case caller.CloseLink:
		w.breakLink(e.links[act.Agent], false)
		delete(e.links, act.Agent)
	case caller.ResetLink:
		if l := e.links[act.Agent]; l != nil {
			w.breakLink(l, true)
		}
	case caller.SendAgent:
		if l := e.links[act.Agent]; l != nil && l.up {
			w.carryToAgent(l, act.Agent, act.Msg)
		}
	case caller.Peeked, caller.Counted:
	}
}

// tableCall answers after the time of a table call; not ok when it is down.
func (w *world) tableCall(done func(ok bool)) {
	w.at(w.between(2*ms, 12*ms), func() { done(!w.down) })
}

// writeClaim does what platform.Claims does: the same token again when the
// outcome is open.
func (w *world) writeClaim(e *simEntry, inc string, act caller.WriteClaim, tries int) {
	token := act.Row.Token
	w.tableCall(func(ok bool) {
		if !ok && tries == 2 {
			w.toEntry(e, inc, caller.ClaimFailed{Key: act.Key, Token: token})
			return
		}
		if !ok {
			w.writeClaim(e, inc, act, tries+1)
			return
		}
		row := w.rows[act.Key]
		switch {
		case row.version == act.IfVersion:
			w.rows[act.Key] = simRow{version: row.version + 1, claim: act.Row}
			if w.lose > 0 {
				w.lose--
				w.at(time.Second, func() { w.writeClaim(e, inc, act, tries+1) })
				return
			}
			w.toEntry(e, inc, caller.ClaimWritten{Key: act.Key, Token: token, Version: row.version + 1})
		case row.claim != nil && row.claim.Token == token:
			w.toEntry(e, inc, caller.ClaimWritten{Key: act.Key, Token: token, Version: row.version})
		default:
			w.toEntry(e, inc, caller.ClaimFound{Key: act.Key, Token: token, Row: row.claim, Version: row.version})
		}
	})
}

func (w *world) readClaim(e *simEntry, inc string, key caller.Key, ok bool) {
	row, found := w.rows[key]
	if ok {
		e.looked[key] = w.now
	}
	switch {
	case !ok:
		w.toEntry(e, inc, caller.ClaimFailed{Key: key})
	case !found:
		w.toEntry(e, inc, caller.ClaimAbsent{Key: key})
	default:
		w.toEntry(e, inc, caller.ClaimFound{Key: key, Row: row.claim, Version: row.version})
	}
}

func (w *world) readRosters(e *simEntry, inc string, act caller.ReadRosters, tries int) {
	w.tableCall(func(ok bool) {
		if !ok && tries == 4 {
			w.toEntry(e, inc, caller.ClaimFailed{Key: act.Key})
			return
		}
		if !ok {
			w.at(100*ms, func() { w.readRosters(e, inc, act, tries+1) })
			return
		}
		var all []*wirepb.RosterAgent
		for _, owner := range act.Owners {
			all = append(all, w.rosters[owner]...)
		}
		w.toEntry(e, inc, caller.RostersRead{Key: act.Key, Agents: all})
	})
}

func (w *world) writeRoster(e *simEntry, inc string, act caller.WriteRoster) {
	w.tableCall(func(ok bool) {
		if !ok {
			w.at(100*ms, func() { w.writeRoster(e, inc, act) })
			return
		}
		w.rosters[inc] = act.Agents
		w.toEntry(e, inc, caller.RosterWritten{Write: act.Write})
	})
}

func (w *world) askOwner(e *simEntry, inc string, act caller.AskOwner) {
	gone := func() { w.toEntry(e, inc, caller.OwnerGone{Key: act.Key}) }
	var target *simEntry
	for _, o := range w.entries {
		if o.inc == act.Owner && o.alive {
			target = o
		}
	}
	if target == nil {
		w.at(50*ms, gone)
		return
	}
	if target.paused {
		w.at(1600*ms, gone)
		return
	}
	question := &ask{target: target}
	question.gone = func() {
		if !question.done {
			question.done = true
			gone()
		}
	}
	w.asks = append(w.asks, question)
	ticket := w.ticket(target, func(a caller.Answer, known bool) {
		w.at(w.between(1*ms, 5*ms), func() {
			switch {
			case question.done:
			case !known:
				question.gone()
			default:
				question.done = true
				w.toEntry(e, inc, caller.OwnerAnswered{Key: act.Key, Answer: a})
			}
		})
	})
	w.toEntry(target, target.inc, caller.Wait{Ticket: ticket, Key: act.Key, Digest: act.Digest[:], Cancel: act.Cancel})
}

func (w *world) ticket(e *simEntry, done func(caller.Answer, bool)) caller.Ticket {
	e.last++
	e.wait[e.last] = done
	return e.last
}

// openLink connects, and tries again until the link is closed or the agent's
// incarnation is gone.
func (w *world) openLink(e *simEntry, inc, agentInc, address string) {
	if e.links[agentInc] != nil || e.inc != inc {
		return
	}
	w.order++
	l := &simLink{id: uint64(w.order), entry: e}
	e.links[agentInc] = l
	for _, a := range w.agents {
		if address[1:] == string(rune('0'+a.index)) {
			l.agent = a
		}
	}
	w.at(w.between(1*ms, 10*ms), func() { w.dial(l, inc, agentInc) })
}

func (w *world) dial(l *simLink, inc, agentInc string) {
	e, a := l.entry, l.agent
	if e.inc != inc || e.links[agentInc] != l || !e.alive {
		return
	}
	if a.inc != agentInc || !a.alive {
		w.toEntry(e, inc, caller.LinkDown{Agent: agentInc, Gone: true})
		return
	}
	if a.paused || e.paused {
		w.at(700*ms, func() { w.dial(l, inc, agentInc) })
		return
	}
	w.order++
	l.id = uint64(w.order)
	l.up = true
	l.cut = false
	a.links[l.id] = l
	w.toAgent(a, agentInc, agententry.LinkOpened{Link: l.id, Entry: inc})
	up := caller.LinkUp{Agent: agentInc}
	if w.order%2 == 0 {
		// The others have lost their endpoint for a moment.
		up.Info = a.info()
	}
	w.toEntry(e, inc, up)
}

// breakLink ends a connection at both ends; a cut one only at the entry's.
func (w *world) breakLink(l *simLink, again bool) {
	if l == nil || !l.up {
		return
	}
	l.up = false
	e, a := l.entry, l.agent
	inc, agentInc, id, cut := e.inc, a.inc, l.id, l.cut
	next := &simLink{entry: e, agent: a}
	if again {
		e.links[agentInc] = next
	}
	w.at(w.between(1*ms, 5*ms), func() {
		if !cut {
			w.toAgent(a, agentInc, agententry.LinkClosed{Link: id})
		}
		if again {
			w.toEntry(e, inc, caller.LinkDown{Agent: agentInc})
			w.at(20*ms, func() { w.dial(next, inc, agentInc) })
		}
	})
}

func (w *world) killEntry(e *simEntry) {
	e.alive = false
	for _, l := range e.links {
		w.breakLink(l, false)
	}
	for _, q := range w.asks {
		if q.target == e {
			w.at(50*ms, q.gone)
		}
	}
	e.wait = nil
}

func (w *world) killAgent(a *simAgent) {
	a.alive = false
	for _, l := range a.links {
		w.breakLink(l, true)
	}
}

func (w *world) resume(p *proc) {
	p.paused = false
	held := p.held
	p.held = nil
	for _, do := range held {
		do()
	}
}
