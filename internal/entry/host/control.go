package host

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/entry/admission"
	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/transport/clock"
)

// runControl is the control goroutine, the only one that accesses the control
// state. It passes events to the state and performs the resulting actions.
func (e *Entry) runControl(ctx context.Context) error {
	state := caller.New(caller.Options{
		Incarnation:     e.incarnation,
		MaxOpenJobs:     e.settings.MaxOpenJobs,
		MaxQueuedTasks:  e.settings.MaxQueuedTasks,
		AnswerRetention: e.settings.AnswerRetention(),
	})
	tick := time.NewTimer(0)
	defer tick.Stop()
	lastStep := e.Now()
	for {
		var batch []caller.Event
		select {
		case ev := <-e.events:
			batch = e.drainEvents(append(batch, ev))
		case req := <-e.inspections:
			req.inspect(state)
			close(req.done)
			continue
		case <-tick.C:
			batch = append(batch, caller.Tick{})
			e.suspensions.Observe(clock.Read())
			e.usableAgents.Set(int64(state.UsableAgents()))
			e.reachableAgents.Set(int64(state.ReachableAgents()))
			tick.Reset(tickInterval(state))
		case <-ctx.Done():
			return ctx.Err()
		}
		batch = e.dropAbandoned(batch)
		now := e.Now()
		if interruption := now - lastStep; interruption >= minInterruption {
			e.countInterruption(interruption)
			batch = slices.Insert(batch, 0, caller.Event(caller.Interrupted{Since: lastStep}))
		}
		lastStep = now
		wasIdle := state.Idle()
		actions := state.Step(now, batch...)
		if wasIdle && !state.Idle() {
			tick.Reset(busyTick)
		}
		e.openJobs.Store(int64(state.OpenJobs()))
		for _, act := range actions {
			e.perform(act)
		}
	}
}

// dropAbandoned removes the submissions of repeatable jobs whose callers have left: they
// may have submitted the jobs again to another entry. The event of the disconnection
// can be queued long after the submission if the entry is short of processor time.
func (e *Entry) dropAbandoned(batch []caller.Event) []caller.Event {
	return slices.DeleteFunc(batch, func(ev caller.Event) bool {
		submission, ok := ev.(caller.Submit)
		if !ok || !submission.Job.Repeatable || !e.tickets.hasLeft(submission.Ticket) {
			return false
		}
		e.counters.Events.Add("submissions_after_disconnect", 1)
		e.log.Info("caller left before its job was admitted", zap.String("team", submission.Job.Key.Team),
			zap.String("job", submission.Job.Key.ID), zap.String("name", submission.Job.CallerJobID))
		e.tickets.resolve(submission.Ticket, outcome{err: errCallerLeft})
		return true
	})
}

// countInterruption counts and logs that the control goroutine did not run for some
// time.
func (e *Entry) countInterruption(length time.Duration) {
	e.counters.Events.Add("interruptions", 1)
	e.log.Warn("entry did not run", zap.Int64("ms", length.Milliseconds()), zap.Int64("open_jobs", e.openJobs.Load()))
}

// tickInterval returns the time until the next tick of the control state.
func tickInterval(state *caller.State) time.Duration {
	if state.Idle() {
		return idleTick
	}
	return busyTick
}

// drainEvents appends the events that are already queued to batch, until it
// contains maxEventBatch events.
func (e *Entry) drainEvents(batch []caller.Event) []caller.Event {
	for len(batch) < maxEventBatch {
		select {
		case ev := <-e.events:
			batch = append(batch, ev)
		default:
			return batch
		}
	}
	return batch
}

// inspect runs f on the control goroutine and waits until it has returned.
func (e *Entry) inspect(ctx context.Context, f func(*caller.State)) error {
	req := inspection{inspect: f, done: make(chan struct{})}
	select {
	case e.inspections <- req:
		<-req.done
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-e.ctx.Done():
		return e.ctx.Err()
	}
}

// perform performs an action. Actions that wait for another process run in the
// background.
func (e *Entry) perform(act caller.Action) {
	switch act := act.(type) {
	case caller.Reply:
		e.tickets.resolve(act.Ticket, outcome{answer: act.Answer, known: true})
	case caller.JobNotFound:
		e.tickets.resolve(act.Ticket, outcome{})
	case caller.JobStatus:
		e.tickets.resolve(act.Ticket, outcome{status: act, known: true})
	case caller.WriteClaim:
		e.claims.Write(act)
	case caller.ReadClaim:
		e.claims.Read(act.Key)
	case caller.AwaitOwner:
		e.actionCalls.Go(func() { e.peers.AwaitAnswer(e.ctx, act) })
	case caller.ReadRosters:
		e.actionCalls.Go(func() { e.rosters.Read(e.ctx, act) })
	case caller.WriteRoster:
		e.rosterWrites <- act
	case caller.RecordCount:
		e.countAndLog(act)
	case caller.AdmissionDecided:
		e.counters.Admission.Add(act.Verdict.String(), 1)
	case caller.RecordStartWait:
		e.counters.StartWaits.Record(act.Size.String()+"/"+act.Width.String(), act.Wait)
	default:
		e.performLinkAction(act)
	}
}

