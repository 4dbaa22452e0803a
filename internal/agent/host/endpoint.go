package host

import (
	"context"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/agent/endpoint"
	"github.com/savorystair/savorystair/internal/agent/entry"
)

// endpointChanged takes a new announcement, or the loss of the endpoint.
func (a *Agent) endpointChanged(held endpoint.Announcement) {
	a.log.Info("endpoint changed", zap.String("endpoint", held.Address), zap.String("service", held.Service),
		zap.Int("slots", held.Slot()), zap.Bool("draining", held.Draining), zap.Int64("started_unix_ms", held.StartedMS),
		zap.Int("cpu_milli", held.Capacity.CPUMilli), zap.Strings("labels", held.Labels))
	a.mu.Lock()
	other := !held.SameLife(a.held)
	a.held = held
	if other {
		a.replaceRunner(held)
	}
	a.mu.Unlock()
	a.tellEndpoint()
	a.announceNow()
}

// announceNow lets the agent announce itself to all entries at once.
func (a *Agent) announceNow() {
	select {
	case a.announce <- struct{}{}:
	default:
	}
}

// replaceRunner makes the runner for an endpoint, and the care for its lease.
// The caller holds the lock.
func (a *Agent) replaceRunner(held endpoint.Announcement) {
	if a.retire != nil {
		a.retire()
		a.retire = nil
	}
	a.up = a.options.Orders == nil
	if held.Address == "" {
		return
	}
	if a.options.Orders == nil {
		a.runner = endpoint.NewCaller(held)
		return
	}
	leased := &endpoint.Leased{
		Orders: a.options.Orders(held),
		Lease:  a.settings.Lease(),
		Log:    a.log,
		Count:  func(event string) { a.counters.Events.Add(event, 1) },
	}
	a.runner = leased
	ctx, cancel := context.WithCancel(a.ctx)
	a.retire = cancel
	a.runs.Go(func() {
		leased.Serve(ctx, func(up bool) { a.endpointUp(leased, up) })
	})
}

// endpointUp notes whether the endpoint of a runner takes tasks.
func (a *Agent) endpointUp(of endpoint.Runner, up bool) {
	a.mu.Lock()
	current := a.runner == of
	if current {
		a.up = up
	}
	a.mu.Unlock()
	if !current {
		return
	}
	a.log.Info("endpoint reached or lost", zap.Bool("up", up))
	a.tellEndpoint()
	if up {
		a.announceNow()
	}
}

// tellEndpoint tells the control state of the endpoint as it is now.
func (a *Agent) tellEndpoint() {
	a.mu.Lock()
	held, up := a.held, a.up
	a.mu.Unlock()
	a.push(a.ctx, entry.EndpointChanged{Endpoint: entry.Endpoint{
		Slots:    held.Slot(),
		Open:     held.Address != "" && up && !held.Draining,
		Capacity: held.Capacity,
	}})
}
