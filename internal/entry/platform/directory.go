package platform

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/entry/caller"
	"github.com/savorystair/savorystair/internal/gen/tablepb"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/membership/rendezvous"
	"github.com/savorystair/savorystair/internal/transport/pause"
)

const (
	// refreshInterval is how often an entry writes its row and reads those of the
	// others.
	refreshInterval = 5 * time.Second
	// leaveRetryDelay is the delay before a failed write of Leave is repeated.
	leaveRetryDelay = 20 * time.Millisecond
	// refreshRetryDelay is the delay before a failed refresh is retried.
	refreshRetryDelay = 200 * time.Millisecond
	// livenessTimeout is how long an entry counts as live after a change of its
	// row was seen.
	livenessTimeout = 17 * time.Second
	// staleRowAge is how long a row may stay unchanged before other entries remove
	// it.
	staleRowAge = 10 * time.Minute
	// entryKeyPrefix is the prefix of the keys of the entries' rows.
	entryKeyPrefix = "entry/"
)

// Peer describes an entry to other entries.
type Peer struct {
	Incarnation string
	ID          string
	Zone        string
	Region      string
	Address     string
}

// Row returns the entry's directory row, without its heartbeat count.
func (p Peer) Row() *wirepb.EntryRow {
	return &wirepb.EntryRow{
		Incarnation: p.Incarnation,
		Id:          p.ID,
		Zone:        p.Zone,
		Region:      p.Region,
		PeerAddress: p.Address,
	}
}

// Directory finds the other entries by their rows in the table. Whether an entry
// counts as live only decides whether it gets requests; no safety property depends
// on it.
type Directory struct {
	Table Table
	Self  Peer
	Log   *zap.Logger
	Emit  func(caller.Event)
	// Now is the clock that determines whether other entries count as live; nil
	// means time.Now.
	Now func() time.Time
	// OnEntriesChanged, if not nil, is called when there may be entries that were
	// not known before.
	OnEntriesChanged func()

	seedAddresses []string
	mu            sync.Mutex
	peers         map[string]peerRecord
	lastScan      time.Time // time of the last scan of the rows

	writeMu        sync.Mutex // guards the fields below and the writes of this entry's row
	heartbeatCount uint64
	rowVersion     uint64
	leaving        bool
}

// peerRecord is another entry, with the version of its row and the time at which a
// change of the row was last seen.
type peerRecord struct {
	peer       Peer
	rowVersion uint64
	lastChange time.Time
	leaving    bool
}

