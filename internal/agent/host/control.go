package host

import (
	"cmp"
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/agent/backfill"
	"github.com/savorystair/savorystair/internal/agent/endpoint"
	"github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/outcome/reason"
	"github.com/savorystair/savorystair/internal/transport/clock"
)

const bytesPerMB = 1 << 20

// runControl owns the control state: no other goroutine accesses it.
func (a *Agent) runControl(ctx context.Context) error {
	state := entry.New(entry.Options{
		Incarnation:  a.incarnation,
		QueuePerSlot: *a.settings.QueuePerSlot,
		Ledger: entry.LedgerOptions{
			Jobs:        a.settings.LedgerJobs,
			ResultBytes: a.settings.LedgerResultMB * bytesPerMB,
			Retention:   a.settings.LedgerRetention(),
		},
		EntrySilenceTimeout: a.settings.EntrySilenceTimeout(),
	})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var batch []entry.Event
		select {
		case ev := <-a.events:
			batch = a.addPendingEvents(append(batch, ev))
		case <-ticker.C:
			batch = append(batch, entry.Tick{})
		case <-ctx.Done():
			return ctx.Err()
		}
		actions := state.Step(a.controlClock(), batch...)
		a.publishState(state)
		for _, act := range actions {
			a.perform(ctx, act)
		}
	}
}

// addPendingEvents adds the events that are already queued, up to
// maxEventsPerStep.
func (a *Agent) addPendingEvents(batch []entry.Event) []entry.Event {
	for len(batch) < maxEventsPerStep {
		select {
		case ev := <-a.events:
			batch = append(batch, ev)
		default:
			return batch
		}
	}
	return batch
}

// publishState copies the parts of the control state that other goroutines read.
func (a *Agent) publishState(state *entry.State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.idle = state.Idle()
	a.drained = state.Drained()
	a.runningCount = state.Running()
	clear(a.echoes)
	state.EachEcho(func(entry string, stamp time.Duration) { a.echoes[entry] = stamp })
}

func (a *Agent) perform(ctx context.Context, act entry.Action) {
	switch act := act.(type) {
	case entry.Send:
		a.send(act)
	case entry.StartTask:
		a.startTask(ctx, act)
	case entry.CancelTask:
		a.cancelTask(act.Ref)
	case entry.EndLink:
		a.endLink(act.Link)
	case entry.RecordRefusal:
		a.counters.Refusals.Add(act.Reason.String(), 1)
		a.log.Debug("start refused", zap.String("team", act.Ref.Team), zap.String("job", act.Ref.Job),
			zap.Uint32("task", act.Ref.Task), zap.Stringer("reason", act.Reason))
	case entry.RecordPlacement:
		a.recordPlacement(act)
	}
}

// recordPlacement counts a decision about a queued task, and logs the reservations at
// most once per reservationLogInterval.
func (a *Agent) recordPlacement(act entry.RecordPlacement) {
	a.counters.Placement.Add(act.Verdict.String(), 1)
	if act.Verdict != backfill.Reserved {
		return
	}
	a.reservationLog.Do(func() {
		a.log.Info("task reserved", zap.String("team", act.Ref.Team), zap.String("job", act.Ref.Job), zap.Uint32("task", act.Ref.Task),
			zap.Int("need_milli", act.Need.CPUMilli), zap.Int("need_mb", act.Need.MemoryMB),
			zap.Int("free_milli", act.Free.CPUMilli), zap.Int("free_mb", act.Free.MemoryMB), zap.Int("running", act.Running),
			zap.Float32("ratio", act.Ratio), zap.Int64("queued_ms", act.QueuedFor.Milliseconds()),
			zap.Int64("fits_in_ms", act.FitsIn.Milliseconds()), zap.Int64("hold_limit_ms", act.HoldLimit.Milliseconds()))
	})
}

func (a *Agent) send(act entry.Send) {
	a.mu.Lock()
	l := a.links[act.Link]
	a.mu.Unlock()
	if l == nil {
		return
	}
	a.counters.Messages.Add("to_entry", 1)
	l.outbox.Put(act.Msg)
}

func (a *Agent) endLink(id uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l := a.links[id]; l != nil {
		a.log.Info("link ended for a new description of the endpoint", zap.String("entry", l.entry), zap.Uint64("link", id))
		l.end()
	}
}

