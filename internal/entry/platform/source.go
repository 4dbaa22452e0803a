package platform

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/transport/pause"
)

const (
	// sourceRetry is the delay before a source that failed is asked again.
	sourceRetry = 100 * time.Millisecond
	// peersInterval is how often the other entries are asked while the source
	// does not answer.
	peersInterval = 500 * time.Millisecond
	// vouchInterval is how often the entry vouches for a document of a source.
	// Agents take a proof of 2 s.
	vouchInterval = 300 * time.Millisecond
)

// Source is a document that operators keep outside the table's own rows.
type Source interface {
	// Read returns the whole document, as sections that all carry its version.
	Read(ctx context.Context) (version uint64, sections []*wirepb.SectionRow, err error)
	// Wait returns once there may be a newer version, or after a while.
	Wait(ctx context.Context, version uint64) (changed bool, err error)
}

// follow keeps the document of a source current until ctx ends. The entry
// vouches for the newest document that it has heard of from the source or from
// any other entry: operators are told that a change is accepted by the source
// itself, so that silence of an entry says nothing about the document.
func (c *Config) follow(ctx context.Context) error {
	var vouching sync.WaitGroup
	defer vouching.Wait()
	vouching.Go(func() { c.vouch(ctx) })
	var asked time.Time
	version := uint64(0)
	lost := false
	for ctx.Err() == nil {
		next, err := c.followOnce(ctx, version)
		if err == nil {
			version = next
			c.Health.Worked()
			if lost {
				lost = false
				c.Log.Info("configuration source regained", zap.Uint64("version", version))
			}
			continue
		}
		if ctx.Err() != nil {
			break
		}
		c.Health.Failed()
		if !lost {
			lost = true
			c.Log.Warn("configuration source lost", zap.Uint64("version", version), zap.Error(err))
		}
		if time.Since(asked) > peersInterval {
			asked = time.Now()
			c.borrow(ctx)
		}
		pause.For(ctx, sourceRetry)
	}
	return ctx.Err()
}

// followOnce reads the document if it may have changed since version, and
// returns the version that was read.
func (c *Config) followOnce(ctx context.Context, version uint64) (uint64, error) {
	if version > 0 {
		changed, err := c.Source.Wait(ctx, version)
		if err != nil || !changed {
			return version, err
		}
	}
	next, sections, err := c.Source.Read(ctx)
	if err != nil {
		return version, err
	}
	if next < version {
		c.Log.Warn("configuration source answered with an older version", zap.Uint64("version", next), zap.Uint64("have", version))
		return version, nil
	}
	c.apply(sections)
	c.markLoaded()
	return next, nil
}

// borrow takes the document from other entries while the source is silent.
func (c *Config) borrow(ctx context.Context) {
	newest, sections, _ := c.Peers.Sync(ctx, c.Document().Version())
	if newest == 0 {
		return
	}
	before := c.Document().Version()
	c.apply(sections)
	c.markLoaded()
	if newest > before {
		c.Log.Info("configuration taken from another entry", zap.Uint64("version", newest), zap.Uint64("before", before))
	}
}

func (c *Config) markLoaded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loaded = true
}

func (c *Config) vouch(ctx context.Context) {
	for ctx.Err() == nil {
		if c.isLoaded() {
			c.Emit(caller.ViewConfirmed{At: c.Now()})
		}
		pause.For(ctx, vouchInterval)
	}
}
