// Package endpoint receives the announcements of an agent's endpoint and runs
// tasks at it.
package endpoint

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"
)

const (
	// HeartbeatInterval is how often an endpoint repeats its announcement.
	HeartbeatInterval = 500 * time.Millisecond
	// announcementTimeout is how long an announcement is valid unless it is
	// repeated.
	announcementTimeout = 4 * HeartbeatInterval
	// maxAnnouncementBytes limits the size of an announcement.
	maxAnnouncementBytes = 64 << 10
)

// announceReply is the response to a valid announcement.
type announceReply struct {
	HeartbeatMS int64 `json:"heartbeat_ms"`
}

// announceError is the response to a rejected announcement or leave request.
type announceError struct {
	Findings []finding `json:"findings"`
}

type finding struct {
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// Registry keeps the current announcement of the agent's endpoint.
type Registry struct {
	// AllowedAddresses lists the endpoint addresses that may announce; if it is
	// empty, all may.
	AllowedAddresses []string
	// OnChange is called, one call at a time, when the current announcement
	// changes. An announcement without an address means that the endpoint left
	// or that its announcement expired.
	OnChange func(Announcement)
	// Timeout is how long an announcement is valid; 0 means
	// announcementTimeout.
	Timeout time.Duration
	// Confirm is called when another incarnation of the endpoint than the current one
	// is announced. The announcement counts once Confirmed was called for it; until then
	// the current one does. Refute drops it. The context ends with Timeout, or when the
	// announcement is dropped. Confirm must return before these calls. Nil means that
	// announcements count without a confirmation, as do those without a start time.
	Confirm func(context.Context, Announcement)
	// OnIgnored is called for each announcement that doesn't count, if it is not nil.
	OnIgnored func(Ignored)

	mu      sync.Mutex
	current Announcement
	expires time.Time
	// candidates wait for their confirmation.
	candidates candidates
	ignored    ignoredWriters
	// replaced reports whether another endpoint answers in place of the current one.
	replaced bool
	// left is the last announcement of an endpoint that left. Until leftExpires, older
	// announcements of it are late ones, which must not register it again.
	left        Announcement
	leftExpires time.Time
}

func (g *Registry) timeout() time.Duration { return cmp.Or(g.Timeout, announcementTimeout) }

// Handler returns a handler for the requests POST /v1/announce and POST
// /v1/leave of the endpoint.
func (g *Registry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", g.handleAnnounce)
	mux.HandleFunc("POST /v1/leave", g.handleLeave)
	return mux
}

// Expire removes an announcement that was not repeated in time.
func (g *Registry) Expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current.Address != "" && now.After(g.expires) {
		g.setCurrent(Announcement{})
	}
}

func (g *Registry) handleAnnounce(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		writeJSON(w, http.StatusBadRequest, announceError{[]finding{{"body", err.Error()}}})
		return
	}
	if found := g.validate(a); len(found) > 0 {
		writeJSON(w, http.StatusBadRequest, announceError{found})
		return
	}
	if !g.accept(a) {
		writeJSON(w, http.StatusConflict, announceError{[]finding{{"address", "another endpoint has announced itself here"}}})
		return
	}
	writeJSON(w, http.StatusOK, announceReply{HeartbeatMS: HeartbeatInterval.Milliseconds()})
}

// validate returns a finding for every invalid field of an announcement.
func (g *Registry) validate(a Announcement) []finding {
	var found []finding
	if a.Service == "" {
		found = append(found, finding{"service", "is missing"})
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		found = append(found, finding{"address", "want an IP number and a port"})
	} else if len(g.AllowedAddresses) > 0 && !slices.Contains(g.AllowedAddresses, a.Address) {
		found = append(found, finding{"address", "is not among the endpoints of the agent's settings"})
	}
	if a.Slots < 1 {
		found = append(found, finding{"slots", "must be at least 1"})
	}
	if a.Connections < 0 {
		found = append(found, finding{"connections", "must not be negative"})
	}
	if a.MemoryMB < 0 {
		found = append(found, finding{"memory_mb", "must not be negative"})
	}
	return found
}

// Announce accepts an announcement, or returns an error that names all invalid
// fields. An announcement older than the current one is ignored.
func (g *Registry) Announce(a Announcement) error {
	if found := g.validate(a); len(found) > 0 {
		return fmt.Errorf("announcement: %v", found)
	}
	if !g.accept(a) {
		return errors.New("announcement: another endpoint has announced itself here")
	}
	return nil
}

// Restore accepts an announcement that an earlier process of the agent stored,
// unless the endpoint has announced itself since. Without a start time it can't be
// compared with a listing, and is ignored.
func (g *Registry) Restore(a Announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current.Address != "" || a.StartedMS == 0 || len(g.validate(a)) > 0 {
		return
	}
	if !g.awaitsConfirmation(a) {
		g.expires = time.Now().Add(g.timeout())
		g.setCurrent(a)
	}
}

