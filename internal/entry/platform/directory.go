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
	"github.com/savorystair/savorystair/internal/transport/pause"
)

const (
	// beatInterval is how often an entry writes its row and reads the others.
	beatInterval = 5 * time.Second
	// firstBeat is how soon a beat that failed is tried again.
	firstBeat = 200 * time.Millisecond
	// liveFor is how long an entry counts as live after its row changed.
	liveFor = 17 * time.Second
	// removeAfter is how long a row stays unchanged before others remove it.
	removeAfter = 10 * time.Minute
	// entryPrefix starts the keys of the entries' rows.
	entryPrefix = "entry/"
)

// Peer is another entry.
type Peer struct {
	Incarnation string
	ID          string
	Zone        string
	Region      string
	Address     string
}

// Row returns the entry as it describes itself to others.
func (p Peer) Row() *wirepb.EntryRow {
	return &wirepb.EntryRow{
		Incarnation: p.Incarnation,
		Id:          p.ID,
		Zone:        p.Zone,
		Region:      p.Region,
		PeerAddress: p.Address,
	}
}

// Directory finds the entries by their rows. Liveness by rows only says whom
// to ask; nothing that must hold depends on it.
type Directory struct {
	Table Table
	Self  Peer
	Log   *zap.Logger
	Emit  func(caller.Event)
	// Now is the clock by which others are judged; nil means time.Now.
	Now func() time.Time
	// Heard is called when there may be entries that were not known before; nil
	// calls nothing.
	Heard func()

	seeds   []string
	mu      sync.Mutex
	known   map[string]seen
	scanned time.Time // when the rows were last read

	writing sync.Mutex // guards this entry's row
	beat    uint64
	version uint64
	leaving bool
}

// seen is a row of another entry, and when it was last seen to change.
type seen struct {
	peer    Peer
	version uint64
	changed time.Time
	leaving bool
}

