package host

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/transport/pause"
)

// Stop begins a planned stop and waits until every job has its answer or ctx ends.
// The entry refuses new jobs at once or, behind a balancer, after the accept
// period of its adapter. Close has to be called afterwards to end the goroutines.
func (e *Entry) Stop(ctx context.Context) error {
	e.log.Info("entry stopping", zap.Int64("open_jobs", e.openJobs.Load()))
	e.stopping.Store(true)
	began := e.Now()
	if e.settings.Adapter != nil {
		// The balancer sends connections until it has detected that the readiness
		// checks fail.
		if err := pause.For(ctx, e.settings.Adapter.AcceptPeriod()); err != nil {
			return fmt.Errorf("planned stop: %w", err)
		}
	}
	drainCtx, stopDraining := e.drainContext(ctx)
	defer stopDraining()
	e.emit(caller.Stop{EndBy: e.stopEndBy(began)})
	e.callerServer.Drain(drainCtx)
	if err := e.finishJobs(ctx, drainCtx); err != nil {
		return err
	}
	if err := e.callerServer.Shutdown(ctx); err != nil {
		return err
	}
	time.Sleep(peerAnswerGrace)
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	e.directory.Leave(ctx)
	e.log.Info("planned stop of entry completed")
	return nil
}

// finishJobs waits until every job has its answer. Repeatable jobs that have none
// when drainCtx ends are aborted.
func (e *Entry) finishJobs(ctx, drainCtx context.Context) error {
	ticker := time.NewTicker(openJobsPollInterval)
	defer ticker.Stop()
	stopTime := drainCtx.Done()
	for e.openJobs.Load() > 0 || e.tickets.count() > 0 {
		select {
		case <-ticker.C:
		case <-stopTime:
			e.emit(caller.AbortJobs{})
			stopTime = nil
		case <-ctx.Done():
			e.log.Warn("planned stop of entry timed out with open jobs", zap.Int64("open_jobs", e.openJobs.Load()))
			return fmt.Errorf("planned stop: %w", ctx.Err())
		}
	}
	return nil
}

// stopEndBy returns the reading of the entry's clock by which jobs that are
// submitted during a planned stop must end, for a stop that began at another
// reading. Without a balancer, callers go to another entry, and it is 0.
func (e *Entry) stopEndBy(began time.Duration) time.Duration {
	if e.settings.Adapter == nil {
		return 0
	}
	return began + e.settings.StopTimeout() - 2*stopMargin
}

// drainContext returns the context of a planned stop, which ends stopMargin before
// ctx does.
func (e *Entry) drainContext(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-stopMargin))
}
