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
	// sourceRetryDelay is the delay before a failed read of the source is
	// retried.
	sourceRetryDelay = 100 * time.Millisecond
	// peerSyncInterval is the minimum time between two requests for the document
	// to the other entries while the source can't be read.
	peerSyncInterval = 500 * time.Millisecond
	// confirmInterval is how often the entry confirms the document of a source.
	// Agents accept a confirmation for 2 s.
	confirmInterval = 300 * time.Millisecond
)

// Source is a configuration document that operators keep outside the
// configuration rows of the table.
type Source interface {
	// Read returns the whole document, as sections that all carry its version.
	Read(ctx context.Context) (version uint64, sections []*wirepb.SectionRow, err error)
	// Wait returns once there may be a newer version than the given one, or after
	// a time limit of its own.
	Wait(ctx context.Context, version uint64) (changed bool, err error)
}

// followSource keeps the document of a source current until ctx ends. The entry
// confirms the newest document that it received from the source or from another
// entry, also while the source can't be read: the source itself acknowledges a
// change to the operator, so an entry that does not respond can't have
// acknowledged a newer one.
func (c *Config) followSource(ctx context.Context) error {
	var confirming sync.WaitGroup
	defer confirming.Wait()
	confirming.Go(func() { c.confirmDocument(ctx) })
	var lastPeerSync time.Time
	version := uint64(0)
	failing := false
	for ctx.Err() == nil {
		next, err := c.readSource(ctx, version)
		if err == nil {
			version = next
			c.Health.RecordSuccess()
			if failing {
				failing = false
				c.Log.Info("configuration source is readable again", zap.Uint64("version", version))
			}
			continue
		}
		if ctx.Err() != nil {
			break
		}
		c.Health.RecordFailure()
		if !failing {
			failing = true
			c.Log.Warn("reading the configuration source failed", zap.Uint64("version", version), zap.Error(err))
		}
		if time.Since(lastPeerSync) > peerSyncInterval {
			lastPeerSync = time.Now()
			c.syncFromPeers(ctx)
		}
		pause.For(ctx, sourceRetryDelay)
	}
	return ctx.Err()
}

// readSource waits for a change after version, reads the document and applies
// it. It returns the version that was read, or the given one if there was no
// change. If version is 0, it reads without waiting.
func (c *Config) readSource(ctx context.Context, version uint64) (uint64, error) {
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
		c.Log.Warn("configuration source returned an older version", zap.Uint64("version", next), zap.Uint64("have", version))
		return version, nil
	}
	c.applySections(sections)
	c.markLoaded()
	return next, nil
}

// syncFromPeers applies the newest document of the other entries. It is used while
// the source can't be read.
func (c *Config) syncFromPeers(ctx context.Context) {
	newest, sections, _ := c.Peers.Sync(ctx, c.Document().Version())
	if newest == 0 {
		return
	}
	before := c.Document().Version()
	c.applySections(sections)
	c.markLoaded()
	if newest > before {
		c.Log.Info("newer configuration received from another entry", zap.Uint64("version", newest), zap.Uint64("before", before))
	}
}

func (c *Config) markLoaded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loaded = true
}

// confirmDocument confirms at regular intervals that the document is current, once
// there is one, until ctx ends.
func (c *Config) confirmDocument(ctx context.Context) {
	for ctx.Err() == nil {
		if c.isLoaded() {
			c.Emit(caller.ViewConfirmed{At: c.Now()})
		}
		pause.For(ctx, confirmInterval)
	}
}