// Serve keeps this entry's row fresh and reads the others until ctx ends.
func (d *Directory) Serve(ctx context.Context) error {
	for {
		delay := beatInterval
		if err := d.round(ctx); err != nil {
			d.Log.Debug("directory not refreshed", zap.Error(err))
			delay = firstBeat
		}
		pause.For(ctx, delay)
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// Leave marks this entry's row as leaving, so that others stop counting it.
func (d *Directory) Leave(ctx context.Context) {
	d.writing.Lock()
	d.leaving = true
	d.writing.Unlock()
	if err := d.write(ctx); err != nil {
		d.Log.Info("directory row not marked as leaving", zap.Error(err))
	}
}

// Live returns the entries that were live when the rows were last read, this
// one left out, by incarnation. While the rows can't be read nobody is taken
// for gone: who can't be asked may be accepting edits.
func (d *Directory) Live() []Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	var live []Peer
	for _, s := range d.known {
		if !s.leaving && d.scanned.Sub(s.changed) < liveFor {
			live = append(live, s.peer)
		}
	}
	slices.SortFunc(live, func(a, b Peer) int { return cmp.Compare(a.Incarnation, b.Incarnation) })
	return live
}

// count returns how many entries there are. A restarted one stands in the rows
// of its earlier incarnations too, until they have grown old.
func (d *Directory) count() int {
	ids := map[string]bool{d.Self.ID: true}
	for _, p := range d.Live() {
		ids[p.ID] = true
	}
	return len(ids)
}

// SetSeeds sets addresses at which other entries may be found while the table
// can't be read.
func (d *Directory) SetSeeds(addresses []string) {
	d.mu.Lock()
	d.seeds = addresses
	d.mu.Unlock()
	d.heard()
}

// Add takes an entry that made itself known. The next read of the rows decides
// whether it stays.
func (d *Directory) Add(row *wirepb.EntryRow) {
	if row.Incarnation == d.Self.Incarnation {
		return
	}
	d.mu.Lock()
	_, known := d.known[row.Incarnation]
	if !known {
		if d.known == nil {
			d.known = map[string]seen{}
		}
		d.known[row.Incarnation] = seen{peer: peerOf(row), changed: d.scanned}
	}
	d.mu.Unlock()
	if !known {
		d.Log.Info("entry heard of", zap.String("entry", row.Incarnation), zap.String("address", row.PeerAddress))
		d.heard()
	}
}

func (d *Directory) heard() {
	if d.Heard != nil {
		d.Heard()
	}
}

// Reachable returns the live entries, and the seeds that are none of them. A
// seed has an address only.
func (d *Directory) Reachable() []Peer {
	live := d.Live()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, address := range d.seeds {
		known := slices.ContainsFunc(live, func(p Peer) bool { return p.Address == address })
		if !known && address != d.Self.Address {
			live = append(live, Peer{Address: address})
		}
	}
	return live
}

// Addresses returns the addresses of the live entries of this region, this one
// included.
func (d *Directory) Addresses() []string {
	addresses := []string{d.Self.Address}
	for _, p := range d.Live() {
		if p.Region == d.Self.Region {
			addresses = append(addresses, p.Address)
		}
	}
	return addresses
}

// Addresses returns the addresses of the entries that have a row, live or not.
func Addresses(ctx context.Context, t Table) ([]string, error) {
	found, err := scanRows(ctx, t, entryPrefix)
	if err != nil {
		return nil, err
	}
	var addresses []string
	for key := range found {
		var row wirepb.EntryRow
		if _, err := found.decode(key, &row); err != nil {
			return nil, err
		}
		if !row.Leaving {
			addresses = append(addresses, row.PeerAddress)
		}
	}
	return addresses, nil
}

// Find returns the entry with an incarnation, from its row if it isn't known
// yet. An entry without a row is gone.
func (d *Directory) Find(ctx context.Context, incarnation string) (peer Peer, ok bool, err error) {
	d.mu.Lock()
	s, ok := d.known[incarnation]
	d.mu.Unlock()
	if ok {
		return s.peer, true, nil
	}
	found, err := readRows(ctx, d.Table, entryPrefix+incarnation)
	if err != nil {
		return Peer{}, false, err
	}
	var row wirepb.EntryRow
	version, err := found.decode(entryPrefix+incarnation, &row)
	if err != nil || version == 0 {
		return Peer{}, false, err
	}
	return peerOf(&row), true, nil
}

func (d *Directory) now() time.Time {
	if d.Now == nil {
		return time.Now()
	}
	return d.Now()
}

func (d *Directory) round(ctx context.Context) error {
	if err := d.write(ctx); err != nil {
		return err
	}
	found, err := scanRows(ctx, d.Table, entryPrefix)
	if err != nil {
		return err
	}
	d.learn(found)
	d.heard()
	d.Emit(caller.EntryCount{Entries: d.count()})
	d.sweep(ctx)
	return nil
}

// write writes this entry's row.
func (d *Directory) write(ctx context.Context) error {
	d.writing.Lock()
	defer d.writing.Unlock()
	d.beat++
	self := d.Self.Row()
	self.Beat = d.beat
	self.Leaving = d.leaving
	row, err := write(entryPrefix+d.Self.Incarnation, d.version, self)
	if err != nil {
		return err
	}
	resp, err := d.Table.Commit(ctx, []*tablepb.Write{row})
	if err != nil {
		return err
	}
	if resp.Committed {
		d.version = resp.Versions[0]
		return nil
	}
	// The row was written by a beat whose answer was lost, or was removed.
	d.version = resp.Conflicts[0].Version
	return nil
}

// learn takes the rows of a scan.
func (d *Directory) learn(found rows) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	known := map[string]seen{}
	for key := range found {
		var row wirepb.EntryRow
		version, err := found.decode(key, &row)
		if err != nil || strings.TrimPrefix(key, entryPrefix) == d.Self.Incarnation {
			continue
		}
		s := seen{peer: peerOf(&row), version: version, changed: now, leaving: row.Leaving}
		if old, ok := d.known[row.Incarnation]; ok && old.version == version {
			s.changed = old.changed
		}
		known[row.Incarnation] = s
	}
	d.known = known
	d.scanned = now
}

// sweep removes the rows of entries that ended long ago.
func (d *Directory) sweep(ctx context.Context) {
	d.mu.Lock()
	var stale []*tablepb.Write
	for incarnation, s := range d.known {
		if d.scanned.Sub(s.changed) > removeAfter {
			stale = append(stale, &tablepb.Write{Key: entryPrefix + incarnation, IfVersion: s.version, Remove: true})
		}
	}
	d.mu.Unlock()
	if len(stale) == 0 {
		return
	}
	if _, err := d.Table.Commit(ctx, stale); err != nil {
		d.Log.Info("stale entry rows not removed", zap.Error(err))
	}
}

func peerOf(row *wirepb.EntryRow) Peer {
	return Peer{
		Incarnation: row.Incarnation,
		ID:          row.Id,
		Zone:        row.Zone,
		Region:      row.Region,
		Address:     row.PeerAddress,
	}
}
