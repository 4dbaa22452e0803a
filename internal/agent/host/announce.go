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
	// announceInterval is how often an agent announces itself to an entry
	// that holds no link to it.
	announceInterval = 200 * time.Millisecond
	// announceTimeout bounds one announcement.
	announceTimeout = time.Second
	// refreshInterval is how often a linked entry is asked which entries there
	// are. Some 300 bytes at a time are well within 5 KB/s.
	refreshInterval = time.Second
	// lookUpInterval is how often entries are looked up in the table.
	lookUpInterval = time.Second
	// forgetEntry is how long an entry that other entries named may stay
	// unreachable before the agent forgets it.
	forgetEntry = 30 * time.Second
)

// target is an entry that the agent announces itself to.
type target struct {
	address     string
	configured  bool
	incarnation string    // as of the last answer
	reached     time.Time // time of the last answer
}

// announcer makes the agent known to the entries of its region. An entry that
// holds a link needs no announcement.
func (a *Agent) announcer(ctx context.Context) error {
	client := h2c.Client(true, &a.meter)
	defer client.CloseIdleConnections()
	targets := map[string]*target{}
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		all := false
		select {
		case <-ticker.C:
		case <-a.announce:
			all = true
		case <-ctx.Done():
			return ctx.Err()
		}
		a.announceTo(ctx, client, targets, all)
	}
}

func (a *Agent) announceTo(ctx context.Context, client *http.Client, targets map[string]*target, all bool) {
	info := a.info()
	if info == nil {
		return
	}
	for _, address := range a.configuredEntries() {
		if targets[address] == nil {
			targets[address] = &target{address: address, configured: true}
		}
	}
	r := &round{agent: a, client: client, info: info, targets: targets}
	for _, t := range a.due(targets, all) {
		r.call(ctx, t)
	}
	r.learn(ctx, a.lookUp(ctx))
	r.calls.Wait()
	// Once an entry holds a link, nothing more is said over this connection.
	client.CloseIdleConnections()
	a.forgetLost(targets)
}

// due returns the entries that the agent is to announce itself to now.
func (a *Agent) due(targets map[string]*target, all bool) []*target {
	var due []*target
	again := a.toRefresh(targets)
	for _, t := range targets {
		if all || t == again || t.incarnation == "" || !a.linked(t.incarnation) {
			due = append(due, t)
		}
	}
	return due
}

// round is one round of announcements.
type round struct {
	agent  *Agent
	client *http.Client
	info   *wirepb.AgentInfo
	calls  sync.WaitGroup

	mu      sync.Mutex
	targets map[string]*target
}

func (r *round) call(ctx context.Context, t *target) {
	r.calls.Go(func() {
		r.learn(ctx, r.agent.announceOnce(ctx, r.client, t, r.info))
	})
}

// learn announces the agent at once to the entries that weren't known, however
// long other calls of the round take.
func (r *round) learn(ctx context.Context, named []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, address := range named {
		if r.targets[address] != nil {
			continue
		}
		t := &target{address: address, reached: time.Now()}
		r.targets[address] = t
		r.call(ctx, t)
	}
}

// toRefresh returns the linked entry that is to be asked again which entries
// there are, nil if it isn't time yet: the one that was asked longest ago.
func (a *Agent) toRefresh(targets map[string]*target) *target {
	if time.Since(a.refreshed) < refreshInterval {
		return nil
	}
	a.refreshed = time.Now()
	var oldest *target
	for _, t := range targets {
		if a.linked(t.incarnation) && (oldest == nil || t.reached.Before(oldest.reached)) {
			oldest = t
		}
	}
	return oldest
}

// lookUp returns the entries that stand in the table, while the agent has a link
// to none.
func (a *Agent) lookUp(ctx context.Context) []string {
	if a.options.Entries == nil || a.linkCount() > 0 || time.Since(a.lookedUp) < lookUpInterval {
		return nil
	}
	a.lookedUp = time.Now()
	entries, err := a.options.Entries(ctx)
	if err != nil {
		a.log.Info("entries not looked up", zap.Error(err))
	}
	return entries
}

// forgetLost forgets the entries that others named and that are gone.
func (a *Agent) forgetLost(targets map[string]*target) {
	for address, t := range targets {
		lost := time.Since(t.reached) > forgetEntry && !a.linked(t.incarnation)
		if !t.configured && lost {
			delete(targets, address)
		}
	}
}

func (a *Agent) announceOnce(ctx context.Context, client *http.Client, t *target, info *wirepb.AgentInfo) []string {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	peer := wirepb.NewEntryPeerClient(client, "http://"+t.address)
	resp, err := peer.Announce(ctx, connect.NewRequest(&wirepb.AnnounceRequest{Agent: info}))
	if err != nil {
		a.counters.Events.Add("announcements_failed", 1)
		a.log.Debug("announcement failed", zap.String("entry_address", t.address), zap.Error(err))
		return nil
	}
	t.reached = time.Now()
	t.incarnation = resp.Msg.Incarnation
	return resp.Msg.Entries
}

// info describes the agent, or returns nil while it has no endpoint.
func (a *Agent) info() *wirepb.AgentInfo {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.held.Address == "" || !a.up {
		return nil
	}
	return &wirepb.AgentInfo{
		Id:          a.settings.ID,
		Incarnation: a.incarnation,
		Address:     cmp.Or(a.settings.AdvertiseAddress, a.LinkAddress()),
		Zone:        a.settings.Zone,
		Service:     a.held.Service,
		Slots:       uint32(a.held.Slot()),
		Kinds:       a.held.Kinds,
		MemoryMb:    uint32(a.held.MemoryMB),
		Capacity:    a.held.Capacity.Wire(),
		Labels:      a.held.Labels,
		RunsOverMs:  uint32(a.settings.RunsOver().Milliseconds()),
	}
}
