package entry_test

import (
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// slowLink carries messages between an agent and one entry with a delay each way,
// in order.
type slowLink struct {
	delay    time.Duration
	toAgent  []delayedMessage
	toEntry  []delayedMessage
	stamp    int64 // latest stamp that the entry has received
	accepts  bool  // whether the entry knows the agent to accept starts
	outcomes int   // outcomes and refusals of starts that the entry has received
}

type delayedMessage struct {
	at     time.Duration
	starts *wirepb.ToAgent
	report *wirepb.FromAgent
}

type runningTask struct {
	ref    entry.TaskRef
	endsAt time.Duration
}

// TestStopAtEachPointOfAStart stops an agent at every millisecond of the way of a
// start: while it is on its way to the agent, while it runs and while its outcome
// is on its way back. Whenever the agent says that it has drained, so that its
// connections may be closed, every start that the entry sent must have been
// answered, and no more may follow.
func TestStopAtEachPointOfAStart(t *testing.T) {
	const (
		delay   = 400 * time.Millisecond // more than any fixed wait would cover
		runTime = 50 * time.Millisecond
		sentAt  = 20 * time.Millisecond
		maxStop = 1200 * time.Millisecond
	)
	for stopAt := time.Duration(0); stopAt <= maxStop; stopAt += 5 * time.Millisecond {
		r := newRig(largeLedger())
		start := r.now
		l := &slowLink{delay: delay, accepts: true}
		var running []runningTask
		stopped, sent, refused := false, 0, 0
		perform := func(actions []entry.Action) {
			for _, act := range actions {
				switch act := act.(type) {
				case entry.Send:
					if act.Link == 1 {
						l.toEntry = append(l.toEntry, delayedMessage{at: r.now + l.delay, report: act.Msg})
					}
				case entry.StartTask:
					running = append(running, runningTask{act.Ref, r.now + runTime})
				case entry.RecordRefusal:
					if act.Reason != reason.Stopping {
						t.Errorf("stop after %s: start refused for %s", stopAt, act.Reason)
					}
					refused++
				}
			}
		}
		perform(r.step(entry.LinkClosed{Link: 2}))
		for r.now < start+10*time.Second {
			elapsed := r.now - start
			for l.accepts && sent < 2 && elapsed >= sentAt+time.Duration(sent)*delay {
				l.toAgent = append(l.toAgent, delayedMessage{at: r.now + l.delay, starts: startOf("j", 1, uint32(sent), 1)})
				sent++
			}
			if !stopped && elapsed >= stopAt {
				stopped = true
				perform(r.step(entry.Stop{}))
			}
			for len(l.toAgent) > 0 && l.toAgent[0].at <= r.now {
				msg := l.toAgent[0].starts
				l.toAgent = l.toAgent[1:]
				if msg.View == nil {
					msg.View = &wirepb.View{Version: 1, Open: true, Confirmed: true, Echo: max(l.stamp, int64(r.now)-int64(time.Second))}
				}
				perform(r.step(entry.MessageReceived{Link: 1, Msg: msg}))
			}
			for len(l.toEntry) > 0 && l.toEntry[0].at <= r.now {
				msg := l.toEntry[0].report
				l.toEntry = l.toEntry[1:]
				l.stamp = msg.Stamp
				l.accepts = msg.Load.Open
				l.outcomes += len(msg.Updates)
				if msg.Probe {
					l.toAgent = append(l.toAgent, delayedMessage{at: r.now + l.delay, starts: &wirepb.ToAgent{View: &wirepb.View{Version: 1, Open: true, Confirmed: true, Echo: l.stamp}}})
				}
			}
			if len(running) > 0 && running[0].endsAt <= r.now {
				ended := running[0]
				running = running[1:]
				perform(r.step(entry.TaskEnded{Ref: ended.ref, Result: []byte("r")}))
			}
			if stopped && r.state.Drained() {
				break
			}
			perform(r.step(entry.Tick{}))
		}
		if !r.state.Drained() {
			t.Fatalf("stop after %s: not drained after 10 s", stopAt)
		}
		if l.outcomes != sent || l.accepts && sent < 2 {
			t.Errorf("stop after %s: drained when %d of %d starts had been answered, entry sends more: %t", stopAt, l.outcomes, sent, l.accepts)
		}
		for _, m := range l.toAgent {
			if len(m.starts.Starts) > 0 {
				t.Errorf("stop after %s: drained with a start on its way to the agent", stopAt)
			}
		}
	}
}
