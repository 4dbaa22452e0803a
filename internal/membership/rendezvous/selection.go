package rendezvous

import (
	"slices"
	"time"
)

const (
	// failingEntryTimeout is how long calls to an entry may fail before another
	// entry is selected in its place.
	failingEntryTimeout = 5 * time.Second
	// announceInterval is the interval of calls to a selected entry that has not
	// opened a link.
	announceInterval = 200 * time.Millisecond
	// retryInterval is the interval of calls to an entry that is not selected
	// because calls to it fail, or because no other entry lists it.
	retryInterval = time.Second
	// refreshInterval is the interval of calls to selected entries that have a
	// link. Entries send every change over their links; the calls make up for an
	// entry that missed one.
	refreshInterval = 10 * time.Second
	// forgetTimeout is how long an entry that is not in the settings may be
	// unlisted before it is removed.
	forgetTimeout = 30 * time.Second
	// releaseDelay is how long a link is open at least before it is released.
	releaseDelay = 5 * time.Second
)

// Selection holds the entries that an agent knows, and decides which of them it
// calls and which links it keeps. It does no I/O and reads no clock. The zero
// value knows no entry.
type Selection struct {
	known       map[string]*knownEntry // by address
	lastRefresh time.Duration
}

// knownEntry is an entry that the agent knows.
type knownEntry struct {
	Entry
	configured bool // whether the settings contain the address
	listed     bool // whether an entry listed it, or it has responded itself
	lastSeen   time.Duration
	announced  lastCall
	lookedUp   lastCall
	failing    bool          // whether the latest call failed
	failedAt   time.Duration // time of the first failed call in a row
}

// Call is a call that the agent has to make to an entry.
type Call struct {
	Address string
	// Lookup means that the call only requests the list of entries. Otherwise the
	// agent announces itself, and the entry opens a link.
	Lookup bool
}

// Link is an open link of an entry.
type Link struct {
	Incarnation string
	Address     string // peer address of the entry
	Opened      time.Duration
}

// SetConfigured sets the addresses in the agent's settings.
func (s *Selection) SetConfigured(addresses []string) {
	for _, e := range s.known {
		e.configured = slices.Contains(addresses, e.Address)
	}
	for _, address := range addresses {
		s.entry(address).configured = true
	}
}

// RecordList records the entries that the entry at an address sent.
func (s *Selection) RecordList(now time.Duration, address string, entries []Entry) {
	sender := s.entry(address)
	sender.listed, sender.lastSeen, sender.failing = true, now, false
	s.RecordListed(now, entries)
}

// RecordListed records entries that were listed in the table.
func (s *Selection) RecordListed(now time.Duration, entries []Entry) {
	for _, listed := range entries {
		e := s.entry(listed.Address)
		e.listed, e.lastSeen, e.Zone = true, now, listed.Zone
	}
}

// RecordFailure records that a call to the entry at an address failed.
func (s *Selection) RecordFailure(now time.Duration, address string) {
	e := s.entry(address)
	if !e.failing {
		e.failing, e.failedAt = true, now
	}
}

// Homes returns the entries that the agent with the given link address selects.
func (s *Selection) Homes(now time.Duration, agent string) []Entry {
	var eligible []Entry
	for _, e := range s.known {
		if e.eligible(now) {
			eligible = append(eligible, e.Entry)
		}
	}
	// Without an order of their own, the entries of a small region come in the
	// random order of the map.
	slices.SortFunc(eligible, func(a, b Entry) int {
		if a.Address < b.Address {
			return -1
		}
		return 1
	})
	return Homes(agent, eligible)
}

// Calls returns the calls that are due, and records them as made. The links are
// those that are open now. With all set, a call to every selected entry is due.
func (s *Selection) Calls(now time.Duration, agent string, links []Link, all bool) []Call {
	homes := s.Homes(now, agent)
	var calls []Call
	for _, h := range homes {
		if all || !hasLink(links, h.Address) && s.known[h.Address].announced.due(now, announceInterval) {
			calls = append(calls, Call{Address: h.Address})
		}
	}
	if len(calls) == 0 {
		calls = append(calls, s.refreshCalls(now, homes)...)
	}
	interval := retryInterval
	if len(homes) == 0 {
		interval = announceInterval
	}
	for _, e := range s.sorted() {
		if !e.eligible(now) && (e.configured || e.listed) && e.lookedUp.due(now, interval) {
			calls = append(calls, Call{Address: e.Address, Lookup: true})
		}
	}
	for _, c := range calls {
		if c.Lookup {
			s.known[c.Address].lookedUp = lastCall{made: true, at: now}
		} else {
			s.known[c.Address].announced = lastCall{made: true, at: now}
		}
	}
	return calls
}

// lastCall is the latest call of one type to an entry. The zero value is none.
type lastCall struct {
	made bool
	at   time.Duration
}

// due reports whether there was no call within the latest interval.
func (c lastCall) due(now, interval time.Duration) bool { return !c.made || now-c.at >= interval }

// refreshCalls returns a call to the selected entry whose latest call is the
// oldest, once per refreshInterval.
func (s *Selection) refreshCalls(now time.Duration, homes []Entry) []Call {
	if len(homes) == 0 || now-s.lastRefresh < refreshInterval {
		return nil
	}
	s.lastRefresh = now
	oldest := slices.MinFunc(homes, func(a, b Entry) int { return int(s.known[a.Address].announced.at - s.known[b.Address].announced.at) })
	return []Call{{Address: oldest.Address}}
}

// Released returns the incarnations of the entries whose links are no longer
// wanted. As long as a selected entry has no link, all links are kept.
func (s *Selection) Released(now time.Duration, agent string, links []Link) []string {
	homes := s.Homes(now, agent)
	if len(homes) < HomesPerAgent {
		return nil
	}
	for _, h := range homes {
		if !hasLink(links, h.Address) {
			return nil
		}
	}
	var released []string
	for _, l := range links {
		selected := slices.ContainsFunc(homes, func(h Entry) bool { return h.Address == l.Address })
		if !selected && l.Address != "" && now-l.Opened >= releaseDelay {
			released = append(released, l.Incarnation)
		}
	}
	slices.Sort(released)
	return released
}

// Forget removes the entries that are not in the settings and have not been
// listed for a long time.
func (s *Selection) Forget(now time.Duration) {
	for address, e := range s.known {
		if !e.configured && now-e.lastSeen > forgetTimeout {
			delete(s.known, address)
		}
	}
}

// eligible reports whether the entry may be selected.
func (e *knownEntry) eligible(now time.Duration) bool {
	return e.listed && (!e.failing || now-e.failedAt < failingEntryTimeout)
}

// entry returns the record of an address, which it adds if there is none.
func (s *Selection) entry(address string) *knownEntry {
	if s.known == nil {
		s.known = map[string]*knownEntry{}
	}
	e := s.known[address]
	if e == nil {
		e = &knownEntry{Entry: Entry{Address: address}}
		s.known[address] = e
	}
	return e
}

func (s *Selection) sorted() []*knownEntry {
	all := make([]*knownEntry, 0, len(s.known))
	for _, e := range s.known {
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b *knownEntry) int {
		if a.Address < b.Address {
			return -1
		}
		return 1
	})
	return all
}

func hasLink(links []Link, address string) bool {
	return slices.ContainsFunc(links, func(l Link) bool { return l.Address == address })
}
