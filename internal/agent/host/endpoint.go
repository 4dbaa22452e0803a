package host

import (
	"context"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/agent/endpoint"
	"github.com/savorystair/savorystair/internal/agent/entry"
)

// endpointChanged handles a change of the endpoint's announcement. The new one
// has no address if the endpoint left or the announcement expired.
func (a *Agent) endpointChanged(announcement endpoint.Announcement) {
	a.log.Info("endpoint changed", zap.String("endpoint", announcement.Address), zap.String("service", announcement.Service),
		zap.Int("slots", announcement.MaxConcurrentTasks()), zap.Bool("draining", announcement.Draining), zap.Int64("started_unix_ms", announcement.StartedMS),
		zap.Int("cpu_milli", announcement.Capacity.CPUMilli), zap.Strings("labels", announcement.Labels))
	a.mu.Lock()
	previous := a.announcement
	a.announcement = announcement
	if !announcement.SameIncarnation(previous) || !announcement.RunsSameTasks(previous) {
		a.endpointNumber++
	}
	if !announcement.SameIncarnation(previous) {
		a.replaceRunner(previous, announcement)
	}
	a.mu.Unlock()
	a.pushEndpointState()
	a.wakeAnnouncer()
}

// wakeMembership makes the announcer check for due calls and released links.
func (a *Agent) wakeMembership() {
	select {
	case a.membershipWake <- struct{}{}:
	default:
	}
}

// wakeAnnouncer makes the announcer contact all selected entries at once.
func (a *Agent) wakeAnnouncer() {
	select {
	case a.announceWake <- struct{}{}:
	default:
	}
}

// replaceRunner creates the runner for a newly announced endpoint; for a leased
// one it also starts renewing the lease. An endpoint that was replaced without
// having left or announced that it drains has crashed. The caller holds the lock.
func (a *Agent) replaceRunner(previous, announcement endpoint.Announcement) {
	if a.stopLease != nil {
		if announcement.Address != "" && !previous.Draining {
			a.stopLease(endpoint.ErrRestarted)
		} else {
			a.stopLease(nil)
		}
		a.stopLease = nil
	}
	a.endpointReady = a.options.NewRunController == nil
	if announcement.Address == "" {
		return
	}
	if a.options.NewRunController == nil {
		a.runner = endpoint.NewSyncRunner(announcement)
		return
	}
	if !announcement.SameIncarnation(a.confirmed) {
		a.confirmed, a.controller = announcement, a.options.NewRunController(announcement)
	}
	leased := &endpoint.LeasedRunner{
		Controller:    a.controller,
		Announced:     announcement.Incarnation(),
		OnRestart:     func() { a.registry.RecordReplaced(announcement) },
		LeaseDuration: a.settings.Lease(),
		MaxLease:      a.settings.MaxLease(),
		Log:           a.log,
		CountEvent:    func(event string) { a.counters.Events.Add(event, 1) },
	}
	a.runner = leased
	ctx, cancel := context.WithCancelCause(a.ctx)
	a.stopLease = cancel
	a.background.Go(func() {
		leased.Serve(ctx, func(ready bool) { a.setEndpointReady(leased, ready) })
	})
}

// confirmEndpoint lists the runs of an announced endpoint until a listing confirms or
// refutes the announcement, or ctx ends. It returns at once.
func (a *Agent) confirmEndpoint(ctx context.Context, announced endpoint.Announcement) {
	c := endpoint.Confirmation{Controller: a.options.NewRunController(announced), Announced: announced}
	a.mu.Lock()
	if leased, ok := a.runner.(*endpoint.LeasedRunner); ok && a.announcement.Address == announced.Address {
		c.Fence = leased.Fence()
	}
	a.mu.Unlock()
	a.background.Go(func() {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(a.ctx, cancel)()
		err := c.Await(ctx)
		switch {
		case err == nil:
			a.mu.Lock()
			a.confirmed, a.controller = announced, c.Controller
			a.mu.Unlock()
			a.registry.Confirmed(announced)
		case a.ctx.Err() == nil:
			a.registry.Refute(announced, err)
		}
	})
}

// announcementIgnored counts an announcement that doesn't count for the endpoint, and
// logs the first one of each writer.
func (a *Agent) announcementIgnored(i endpoint.Ignored) {
	a.counters.Events.Add("announcements_ignored", 1)
	if i.Repeated {
		return
	}
	a.ignoredLog.Do(func() {
		a.log.Info("endpoint announcement ignored", zap.Stringer("cause", i.Cause), zap.String("endpoint_id", i.Announcement.ID),
			zap.String("endpoint", i.Announcement.Address), zap.String("service", i.Announcement.Service),
			zap.Int64("started_unix_ms", i.Announcement.StartedMS), zap.Int64("sequence", i.Announcement.Sequence),
			zap.String("current_id", i.Current.ID), zap.String("current_endpoint", i.Current.Address),
			zap.Int64("current_started_unix_ms", i.Current.StartedMS), zap.Int64("current_sequence", i.Current.Sequence), zap.Error(i.Err))
	})
}

// setEndpointReady records whether the endpoint of runner is ready for tasks,
// unless the runner was replaced.
func (a *Agent) setEndpointReady(runner endpoint.Runner, ready bool) {
	a.mu.Lock()
	current := a.runner == runner
	if current {
		a.endpointReady = ready
	}
	a.mu.Unlock()
	if !current {
		return
	}
	a.log.Info("endpoint readiness changed", zap.Bool("up", ready))
	a.pushEndpointState()
	if ready {
		a.wakeAnnouncer()
	}
}

// pushEndpointState sends the current state of the endpoint to the control
// state. The registry and the runner call it at the same time; the state that was
// read last must also be sent last.
func (a *Agent) pushEndpointState() {
	a.pushMu.Lock()
	defer a.pushMu.Unlock()
	a.mu.Lock()
	announcement, number, ready := a.announcement, a.endpointNumber, a.endpointReady
	a.mu.Unlock()
	a.pushEvent(a.ctx, entry.EndpointChanged{Endpoint: entry.Endpoint{
		Number:       number,
		Slots:        announcement.MaxConcurrentTasks(),
		AcceptsTasks: announcement.Address != "" && ready && !announcement.Draining,
		Capacity:     announcement.Capacity,
	}})
}
