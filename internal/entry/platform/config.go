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
	pollInterval       = 300 * time.Millisecond
	maxConcurrentPolls = 4
	// peerFallbackDelay is how long reads of the table have to fail before the
	// other entries are asked for their version.
	peerFallbackDelay = 900 * time.Millisecond
	// maxLogRecords is how many document versions the log row lists.
	maxLogRecords = 64
)

// Keys of the configuration rows.
const (
	versionKey       = "config/version"
	logKey           = "config/log"
	sectionKeyPrefix = "config/section/"
	historyKeyPrefix = "config/history/"
)

// PeerSyncer reads the configuration of the other live entries.
type PeerSyncer interface {
	// Sync returns the newest document version of the other entries, and the
	// sections that they changed after version. The result all is false if any
	// live entry did not respond.
	Sync(ctx context.Context, version uint64) (newest uint64, sections []*wirepb.SectionRow, allAnswered bool)
}

// Config keeps an entry's copy of the configuration document current and writes
// edits to the table. The document's version never decreases.
type Config struct {
	Table  Table
	Health *Health
	Peers  PeerSyncer
	Log    *zap.Logger
	Emit   func(caller.Event)
	// Now is the entry's monotonic clock.
	Now func() time.Duration
	// Source is where operators keep the document; nil means the configuration
	// rows of the table.
	Source Source

	mu            sync.Mutex
	doc           document.Document
	sections      map[string]*wirepb.SectionRow
	loaded        bool
	lastTableRead time.Duration // start of the last successful read of the table

	refreshMu sync.Mutex // serializes readChanges
}

// Serve polls the version row, or follows the source, until ctx ends. A read
// confirms that the document was current when the read started, not when it ended,
// since the response to a slow read may be out of date on arrival.
func (c *Config) Serve(ctx context.Context) error {
	if c.Source != nil {
		return c.followSource(ctx)
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	pollSlots := make(chan struct{}, maxConcurrentPolls)
	var wait sync.WaitGroup
	defer wait.Wait()
	for {
		select {
		case pollSlots <- struct{}{}:
			wait.Go(func() {
				defer func() { <-pollSlots }()
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

// Document returns the document that is in force at this entry.
func (c *Config) Document() document.Document {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.doc
}

// SectionsSince returns the version of the document in force and the sections that
// changed after the given version.
func (c *Config) SectionsSince(version uint64) (uint64, []*wirepb.SectionRow) {
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

// Refresh reads the newest version of the document now instead of at the next
// poll.
func (c *Config) Refresh(ctx context.Context) { c.poll(ctx) }

// poll reads the version row once. If reads have failed for peerFallbackDelay, the
// other entries can confirm the document instead: an edit is in force at the entry
// that accepted it before the operator gets the response.
func (c *Config) poll(ctx context.Context) {
	start := c.Now()
	err := c.pollTable(ctx)
	if err == nil {
		c.recordTableRead(start)
		c.Health.RecordSuccess()
		c.Emit(caller.ViewConfirmed{At: start})
		return
	}
	if ctx.Err() != nil {
		return
	}
	c.Health.RecordFailure()
	c.Log.Debug("reading the configuration failed", zap.Error(err))
	if c.timeSinceTableRead() > peerFallbackDelay && c.isLoaded() {
		c.confirmWithPeers(ctx)
	}
}

// pollTable reads the version row, and the changed sections if the version is
// newer than the document's.
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
	return c.readChanges(ctx)
}

// confirmWithPeers applies the sections that other entries have changed, and
// confirms the document if all live entries responded.
func (c *Config) confirmWithPeers(ctx context.Context) {
	start := c.Now()
	_, sections, all := c.Peers.Sync(ctx, c.Document().Version())
	c.applySections(sections)
	if all {
		c.Emit(caller.ViewConfirmed{At: start})
	}
}

// readChanges reads and applies the sections that changed after the document's
// version, which the log row lists. It repeats the read until the version row is
// the same as in the previous read, so that all sections belong to one version. If
// the log doesn't reach back to the document's version, it reads every section.
func (c *Config) readChanges(ctx context.Context) error {
	c.refreshMu.Lock()
	defer c.refreshMu.Unlock()
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
			return c.applyRows(found, version.Version)
		}
		want = version.Version
		sectionKeys, complete := changedSectionKeys(&log, c.Document().Version(), want)
		if !complete || !c.isLoaded() {
			return c.readAllSections(ctx)
		}
		keys = append([]string{versionKey, logKey}, sectionKeys...)
	}
	return ctx.Err()
}

// changedSectionKeys returns the keys of the sections that changed after version
// have, and whether the log lists all versions from there up to want.
func changedSectionKeys(log *wirepb.LogRow, have, want uint64) (keys []string, complete bool) {
	next := have + 1
	for _, r := range log.Records {
		if r.Version < next {
			continue
		}
		if r.Version > next {
			return nil, false
		}
		next++
		if key := sectionKeyPrefix + r.Section; !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	return keys, next > want
}

// readAllSections reads and applies every section.
func (c *Config) readAllSections(ctx context.Context) error {
	found, err := scanRows(ctx, c.Table, "config/")
	if err != nil {
		return err
	}
	var version wirepb.VersionRow
	if _, err := found.decode(versionKey, &version); err != nil {
		return err
	}
	return c.applyRows(found, version.Version)
}

// applyRows applies the sections among rows that were read at one version of the
// document.
func (c *Config) applyRows(found rowsByKey, version uint64) error {
	var sections []*wirepb.SectionRow
	for key := range found {
		if len(key) <= len(sectionKeyPrefix) || key[:len(sectionKeyPrefix)] != sectionKeyPrefix {
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
	c.applySections(sections)
	if have := c.Document().Version(); have < version {
		return fmt.Errorf("newest section has document version %d, but the version row has version %d", have, version)
	}
	return nil
}

// applySections applies those sections that are newer than the entry's own.
func (c *Config) applySections(sections []*wirepb.SectionRow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	doc := c.doc
	for _, s := range sections {
		if current := c.sections[s.Name]; current != nil && current.Version >= s.Version {
			continue
		}
		next, err := doc.WithSection(s.Name, s.Body)
		if err != nil {
			// Sections are checked before they are written, so this one was
			// written by a newer release of the program. The entry keeps it
			// without applying it.
			c.Log.Error("parsing a configuration section failed", zap.String("section", s.Name), zap.Error(err))
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
	c.Log.Info("applied a new configuration version", zap.Uint64("version", doc.Version()), zap.Strings("zones_out", doc.ZonesOutOfService()))
	c.Emit(caller.ConfigurationLoaded{Document: doc})
}

// Loaded reports whether the entry has a document.
func (c *Config) Loaded() bool { return c.isLoaded() }

func (c *Config) isLoaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded
}

func (c *Config) recordTableRead(at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastTableRead = max(c.lastTableRead, at)
}

func (c *Config) timeSinceTableRead() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Now() - c.lastTableRead
}
