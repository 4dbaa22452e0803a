package host

import (
	"cmp"
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/agent/endpoint"
	"github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/transport/clock"
)

const bytesPerMB = 1 << 20

// control is the one goroutine that owns the control state.
func (a *Agent) control(ctx context.Context) error {
	state := entry.New(entry.Options{
		Incarnation:  a.incarnation,
		QueuePerSlot: *a.settings.QueuePerSlot,
		Ledger: entry.LedgerOptions{
			Jobs:        a.settings.LedgerJobs,
			ResultBytes: a.settings.LedgerResultMB * bytesPerMB,
			Retention:   a.settings.LedgerRetention(),
		},
		EntrySilence: a.settings.EntrySilence(),
	})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var batch []entry.Event
		select {
		case ev := <-a.events:
			batch = a.drain(append(batch, ev))
		case <-ticker.C:
			batch = append(batch, entry.Tick{})
		case <-ctx.Done():
			return ctx.Err()
		}
		actions := state.Step(a.now(), batch...)
		a.publish(state)
		for _, act := range actions {
			a.do(ctx, act)
		}
	}
}

// drain adds the events that wait already, up to a bound.
func (a *Agent) drain(batch []entry.Event) []entry.Event {
	for len(batch) < maxBatch {
		select {
		case ev := <-a.events:
			batch = append(batch, ev)
		default:
			return batch
		}
	}
	return batch
}

// publish shows other goroutines what they may know of the state.
func (a *Agent) publish(state *entry.State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.idle = state.Idle()
	a.running = state.Running()
}

func (a *Agent) do(ctx context.Context, act entry.Action) {
	switch act := act.(type) {
	case entry.Send:
		a.send(act)
	case entry.Run:
		a.run(ctx, act)
	case entry.Abort:
		a.abort(act.Ref)
	case entry.Refused:
		a.counters.Refusals.Add(act.Reason.String(), 1)
		a.log.Debug("start refused", zap.String("team", act.Ref.Team), zap.String("job", act.Ref.Job),
			zap.Uint32("task", act.Ref.Task), zap.Stringer("reason", act.Reason))
	}
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

// run hands a task to the endpoint on a goroutine of its own.
func (a *Agent) run(ctx context.Context, act entry.Run) {
	runCtx, cancel := context.WithCancel(ctx)
	a.mu.Lock()
	runner := a.runner
	a.aborts[act.Ref] = cancel
	a.mu.Unlock()
	a.counters.Events.Add("tasks_started", 1)
	a.runs.Go(func() {
		defer cancel()
		o := runner.Run(runCtx, endpoint.Task{
			Team:    act.Ref.Team,
			Job:     cmp.Or(act.Name, act.Ref.Job),
			Step:    act.Step,
			Index:   indexOf(act),
			Attempt: act.Attempt,
			Kind:    act.Kind,
			Payload: act.Payload,
			Stalls:  act.Stalls,
			Allowed: func() bool { return a.now() <= act.Until },
		})
		a.mu.Lock()
		delete(a.aborts, act.Ref)
		a.mu.Unlock()
		a.ended(ctx, act.Ref, o)
	})
}

// now is the clock of the control state. It counts time for which the host was
// suspended, so that what an entry said before that is known to be old.
func (a *Agent) now() time.Duration { return clock.Boot() - a.started }

// indexOf returns the place of a task in its step; a job without a name has one
// step, numbered through.
func indexOf(act entry.Run) uint32 {
	if act.Name == "" {
		return act.Ref.Task
	}
	return act.Index
}

func (a *Agent) ended(ctx context.Context, ref entry.Ref, o endpoint.Outcome) {
	if o.Reason != 0 {
		a.counters.Failures.Add(o.Reason.String(), 1)
		a.log.Info("task failed", zap.String("team", ref.Team), zap.String("job", ref.Job), zap.Uint32("task", ref.Task),
			zap.Stringer("reason", o.Reason), zap.Bool("not_run", o.NotRun), zap.String("detail", o.Detail))
	}
	a.push(ctx, entry.TaskEnded{
		Ref:    ref,
		Result: o.Result,
		Reason: o.Reason,
		Detail: o.Detail,
		NotRun: o.NotRun,
		Took:   o.Took,
	})
}

func (a *Agent) abort(ref entry.Ref) {
	a.mu.Lock()
	cancel := a.aborts[ref]
	a.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