// taskRun is a task that was handed to the runner.
type taskRun struct {
	cancel      context.CancelFunc
	silentEntry string        // as in StartTask
	endBy       time.Duration // fixed when the task is cancelled; 0 before
}

// startTask starts a task at the endpoint, in a new goroutine.
func (a *Agent) startTask(ctx context.Context, act entry.StartTask) {
	runCtx, cancel := context.WithCancel(ctx)
	run := &taskRun{cancel: cancel, silentEntry: act.SilentEntry}
	a.mu.Lock()
	runner, replaced := a.runner, a.endpointNumber != act.Endpoint
	a.taskRuns[act.Ref] = run
	a.mu.Unlock()
	if replaced {
		runner = replacedEndpoint{}
	}
	a.counters.Events.Add("tasks_started", 1)
	task := endpoint.Task{
		Team:     act.Ref.Team,
		Job:      cmp.Or(act.CallerJobID, act.Ref.Job),
		Step:     act.Step,
		Index:    indexOf(act),
		Attempt:  act.Attempt,
		Kind:     act.Kind,
		Payload:  act.Payload,
		Stalls:   act.Stalls,
		MayStart: func() bool { return a.controlClock() <= act.StartDeadline },
	}
	if act.SilentEntry != "" {
		task.EndBy = func() time.Duration { return a.endBy(run) }
	}
	a.background.Go(func() {
		defer cancel()
		o := runner.Run(runCtx, task)
		a.mu.Lock()
		delete(a.taskRuns, act.Ref)
		a.mu.Unlock()
		a.taskEnded(ctx, act.Ref, o)
	})
}

// replacedEndpoint is the runner for tasks whose endpoint was replaced by another
// incarnation after the control state had started them.
type replacedEndpoint struct{}

// Run returns that the task did not run.
func (replacedEndpoint) Run(context.Context, endpoint.Task) endpoint.Outcome {
	return endpoint.Outcome{Reason: reason.EndpointReplaced, Detail: "the endpoint was replaced by another incarnation", NotRun: true}
}

// endBy returns the reading of clock.SinceBoot by which a run must have ended. It
// follows the latest contact with the entry until the run is cancelled.
func (a *Agent) endBy(r *taskRun) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return cmp.Or(r.endBy, a.endByContact(r.silentEntry))
}

// endByContact returns when the runs of an entry must have ended if the agent
// receives nothing more from it. The caller holds the lock.
func (a *Agent) endByContact(entry string) time.Duration {
	return a.started + a.echoes[entry] + a.settings.RunEndTimeout()
}

// controlClock returns the clock reading for the control state. It includes
// time for which the host was suspended, so that messages from before a
// suspension are recognized as old.
func (a *Agent) controlClock() time.Duration { return clock.SinceBoot() - a.started }

// indexOf returns the index of a task in its step. A job without a CallerJobID
// has a single step, so that the number of a task is its index.
func indexOf(act entry.StartTask) uint32 {
	if act.CallerJobID == "" {
		return act.Ref.Task
	}
	return act.Index
}

func (a *Agent) taskEnded(ctx context.Context, ref entry.TaskRef, o endpoint.Outcome) {
	if o.Reason == reason.EndpointCrashed && a.endpointDraining() {
		o.Reason, o.Detail = reason.EndpointGone, "the endpoint ended while it was draining"
	}
	if o.Reason != 0 {
		a.counters.Failures.Add(o.Reason.String(), 1)
		a.log.Info("task failed", zap.String("team", ref.Team), zap.String("job", ref.Job), zap.Uint32("task", ref.Task),
			zap.Stringer("reason", o.Reason), zap.Bool("not_run", o.NotRun), zap.String("detail", o.Detail), zap.Int64("took_ms", o.Took.Milliseconds()))
	}
	a.pushEvent(ctx, entry.TaskEnded{
		Ref:    ref,
		Result: o.Result,
		Reason: o.Reason,
		Detail: o.Detail,
		NotRun: o.NotRun,
		Took:   o.Took,
	})
}

// endpointDraining reports whether the endpoint has announced that it will end.
func (a *Agent) endpointDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.announcement.Draining
}

func (a *Agent) cancelTask(ref entry.TaskRef) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if r := a.taskRuns[ref]; r != nil {
		r.endBy = a.endByContact(r.silentEntry)
		r.cancel()
	}
}
