package host

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/agent/entry"
	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/membership/rendezvous"
	"github.com/savorystair/savorystair/internal/transport/h2c"
)

const (
	// announceInterval is how often the announcer checks for due calls without
	// being woken.
	announceInterval = 200 * time.Millisecond
	// announceTimeout limits the duration of one call.
	announceTimeout = time.Second
	// lookupInterval is how often entries are looked up in the table while the
	// agent has no link.
	lookupInterval = time.Second
)

// announcer calls the entries that the selection names: it announces the agent to
// the selected ones, which open links, and requests the list of entries from
// others.
type announcer struct {
	agent  *Agent
	client *http.Client
	calls  sync.WaitGroup

	mu         sync.Mutex
	selection  rendezvous.Selection
	inFlight   map[string]bool // addresses of entries that are being called
	lastLookup time.Duration
	released   []string // incarnations of the entries whose links are released
}

func newAnnouncer(a *Agent) *announcer {
	return &announcer{agent: a, client: h2c.NewClient(true, &a.meter), inFlight: map[string]bool{}, lastLookup: -lookupInterval}
}

// Serve makes due calls until ctx ends.
func (an *announcer) Serve(ctx context.Context) error {
	defer an.client.CloseIdleConnections()
	defer an.calls.Wait()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		changed := false
		select {
		case <-ticker.C:
		case <-an.agent.announceWake:
			changed = true
		case <-an.agent.membershipWake:
		case <-ctx.Done():
			return ctx.Err()
		}
		an.makeDueCalls(ctx, changed)
		an.releaseLinks(ctx)
	}
}

// RecordList records the entries that an entry sent over its link.
func (an *announcer) RecordList(address string, entries []*wirepb.EntryAddress) {
	an.mu.Lock()
	an.selection.RecordList(an.agent.controlClock(), address, entriesFromWire(entries))
	an.mu.Unlock()
	an.agent.wakeMembership()
}

func entriesFromWire(addresses []*wirepb.EntryAddress) []rendezvous.Entry {
	all := make([]rendezvous.Entry, len(addresses))
	for i, a := range addresses {
		all[i] = rendezvous.Entry{Address: a.Address, Zone: a.Zone}
	}
	return all
}

// makeDueCalls starts the calls that are due. With changed set, the agent's
// description has changed, and the agent announces itself to every selected entry.
func (an *announcer) makeDueCalls(ctx context.Context, changed bool) {
	info := an.agent.agentInfo()
	if info == nil {
		return
	}
	links := an.agent.openLinks()
	an.lookUpEntries(ctx, len(links))
	an.mu.Lock()
	defer an.mu.Unlock()
	an.selection.SetConfigured(an.agent.configuredEntries())
	an.selection.Forget(an.agent.controlClock())
	for _, c := range an.selection.Calls(an.agent.controlClock(), info.Address, links, changed) {
		if an.inFlight[c.Address] {
			continue
		}
		an.inFlight[c.Address] = true
		an.calls.Go(func() { an.call(ctx, c, info) })
	}
}

// call makes one call and records its outcome. A response may name further
// entries, so that more calls are due.
func (an *announcer) call(ctx context.Context, c rendezvous.Call, info *wirepb.AgentInfo) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	req := &wirepb.AnnounceRequest{Agent: info, Lookup: c.Lookup}
	if c.Lookup {
		req.Agent = nil
	}
	resp, err := wirepb.NewEntryPeerClient(an.client, "http://"+c.Address).Announce(ctx, connect.NewRequest(req))
	an.mu.Lock()
	delete(an.inFlight, c.Address)
	if len(an.inFlight) == 0 {
		// The next call is seconds away, and an idle connection is pinged.
		an.client.CloseIdleConnections()
	}
	if err != nil {
		an.selection.RecordFailure(an.agent.controlClock(), c.Address)
	} else {
		an.selection.RecordList(an.agent.controlClock(), c.Address, entriesFromWire(resp.Msg.Entries))
	}
	an.mu.Unlock()
	if err != nil {
		an.agent.counters.Events.Add("announcements_failed", 1)
		an.agent.log.Debug("announcement to entry failed", zap.String("entry_address", c.Address), zap.Error(err))
		return
	}
	an.agent.wakeMembership()
}

// lookUpEntries starts a lookup of the entries in the table, at most once per
// lookupInterval and only while the agent has no link.
func (an *announcer) lookUpEntries(ctx context.Context, links int) {
	lookUp, now := an.agent.options.LookUpEntries, an.agent.controlClock()
	an.mu.Lock()
	defer an.mu.Unlock()
	if lookUp == nil || links > 0 || now-an.lastLookup < lookupInterval {
		return
	}
	an.lastLookup = now
	an.calls.Go(func() {
		entries, err := lookUp(ctx)
		if err != nil {
			an.agent.log.Info("lookup of entries failed", zap.Error(err))
			return
		}
		an.mu.Lock()
		an.selection.RecordListed(an.agent.controlClock(), entries)
		an.mu.Unlock()
		an.agent.wakeMembership()
	})
}

// releaseLinks tells the control state which links are no longer wanted, if that
// has changed.
func (an *announcer) releaseLinks(ctx context.Context) {
	an.mu.Lock()
	released := an.selection.Released(an.agent.controlClock(), an.agent.advertisedAddress(), an.agent.openLinks())
	changed := !slices.Equal(released, an.released)
	an.released = released
	an.mu.Unlock()
	if changed {
		an.agent.log.Info("released links of entries that are not selected", zap.Strings("entries", released))
		an.agent.pushEvent(ctx, entry.HomesChanged{Released: released})
	}
}

// advertisedAddress returns the address at which entries open links.
func (a *Agent) advertisedAddress() string {
	return cmp.Or(a.settings.AdvertiseAddress, a.LinkAddress())
}

// agentInfo returns the description of the agent for entries, or nil while it
// has no endpoint that is ready for tasks.
func (a *Agent) agentInfo() *wirepb.AgentInfo {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.announcement.Address == "" || !a.endpointReady {
		return nil
	}
	return &wirepb.AgentInfo{
		Id:          a.settings.ID,
		Incarnation: a.incarnation,
		Address:     a.advertisedAddress(),
		Zone:        a.settings.Zone,
		Service:     a.announcement.Service,
		Slots:       uint32(a.announcement.MaxConcurrentTasks()),
		Kinds:       a.announcement.Kinds,
		MemoryMb:    uint32(a.announcement.MemoryMB),
		Capacity:    a.announcement.Capacity.Wire(),
		Labels:      a.announcement.Labels,
		RunsOverMs:  uint32(a.settings.OrphanRunLimit().Milliseconds()),
		Endpoint:    a.endpointNumber,
	}
}
