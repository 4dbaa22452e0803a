package host

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/agent/endpoint"
	"github.com/savorystair/savorystair/internal/transport/pause"
)

// Memory keeps the endpoint's announcement where it outlasts the agent.
type Memory interface {
	// Recall returns the announcement that was remembered, if any was.
	Recall(ctx context.Context) (endpoint.Announcement, bool, error)
	// Remember replaces it.
	Remember(ctx context.Context, a endpoint.Announcement) error
}

// rememberRetry is the delay before an announcement is written again. It is
// needed at the next restart only.
const rememberRetry = time.Second

// remember takes the endpoint for what it was before the agent's restart, which
// its first listing confirms, and then writes what it announces.
func (a *Agent) remember(ctx context.Context) error {
	if a.options.Memory == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	known, found, err := a.options.Memory.Recall(ctx)
	if err != nil {
		a.log.Info("endpoint not recalled", zap.Error(err))
	}
	if found {
		a.log.Info("endpoint recalled", zap.String("endpoint", known.Address), zap.String("endpoint_id", known.ID))
		a.registry.Recall(known)
	}
	for ctx.Err() == nil {
		now := a.announced()
		if now.Address != "" && !now.SameLife(known) {
			if err := a.options.Memory.Remember(ctx, now); err != nil {
				a.log.Info("endpoint not remembered", zap.Error(err))
			} else {
				known = now
			}
		}
		pause.For(ctx, rememberRetry)
	}
	return ctx.Err()
}

func (a *Agent) announced() endpoint.Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}