// awaitsConfirmation makes an announcement a candidate if it needs a confirmation, and
// reports whether it does. The caller holds the lock.
func (g *Registry) awaitsConfirmation(a Announcement) bool {
	if g.Confirm == nil || a.StartedMS == 0 || a.SameIncarnation(g.current) {
		return false
	}
	expires := time.Now().Add(g.timeout())
	known, older := g.candidates.update(a, expires)
	switch {
	case older:
		g.ignore(a, IgnoredOlder, nil)
	case !known:
		ctx, stop := context.WithDeadline(context.Background(), expires)
		g.candidates.add(candidate{a, expires, stop})
		g.Confirm(ctx, a)
	}
	return true
}

// Confirmed records that a listing has shown the announced incarnation. Its latest
// announcement becomes the current one, unless a later one has been confirmed since.
func (g *Registry) Confirmed(a Announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.candidates.remove(a)
	if !ok {
		return
	}
	if g.isOutdated(c.announcement) {
		g.ignore(c.announcement, IgnoredOlder, nil)
		return
	}
	g.expires = c.expires
	g.setCurrent(c.announcement)
}

// Refute drops the announced incarnation because of the error of its confirmation. The
// next announcement of it is checked again.
func (g *Registry) Refute(a Announcement, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c, ok := g.candidates.remove(a)
	switch {
	case !ok:
	case errors.Is(err, ErrOtherIncarnation):
		g.ignore(c.announcement, IgnoredIncarnation, err)
	default:
		g.ignore(c.announcement, IgnoredUnlisted, err)
	}
}

// ignore reports an announcement that doesn't count. The caller holds the lock.
func (g *Registry) ignore(a Announcement, cause IgnoreCause, err error) {
	i := Ignored{Announcement: a, Current: g.current, Cause: cause, Err: err}
	i.Repeated = g.ignored.add(i)
	if g.OnIgnored != nil {
		g.OnIgnored(i)
	}
}

// RecordReplaced records that another incarnation of the endpoint answers in place of
// the announced one. The next announcement of another incarnation is then accepted
// even if its start time is earlier, as after a clock was set back. Should that be a
// late announcement, its first listing shows it.
func (g *Registry) RecordReplaced(a Announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.replaced = g.replaced || g.current.SameIncarnation(a)
}

// Leave removes the announcement of an endpoint.
func (g *Registry) Leave(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.candidates.removeID(id)
	if g.current.Address != "" && g.current.ID == id {
		g.left, g.leftExpires = g.current, time.Now().Add(g.timeout())
		g.setCurrent(Announcement{})
	}
}

// accept makes a the current announcement and extends its validity, or makes it a
// candidate; an older announcement is ignored. It returns false if another endpoint has
// announced itself and a has no start time to order the two.
func (g *Registry) accept(a Announcement) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.isOutdated(a):
		g.ignore(a, IgnoredOlder, nil)
		return true
	case a.StartedMS > 0 && a.SameIncarnation(g.current) && a.Service != g.current.Service:
		// An incarnation serves one service. The one that was announced first expires
		// unless it is repeated.
		g.ignore(a, IgnoredService, nil)
		return true
	case g.current.Address != "" && a.StartedMS == 0 && g.current.Address != a.Address:
		return false
	case g.awaitsConfirmation(a):
		return true
	}
	g.expires = time.Now().Add(g.timeout())
	changed := !a.SameState(g.current)
	g.current.Sequence = a.Sequence
	if changed {
		g.setCurrent(a)
	}
	return true
}

// isOutdated reports whether an announcement is older than the current one, or than that
// of an endpoint that has left. The caller holds the lock.
func (g *Registry) isOutdated(a Announcement) bool {
	switch {
	case a.StartedMS == 0:
		return false
	case g.current.Address == "":
		return a.ID == g.left.ID && a.olderThan(g.left) && time.Now().Before(g.leftExpires)
	}
	return a.olderThan(g.current) && (!g.replaced || a.SameIncarnation(g.current))
}

func (g *Registry) handleLeave(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&a); err != nil {
		writeJSON(w, http.StatusBadRequest, announceError{[]finding{{"body", err.Error()}}})
		return
	}
	if a.Address == "" {
		writeJSON(w, http.StatusBadRequest, announceError{[]finding{{"address", "is missing"}}})
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current.Address != a.Address {
		writeJSON(w, http.StatusNotFound, announceError{[]finding{{"address", "has not announced itself here"}}})
		return
	}
	g.setCurrent(Announcement{})
	writeJSON(w, http.StatusOK, announceReply{})
}

// setCurrent replaces the current announcement. The caller holds the lock.
func (g *Registry) setCurrent(a Announcement) {
	g.replaced = g.replaced && a.SameIncarnation(g.current)
	g.current = a
	if g.OnChange != nil {
		g.OnChange(a)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		http.Error(w, fmt.Sprintf("encode the response: %v", err), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error needs no handling: an endpoint that gets no response repeats
	// its announcement.
	_, _ = w.Write(text)
}