// Serve updates this entry's row and reads those of the others at regular
// intervals until ctx ends.
func (d *Directory) Serve(ctx context.Context) error {
	for {
		delay := refreshInterval
		if err := d.refresh(ctx); err != nil {
			d.Log.Debug("refreshing the entry directory failed", zap.Error(err))
			delay = refreshRetryDelay
		}
		pause.For(ctx, delay)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// Leave marks this entry's row as leaving, so that the other entries no longer
// count it as live. It repeats the write until it is certain to have been applied
// or ctx ends.
func (d *Directory) Leave(ctx context.Context) {
	d.writeMu.Lock()
	d.leaving = true
	d.writeMu.Unlock()
	for {
		written, err := d.writeRow(ctx)
		if written {
			return
		}
		pause.For(ctx, leaveRetryDelay)
		if ctx.Err() != nil {
			d.Log.Info("marking the directory row as leaving failed", zap.Error(err))
			return
		}
	}
}

// Live returns the other entries that were live at the last scan of the rows,
// ordered by incarnation. While the rows can't be read, no entry is removed: one
// that can't be reached may still be accepting edits.
func (d *Directory) Live() []Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	var live []Peer
	for _, record := range d.peers {
		if !record.leaving && d.lastScan.Sub(record.lastChange) < livenessTimeout {
			live = append(live, record.peer)
		}
	}
	slices.SortFunc(live, func(a, b Peer) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return live
}

// countEntries returns how many entries are live, this one included. It counts ids,
// since a restarted entry also has the rows of its earlier incarnations until
// livenessTimeout has passed.
func (d *Directory) countEntries() int {
	ids := map[string]bool{d.Self.ID: true}
	for _, p := range d.Live() {
		ids[p.ID] = true
	}
	return len(ids)
}

// SetSeeds sets addresses at which other entries can be reached even if the table
// can't be read.
func (d *Directory) SetSeeds(addresses []string) {
	d.mu.Lock()
	d.seedAddresses = addresses
	d.mu.Unlock()
	d.notifyEntriesChanged()
}

// AddAnnounced adds an entry that announced itself to this one. The next scan of
// the rows removes it again if it has no row.
func (d *Directory) AddAnnounced(row *wirepb.EntryRow) {
	if row.Incarnation == d.Self.Incarnation {
		return
	}
	d.mu.Lock()
	_, known := d.peers[row.Incarnation]
	if !known {
		if d.peers == nil {
			d.peers = map[string]peerRecord{}
		}
		d.peers[row.Incarnation] = peerRecord{peer: peerFromRow(row), lastChange: d.lastScan}
	}
	d.mu.Unlock()
	if !known {
		d.Log.Info("another entry announced itself", zap.String("entry", row.Incarnation), zap.String("address", row.PeerAddress))
		d.notifyEntriesChanged()
	}
}

// notifyEntriesChanged calls OnEntriesChanged if it is set.
func (d *Directory) notifyEntriesChanged() {
	if d.OnEntriesChanged != nil {
		d.OnEntriesChanged()
	}
}

// Reachable returns the live entries, and the seeds that are not the address of a
// live entry. The Peer of a seed has an address only.
func (d *Directory) Reachable() []Peer {
	live := d.Live()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, address := range d.seedAddresses {
		known := slices.ContainsFunc(live, func(p Peer) bool { return p.Address == address })
		if !known && address != d.Self.Address {
			live = append(live, Peer{Address: address})
		}
	}
	return live
}

// RegionEntries returns the live entries of this region, this one included. An
// entry that was restarted at the same address is listed once.
func (d *Directory) RegionEntries() []Peer {
	entries := []Peer{d.Self}
	for _, p := range d.Live() {
		known := slices.ContainsFunc(entries, func(e Peer) bool { return e.Address == p.Address })
		if p.Region == d.Self.Region && !known {
			entries = append(entries, p)
		}
	}
	return entries
}

// EntryAddresses returns the addresses and zones of the live entries of this
// region, as agents receive them.
func (d *Directory) EntryAddresses() []*wirepb.EntryAddress {
	var all []*wirepb.EntryAddress
	for _, p := range d.RegionEntries() {
		all = append(all, &wirepb.EntryAddress{Address: p.Address, Zone: p.Zone})
	}
	return all
}

// ReadEntries reads the entries that have a row and are not leaving, live or not. Rows
// that can't be decoded, such as ones of other writers, name no entry.
func ReadEntries(ctx context.Context, t Table) ([]rendezvous.Entry, error) {
	found, err := scanRows(ctx, t, entryKeyPrefix)
	if err != nil {
		return nil, err
	}
	var entries []rendezvous.Entry
	for key := range found {
		var row wirepb.EntryRow
		if _, err := found.decode(key, &row); err == nil && row.PeerAddress != "" && !row.Leaving {
			entries = append(entries, rendezvous.Entry{Address: row.PeerAddress, Zone: row.Zone})
		}
	}
	return entries, nil
}

// Find returns the entry with the given incarnation, from its row if it isn't known
// yet.
// It returns false if the entry has no row, which means that it has ended.
func (d *Directory) Find(ctx context.Context, incarnation string) (peer Peer, ok bool, err error) {
	d.mu.Lock()
	record, ok := d.peers[incarnation]
	d.mu.Unlock()
	if ok {
		return record.peer, true, nil
	}
	found, err := readRows(ctx, d.Table, entryKeyPrefix+incarnation)
	if err != nil {
		return Peer{}, false, err
	}
	var row wirepb.EntryRow
	version, err := found.decode(entryKeyPrefix+incarnation, &row)
	if err != nil || version == 0 {
		return Peer{}, false, err
	}
	return peerFromRow(&row), true, nil
}

func (d *Directory) now() time.Time {
	if d.Now == nil {
		return time.Now()
	}
	return d.Now()
}

// refresh writes this entry's row, reads those of the others and removes stale
// ones.
func (d *Directory) refresh(ctx context.Context) error {
	if _, err := d.writeRow(ctx); err != nil {
		return err
	}
	found, err := scanRows(ctx, d.Table, entryKeyPrefix)
	if err != nil {
		return err
	}
	d.applyRows(found)
	d.notifyEntriesChanged()
	d.Emit(caller.EntryCount{Entries: d.countEntries()})
	d.removeStaleRows(ctx)
	return nil
}

// writeRow writes this entry's row with the next heartbeat count, and reports
// whether it was written. Without an error it is not written if the known version
// of the row was wrong; the next write uses the right one.
func (d *Directory) writeRow(ctx context.Context) (written bool, err error) {
	d.writeMu.Lock()
	defer d.writeMu.Unlock()
	d.heartbeatCount++
	self := d.Self.Row()
	self.Beat = d.heartbeatCount
	self.Leaving = d.leaving
	write, err := encodeWrite(entryKeyPrefix+d.Self.Incarnation, d.rowVersion, self)
	if err != nil {
		return false, err
	}
	resp, err := d.Table.Commit(ctx, []*tablepb.Write{write})
	if err != nil {
		return false, err
	}
	if resp.Committed {
		d.rowVersion = resp.Versions[0]
		return true, nil
	}
	// An earlier write was applied although its response was lost, or another
	// entry removed the row.
	d.rowVersion = resp.Conflicts[0].Version
	return false, nil
}

// applyRows replaces the known entries with those found by a scan.
func (d *Directory) applyRows(found rowsByKey) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	known := map[string]peerRecord{}
	for key := range found {
		var row wirepb.EntryRow
		version, err := found.decode(key, &row)
		if err != nil || strings.TrimPrefix(key, entryKeyPrefix) == d.Self.Incarnation {
			continue
		}
		record := peerRecord{peer: peerFromRow(&row), rowVersion: version, lastChange: now, leaving: row.Leaving}
		if old, ok := d.peers[row.Incarnation]; ok && old.rowVersion == version {
			record.lastChange = old.lastChange
		}
		known[row.Incarnation] = record
	}
	d.peers = known
	d.lastScan = now
}

// removeStaleRows removes the rows of other entries that have not changed for
// staleRowAge.
func (d *Directory) removeStaleRows(ctx context.Context) {
	d.mu.Lock()
	var stale []*tablepb.Write
	for incarnation, record := range d.peers {
		if d.lastScan.Sub(record.lastChange) > staleRowAge {
			stale = append(stale, &tablepb.Write{Key: entryKeyPrefix + incarnation, IfVersion: record.rowVersion, Remove: true})
		}
	}
	d.mu.Unlock()
	if len(stale) == 0 {
		return
	}
	if _, err := d.Table.Commit(ctx, stale); err != nil {
		d.Log.Info("removing stale entry rows failed", zap.Error(err))
	}
}

func peerFromRow(row *wirepb.EntryRow) Peer {
	return Peer{
		Incarnation: row.Incarnation,
		ID:          row.Id,
		Zone:        row.Zone,
		Region:      row.Region,
		Address:     row.PeerAddress,
	}
}
