package platform

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/settings/document"
)

const (
	// pollInterval is how often an entry reads the version row.
	pollInterval = 300 * time.Millisecond
	// maxPolls bounds the reads of the version row in flight.
	maxPolls = 4
	// askPeersAfter is how long the table service may be silent before the
	// other entries are asked for their version.
	askPeersAfter = 900 * time.Millisecond
	// maxLog is how many versions the log row names.
	maxLog = 64
)

// Keys of the configuration rows.
const (
	versionKey    = "config/version"
	logKey        = "config/log"
	sectionPrefix = "config/section/"
	historyPrefix = "config/history/"
)

// PeerViews asks every other live entry for its configuration.
type PeerViews interface {
	// Sync returns the sections newer than version that the others hold.
	// All says that no live entry failed to answer.
	Sync(ctx context.Context, version uint64) (newest uint64, sections []*wirepb.SectionRow, all bool)
}

// Config keeps the configuration document current. Its version only rises.
type Config struct {
	Table  Table
	Health *Health
	Peers  PeerViews
	Log    *zap.Logger
	Emit   func(caller.Event)
	// Now is the entry's monotonic clock.
	Now func() time.Duration
	// Source is where operators keep the document if it isn't in the table's
	// own rows; nil means that it is there.
	Source Source

	mu       sync.Mutex
	doc      document.Document
	sections map[string]*wirepb.SectionRow
	loaded   bool
	answered time.Duration // when the table service last answered

	refreshing sync.Mutex
}

// Serve polls the version row until ctx ends. Every proof that the document is
// current counts from the start of the read, so that a slow answer proves
// nothing recent.
func (c *Config) Serve(ctx context.Context) error {
	if c.Source != nil {
		return c.follow(ctx)
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	polls := make(chan struct{}, maxPolls)
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		select {
		case polls <- struct{}{}:
			wait.Go(func() {
				defer func() { <-polls }()
				c.poll(ctx)
			})
		default:
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Document returns the document in force at this entry.
func (c *Config) Document() document.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.doc
}

// Since returns the version in force and the sections changed after version.
func (c *Config) Since(version uint64) (uint64, []*wirepb.SectionRow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var changed []*wirepb.SectionRow
	for _, s := range c.sections {
		if s.DocumentVersion > version {
			changed = append(changed, s)
		}
	}
	return c.doc.Version(), changed
}

// Refresh brings the document to the newest version now.
func (c *Config) Refresh(ctx context.Context) { c.poll(ctx) }

// poll reads the version row once. When the table service stays silent, the
// other entries can vouch for the document: an edit is in force at the entry
// that accepted it before the operator hears of it.
func (c *Config) poll(ctx context.Context) {
	began := c.Now()
	err := c.pollTable(ctx)
	if err == nil {
		c.answeredAt(began)
		c.Health.Worked()
		c.Emit(caller.ViewConfirmed{At: began})
		return
	}
	if ctx.Err() != nil {
		return
	}
	c.Health.Failed()
	c.Log.Debug("configuration not read", zap.Error(err))
	if c.silentFor() > askPeersAfter && c.isLoaded() {
		c.askPeers(ctx)
	}
}

func (c *Config) pollTable(ctx context.Context) error {
	found, err := readRows(ctx, c.Table, versionKey)
	if err != nil {
		return err
	}
	var row wirepb.VersionRow
	if _, err := found.decode(versionKey, &row); err != nil {
		return err
	}
	if c.isLoaded() && row.Version <= c.Document().Version() {
		return nil
	}
	return c.refresh(ctx)
}

func (c *Config) askPeers(ctx context.Context) {
	began := c.Now()
	_, sections, all := c.Peers.Sync(ctx, c.Document().Version())
	c.apply(sections)
	if all {
		c.Emit(caller.ViewConfirmed{At: began})
	}
}

// refresh reads the changed sections, until a read shows them all at one
// version.
func (c *Config) refresh(ctx context.Context) error {
	c.refreshing.Lock()
	defer c.refreshing.Unlock()
	keys := []string{versionKey, logKey}
	var want uint64
	for ctx.Err() == nil {
		found, err := readRows(ctx, c.Table, keys...)
		if err != nil {
			return err
		}
		var version wirepb.VersionRow
		var log wirepb.LogRow
		if _, err := found.decode(versionKey, &version); err != nil {
			return err
		}
		if _, err := found.decode(logKey, &log); err != nil {
			return err
		}
		if version.Version == want {
			return c.load(found, version.Version)
		}
		want = version.Version
		names, whole := changedSince(&log, c.Document().Version(), want)
		if !whole || !c.isLoaded() {
			return c.loadAll(ctx)
		}
		keys = append([]string{versionKey, logKey}, names...)
	}
	return ctx.Err()
}

// changedSince returns the keys of the sections changed after version have,
// and whether the log reaches back that far.
func changedSince(log *wirepb.LogRow, have, want uint64) (keys []string, whole bool) {
	next := have + 1
	for _, r := range log.Records {
		if r.Version < next {
			continue
		}
		if r.Version > next {
			return nil, false
		}
		next++
		if key := sectionPrefix + r.Section; !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	return keys, next > want
}

// loadAll reads every section.
func (c *Config) loadAll(ctx context.Context) error {
	found, err := scanRows(ctx, c.Table, "config/")
	if err != nil {
		return err
	}
	var version wirepb.VersionRow
	if _, err := found.decode(versionKey, &version); err != nil {
		return err
	}
	return c.load(found, version.Version)
}

// load takes the sections among rows that were read at one version.
func (c *Config) load(found rows, version uint64) error {
	var sections []*wirepb.SectionRow
	for key := range found {
		if len(key) <= len(sectionPrefix) || key[:len(sectionPrefix)] != sectionPrefix {
			continue
		}
		var s wirepb.SectionRow
		if _, err := found.decode(key, &s); err != nil {
			return err
		}
		sections = append(sections, &s)
	}
	c.mu.Lock()
	c.loaded = true
	c.mu.Unlock()
	c.apply(sections)
	if have := c.Document().Version(); have < version {
		return fmt.Errorf("configuration is at version %d after reading version %d", have, version)
	}
	return nil
}

// apply takes sections that are newer than those held.
func (c *Config) apply(sections []*wirepb.SectionRow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	doc := c.doc
	for _, s := range sections {
		if held := c.sections[s.Name]; held != nil && held.Version >= s.Version {
			continue
		}
		next, err := doc.WithSection(s.Name, s.Body)
		if err != nil {
			// Sections are checked before they are written, so that this is
			// one that a newer release of the program knows.
			c.Log.Error("configuration section not understood", zap.String("section", s.Name), zap.Error(err))
			next = doc
		}
		if c.sections == nil {
			c.sections = map[string]*wirepb.SectionRow{}
		}
		c.sections[s.Name] = s
		doc = next.WithVersion(max(doc.Version(), s.DocumentVersion))
	}
	if doc.Version() == c.doc.Version() {
		return
	}
	c.doc = doc
	c.Log.Info("configuration in force", zap.Uint64("version", doc.Version()), zap.Strings("zones_out", doc.ZonesOut()))
	c.Emit(caller.Configured{Document: doc})
}

// Loaded reports whether the entry has a document.
func (c *Config) Loaded() bool { return c.isLoaded() }

func (c *Config) isLoaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded
}

func (c *Config) answeredAt(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = max(c.answered, at)
}

func (c *Config) silentFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Now() - c.answered
}
