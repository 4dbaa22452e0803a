package host

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
)

// control is the one goroutine that owns the control state.
func (e *Entry) control(ctx context.Context) error {
	state := caller.New(caller.Options{
		Incarnation:     e.incarnation,
		MaxOpenJobs:     e.settings.MaxOpenJobs,
		MaxQueuedTasks:  e.settings.MaxQueuedTasks,
		AnswerRetention: e.settings.AnswerRetention(),
	})
	tick := time.NewTimer(0)
	defer tick.Stop()
	for {
		var batch []caller.Event
		select {
		case ev := <-e.events:
			batch = e.drain(append(batch, ev))
		case l := <-e.looks:
			l.see(state)
			close(l.done)
			continue
		case <-tick.C:
			batch = append(batch, caller.Tick{})
			e.usable.Set(int64(state.Usable()))
			e.reachable.Set(int64(state.Reachable()))
			tick.Reset(tickInterval(state))
		case <-ctx.Done():
			return ctx.Err()
		}
		wasIdle := state.Idle()
		actions := state.Step(e.Now(), batch...)
		if wasIdle && !state.Idle() {
			tick.Reset(busyTick)
		}
		e.open.Store(int64(state.Open()))
		for _, act := range actions {
			e.do(act)
		}
	}
}

// tickInterval returns how long until time passes for the control state again.
func tickInterval(state *caller.State) time.Duration {
	if state.Idle() {
		return idleTick
	}
	return busyTick
}

// drain adds the events that wait already, up to a bound.
func (e *Entry) drain(batch []caller.Event) []caller.Event {
	for len(batch) < maxBatch {
		select {
		case ev := <-e.events:
			batch = append(batch, ev)
		default:
			return batch
		}
	}
	return batch
}

// look runs see on the control goroutine and waits for it.
func (e *Entry) look(ctx context.Context, see func(*caller.State)) error {
	l := look{see: see, done: make(chan struct{})}
	select {
	case e.looks <- l:
		<-l.done
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-e.ctx.Done():
		return e.ctx.Err()
	}
}

// do carries out an action without waiting for it.
func (e *Entry) do(act caller.Action) {
	switch act := act.(type) {
	case caller.Reply:
		e.tickets.settle(act.Ticket, outcome{answer: act.Answer, known: true})
	case caller.Unknown:
		e.tickets.settle(act.Ticket, outcome{})
	case caller.Peeked:
		e.tickets.settle(act.Ticket, outcome{peeked: act, known: true})
	case caller.WriteClaim:
		e.claims.Write(act)
	case caller.ReadClaim:
		e.claims.Read(act.Key)
	case caller.AskOwner:
		e.calls.Go(func() { e.peers.AwaitAnswer(e.ctx, act) })
	case caller.ReadRosters:
		e.calls.Go(func() { e.roster.Read(e.ctx, act) })
	case caller.WriteRoster:
		e.rosters <- act
	case caller.Counted:
		e.count(act)
	default:
		e.doLink(act)
	}
}

func (e *Entry) doLink(act caller.Action) {
	switch act := act.(type) {
	case caller.OpenLink:
		e.links.Open(e.ctx, act.Agent, act.Address)
	case caller.CloseLink:
		e.links.Close(act.Agent)
	case caller.ResetLink:
		e.links.Reset(act.Agent)
	case caller.SendAgent:
		e.counters.Messages.Add("to_agents", 1)
		if n := len(act.Msg.Starts); n > 0 {
			e.counters.Events.Add("starts_sent", int64(n))
		}
		e.links.Send(act.Agent, act.Msg)
	}
}

// count turns what the control state reports into counters and logs.
func (e *Entry) count(c caller.Counted) {
	fields := traceFields(c)
	switch c.What {
	case caller.Refusal:
		e.counters.Refusals.Add(c.Reason.String(), 1)
		e.log.Info("job refused", fields...)
	case caller.Failure:
		e.counters.Failures.Add(c.Reason.String(), 1)
		e.log.Info("job failed", fields...)
	case caller.Retry:
		e.counters.Retries.Add(c.Reason.String(), 1)
		e.log.Info("task placed again", fields...)
	case caller.Finished:
		e.counters.Events.Add("jobs_finished", 1)
		e.log.Info("job finished", fields...)
	case caller.TakeOver:
		e.counters.Events.Add("take_overs", 1)
		e.log.Info("job taken over", fields...)
	case caller.Silent:
		e.counters.Retries.Add(reason.LinkSilent.String(), 1)
		e.log.Warn("agent link silent, opening a new connection", fields...)
	}
}

// traceFields returns what a log line says of a decision.
func traceFields(c caller.Counted) []zap.Field {
	fields := []zap.Field{
		zap.String("team", c.Ref.Team),
		zap.String("job", c.Ref.Job),
		zap.Stringer("reason", c.Reason),
	}
	if c.Agent != "" {
		fields = append(fields, zap.Int("task", c.Ref.Task), zap.String("agent", c.Agent))
	}
	if t := c.Job; t != nil {
		fields = append(fields,
			zap.String("name", t.Name), zap.String("detail", t.Detail),
			zap.Int64("age_ms", t.Age.Milliseconds()), zap.Int64("due_in_ms", t.DueIn.Milliseconds()), zap.Int64("left_ms", t.LeftIn.Milliseconds()),
			zap.Int("tasks", t.Tasks), zap.Int("done", t.Done), zap.Int("open", t.Open), zap.Int("failed_runs", t.Failures),
			zap.Int("queued", t.Queued), zap.Int("agents", t.Agents), zap.Uint64("version", t.Version), zap.String("longest_runs", t.Runs))
	}
	return fields
}

func (e *Entry) countRetry(why reason.Reason) { e.counters.Retries.Add(why.String(), 1) }

// listener passes what happens on links to the control goroutine.
type listener Entry

// LinkUp reports an open link.
func (l *listener) LinkUp(incarnation string, info *wirepb.AgentInfo) {
	(*Entry)(l).emit(caller.LinkUp{Agent: incarnation, Info: info})
}

// LinkDown reports a link that ended.
func (l *listener) LinkDown(incarnation string, gone bool) {
	(*Entry)(l).emit(caller.LinkDown{Agent: incarnation, Gone: gone})
}

// Said reports a message of an agent.
func (l *listener) MessageReceived(incarnation string, msg *wirepb.FromAgent) {
	e := (*Entry)(l)
	e.counters.Messages.Add("from_agents", 1)
	e.emit(caller.AgentSaid{Agent: incarnation, Msg: msg})
}
