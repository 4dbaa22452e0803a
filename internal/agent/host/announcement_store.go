package host

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/agent/endpoint"
	"github.com/savorystair/savorystair/internal/transport/pause"
)

// AnnouncementStore stores the endpoint's announcement across restarts of the
// agent.
type AnnouncementStore interface {
	// Load returns the stored announcement, if there is one.
	Load(ctx context.Context) (endpoint.Announcement, bool, error)
	// Save replaces the stored announcement.
	Save(ctx context.Context, a endpoint.Announcement) error
}

// saveInterval is the interval at which the agent checks for a new announcement
// to store, and repeats a failed write. It need not be short, since the stored
// announcement is used only at the next restart.
const saveInterval = time.Second

// persistAnnouncement restores the stored announcement, so that the agent uses
// its endpoint before the next announcement arrives. The endpoint is used only if its
// first listing shows the incarnation that was stored; another one may have other
// labels and resources, and has to announce itself first. The agent then stores each
// announcement that differs from the one before.
func (a *Agent) persistAnnouncement(ctx context.Context) error {
	if a.options.AnnouncementStore == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	stored, found, err := a.options.AnnouncementStore.Load(ctx)
	if err != nil {
		a.log.Info("load of stored endpoint announcement failed", zap.Error(err))
	}
	if found {
		a.log.Info("stored endpoint announcement loaded", zap.String("endpoint", stored.Address), zap.String("endpoint_id", stored.ID))
		a.registry.Restore(stored)
	}
	for ctx.Err() == nil {
		announced := a.currentAnnouncement()
		if announced.Address != "" && !announced.SameState(stored) {
			if err := a.options.AnnouncementStore.Save(ctx, announced); err != nil {
				a.log.Info("save of endpoint announcement failed", zap.Error(err))
			} else {
				stored = announced
			}
		}
		pause.For(ctx, saveInterval)
	}
	return ctx.Err()
}

func (a *Agent) currentAnnouncement() endpoint.Announcement {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.announcement
}
