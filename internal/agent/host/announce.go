package host

import (
	"cmp"
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"go.uber.org/zap"

	"github.com/savorystair/savorystair/internal/gen/wirepb"
	"github.com/savorystair/savorystair/internal/transport/h2c"
)

const (
	// announceInterval is how often an agent announces itself to an entry that
	// has no link to it.
	announceInterval = 200 * time.Millisecond
	// announceTimeout limits the duration of one announcement.
	announceTimeout = time.Second
	// refreshInterval is how often the agent announces itself to a linked entry
	// to get the current list of entries. An announcement takes some 300 bytes,
	// so the rate stays well within 5 KB/s.
	refreshInterval = time.Second
	// lookupInterval is how often entries are looked up in the table.
	lookupInterval = time.Second
	// unreachableEntryTimeout is how long an entry that is not in the settings
	// may be unreachable before the agent removes it.
	unreachableEntryTimeout = 30 * time.Second
)

// announceTarget is an entry that the agent announces itself to.
type announceTarget struct {
	address      string
	configured   bool      // whether the entry is in the settings
	incarnation  string    // of the entry, from its last response; empty if there was none
	lastResponse time.Time // time of the last response; if there was none, when the target was added
}

// runAnnouncer announces the agent to the entries of its region. An entry that
// has a link to the agent needs no announcement.
func (a *Agent) runAnnouncer(ctx context.Context) error {
	client := h2c.NewClient(true, &a.meter)
	defer client.CloseIdleConnections()
	targets := map[string]*announceTarget{}
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		all := false
		select {
		case <-ticker.C:
		case <-a.announceWake:
			all = true
		case <-ctx.Done():
			return ctx.Err()
		}
		a.runAnnounceRound(ctx, client, targets, all)
	}
}

// runAnnounceRound announces the agent to the entries that are due, or to all of
// them, and to those that are added in the round.
func (a *Agent) runAnnounceRound(ctx context.Context, client *http.Client, targets map[string]*announceTarget, all bool) {
	info := a.agentInfo()
	if info == nil {
		return
	}
	for _, address := range a.configuredEntries() {
		if targets[address] == nil {
			targets[address] = &announceTarget{address: address, configured: true}
		}
	}
	r := &announceRound{agent: a, client: client, info: info, targets: targets}
	for _, t := range a.dueTargets(targets, all) {
		r.announceTo(ctx, t)
	}
	r.addTargets(ctx, a.lookUpEntries(ctx))
	r.calls.Wait()
	// Connections to entries that have a link by now would stay unused.
	client.CloseIdleConnections()
	a.removeUnreachable(targets)
}

// dueTargets returns the entries to which the agent announces itself in this
// round.
func (a *Agent) dueTargets(targets map[string]*announceTarget, all bool) []*announceTarget {
	var due []*announceTarget
	refresh := a.refreshTarget(targets)
	for _, t := range targets {
		if all || t == refresh || t.incarnation == "" || !a.hasLink(t.incarnation) {
			due = append(due, t)
		}
	}
	return due
}

// announceRound is one round of announcements.
type announceRound struct {
	agent  *Agent
	client *http.Client
	info   *wirepb.AgentInfo
	calls  sync.WaitGroup

	mu      sync.Mutex
	targets map[string]*announceTarget
}

// announceTo announces the agent to an entry in a new goroutine, and then to the
// entries in its response.
func (r *announceRound) announceTo(ctx context.Context, t *announceTarget) {
	r.calls.Go(func() {
		r.addTargets(ctx, r.agent.announceToEntry(ctx, r.client, t, r.info))
	})
}

// addTargets adds the entries that are new and announces the agent to them at
// once, without waiting for other calls of the round.
func (r *announceRound) addTargets(ctx context.Context, addresses []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, address := range addresses {
		if r.targets[address] != nil {
			continue
		}
		t := &announceTarget{address: address, lastResponse: time.Now()}
		r.targets[address] = t
		r.announceTo(ctx, t)
	}
}

// refreshTarget returns the linked entry that is asked for the current list of
// entries: the one whose last response is the oldest. It returns nil if less
// than refreshInterval has passed since the previous one.
func (a *Agent) refreshTarget(targets map[string]*announceTarget) *announceTarget {
	if time.Since(a.lastRefresh) < refreshInterval {
		return nil
	}
	a.lastRefresh = time.Now()
	var oldest *announceTarget
	for _, t := range targets {
		if a.hasLink(t.incarnation) && (oldest == nil || t.lastResponse.Before(oldest.lastResponse)) {
			oldest = t
		}
	}
	return oldest
}

// lookUpEntries returns the entries in the table, at most once per
// lookupInterval and only while the agent has no link.
func (a *Agent) lookUpEntries(ctx context.Context) []string {
	if a.options.LookUpEntries == nil || a.linkCount() > 0 || time.Since(a.lastLookup) < lookupInterval {
		return nil
	}
	a.lastLookup = time.Now()
	entries, err := a.options.LookUpEntries(ctx)
	if err != nil {
		a.log.Info("lookup of entries failed", zap.Error(err))
	}
	return entries
}

// removeUnreachable removes the entries that are not in the settings and have
// been unreachable for too long.
func (a *Agent) removeUnreachable(targets map[string]*announceTarget) {
	for address, t := range targets {
		unreachable := time.Since(t.lastResponse) > unreachableEntryTimeout && !a.hasLink(t.incarnation)
		if !t.configured && unreachable {
			delete(targets, address)
		}
	}
}

// announceToEntry sends one announcement and returns the addresses of the
// entries in the response.
func (a *Agent) announceToEntry(ctx context.Context, client *http.Client, t *announceTarget, info *wirepb.AgentInfo) []string {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	peer := wirepb.NewEntryPeerClient(client, "http://"+t.address)
	resp, err := peer.Announce(ctx, connect.NewRequest(&wirepb.AnnounceRequest{Agent: info}))
	if err != nil {
		a.counters.Events.Add("announcements_failed", 1)
		a.log.Debug("announcement to entry failed", zap.String("entry_address", t.address), zap.Error(err))
		return nil
	}
	t.lastResponse = time.Now()
	t.incarnation = resp.Msg.Incarnation
	return resp.Msg.Entries
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
		Address:     cmp.Or(a.settings.AdvertiseAddress, a.LinkAddress()),
		Zone:        a.settings.Zone,
		Service:     a.announcement.Service,
		Slots:       uint32(a.announcement.MaxConcurrentTasks()),
		Kinds:       a.announcement.Kinds,
		MemoryMb:    uint32(a.announcement.MemoryMB),
		Capacity:    a.announcement.Capacity.Wire(),
		Labels:      a.announcement.Labels,
		RunsOverMs:  uint32(a.settings.OrphanRunLimit().Milliseconds()),
	}
}