// performLinkAction performs an action on the link to an agent.
func (e *Entry) performLinkAction(act caller.Action) {
	switch act := act.(type) {
	case caller.OpenLink:
		e.links.Open(e.ctx, act.Agent, act.Address)
	case caller.CloseLink:
		e.links.Close(act.Agent)
	case caller.ResetLink:
		e.links.Reset(act.Agent, act.Session)
	case caller.SendToAgent:
		e.counters.Messages.Add("to_agents", 1)
		if n := len(act.Msg.Starts); n > 0 {
			e.counters.Events.Add("starts_sent", int64(n))
		}
		e.links.Send(act.Agent, act.Session, act.Msg)
	}
}

// countAndLog counts and logs an occurrence that the control state reports.
func (e *Entry) countAndLog(act caller.RecordCount) {
	fields := logFields(act)
	switch act.Count {
	case caller.Refusal:
		e.counters.Refusals.Add(act.Reason.String(), 1)
		e.log.Info("job refused", fields...)
	case caller.Failure:
		e.counters.Failures.Add(act.Reason.String(), 1)
		e.log.Info("job failed", fields...)
	case caller.Retry:
		e.counters.Retries.Add(act.Reason.String(), 1)
		e.log.Info("retrying a task, job or agent link", fields...)
	case caller.Finished:
		e.counters.Events.Add("jobs_finished", 1)
		e.log.Info("job finished", fields...)
	case caller.TakeOver:
		e.counters.Events.Add("take_overs", 1)
		e.log.Info("job taken over", fields...)
	case caller.SilentLink:
		e.counters.Retries.Add(reason.LinkSilent.String(), 1)
		e.log.Warn("agent stopped responding, reopening its link", fields...)
	case caller.UnownedTask:
		e.counters.Events.Add("unowned_tasks", 1)
		e.log.Warn("agent has a task that this entry has not placed there", fields...)
	case caller.UnownedResult:
		e.counters.Events.Add("unowned_results", 1)
		e.log.Info("agent completed a task that this entry has not placed there", fields...)
	case caller.Joined:
		e.counters.Events.Add("submissions_joined", 1)
		e.log.Info("submission joined an open job", fields...)
	}
}

// logFields returns the log fields of an occurrence.
func logFields(act caller.RecordCount) []zap.Field {
	fields := []zap.Field{
		zap.String("team", act.Ref.Team),
		zap.String("job", act.Ref.Job),
		zap.Stringer("reason", act.Reason),
	}
	if act.Agent != "" {
		fields = append(fields, zap.Int("task", act.Ref.Task), zap.String("agent", act.Agent))
	}
	if job := act.Job; job != nil {
		fields = append(fields,
			zap.String("name", job.CallerJobID), zap.String("detail", job.Detail),
			zap.Int64("age_ms", job.Age.Milliseconds()), zap.Int64("due_in_ms", job.DueIn.Milliseconds()), zap.Int64("left_ms", job.DeadlineIn.Milliseconds()),
			zap.Int("tasks", job.Tasks), zap.Int("done", job.DoneTasks), zap.Int("open", job.TasksAtAgents), zap.Int("failed_runs", job.FailedRuns),
			zap.Int("queued", job.QueuedTasks), zap.Int("agents", job.ReachableAgents), zap.Uint64("version", job.ConfigVersion), zap.String("longest_runs", job.LongestRuns))
		if in := job.Admission; in != nil {
			fields = append(fields, admissionFields(in)...)
		}
	}
	return fields
}

// admissionFields returns the log fields of the inputs that determined the refusal of
// a job.
func admissionFields(in *admission.Inputs) []zap.Field {
	return []zap.Field{
		zap.Int("free_tasks", in.FreeTasks), zap.Int("ahead", in.TasksAhead), zap.Int("running", in.Running), zap.Int("members", in.Members),
		zap.Int64("wait_ms", in.ExpectedWait.Milliseconds()), zap.Int64("end_ms", in.ExpectedEnd.Milliseconds()), zap.Int64("useful_ms", in.UsefulFor.Milliseconds()),
		zap.Int64("report_age_ms", in.ReportAge.Milliseconds()), zap.Int("observations", in.Observations),
	}
}

func (e *Entry) countRetry(cause reason.Reason) { e.counters.Retries.Add(cause.String(), 1) }

// listener implements agent.Listener. It passes the events of links to the
// control goroutine.
type listener Entry

// LinkUp reports an open link.
func (l *listener) LinkUp(incarnation string, session uint64, info *wirepb.AgentInfo) {
	(*Entry)(l).emit(caller.LinkUp{Agent: incarnation, Session: session, Info: info})
}

// LinkDown reports a link that ended or could not be opened.
func (l *listener) LinkDown(incarnation string, session uint64, gone bool) {
	(*Entry)(l).emit(caller.LinkDown{Agent: incarnation, Session: session, Gone: gone})
}

// MessageReceived reports a message from an agent.
func (l *listener) MessageReceived(incarnation string, msg *wirepb.FromAgent) {
	e := (*Entry)(l)
	e.counters.Messages.Add("from_agents", 1)
	e.emit(caller.AgentMessage{Agent: incarnation, Msg: msg})
}
