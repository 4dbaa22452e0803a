// Package endpoint speaks to the endpoint beside an agent: it takes the
// endpoint's announcements and hands it tasks, both over plain HTTP.
package endpoint

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/savorystair/savorystair/internal/task/resources"
)

const (
	// HeartbeatInterval is how often an endpoint repeats its announcement.
	HeartbeatInterval = 500 * time.Millisecond
	// heartbeatTimeout is how long an announcement holds.
	heartbeatTimeout = 4 * HeartbeatInterval
	// maxAnnouncement bounds the size of an announcement, in bytes.
	maxAnnouncement = 64 << 10
)

// Announcement is what an endpoint says of itself. Connections of 0 means no
// limit besides the slots; no kinds means every kind; 0 memory means any size.
type Announcement struct {
	Service     string   `json:"service"`
	Address     string   `json:"address"`
	Slots       int      `json:"slots"`
	Connections int      `json:"connections,omitempty"`
	Kinds       []string `json:"kinds,omitempty"`
	MemoryMB    int      `json:"memory_mb,omitempty"`
	// Labels are what tasks can require of the endpoint by name.
	Labels []string `json:"labels,omitempty"`
	// Capacity bounds what its tasks take together; zero means that only slots
	// count.
	Capacity resources.Resources `json:"-"`
	// ID and StartedMS name one life of the endpoint, and Sequence orders its
	// announcements. Without a start they play no part.
	ID        string `json:"-"`
	StartedMS int64  `json:"-"` // Unix milliseconds
	Sequence  int64  `json:"-"`
	// Draining says that the endpoint takes no new tasks.
	Draining bool `json:"-"`
}

// SameLife reports whether two announcements are of one life of an endpoint.
func (a Announcement) SameLife(b Announcement) bool {
	return a.Address == b.Address && a.ID == b.ID && a.StartedMS == b.StartedMS
}

// before reports whether an announcement was made before another one of the
// same endpoint, or by an earlier life of it.
func (a Announcement) before(b Announcement) bool {
	if a.StartedMS != b.StartedMS {
		return a.StartedMS < b.StartedMS
	}
	return a.ID == b.ID && a.Sequence < b.Sequence
}

// Slot returns how many tasks the endpoint takes at once.
func (a Announcement) Slot() int {
	if a.Connections > 0 {
		return min(a.Slots, a.Connections)
	}
	return a.Slots
}

// reply answers an announcement.
type reply struct {
	HeartbeatMS int64 `json:"heartbeat_ms"`
}

// problem answers a bad announcement.
type problem struct {
	Findings []finding `json:"findings"`
}

type finding struct {
	Field   string `json:"field"`
	Problem string `json:"problem"`
}

// Registry holds the endpoint that has announced itself. Changed is called,
// one call at a time, whenever what it holds changes; an announcement without
// an address says that the endpoint left or was lost.
type Registry struct {
	// Allowed lists the addresses that may announce; none allows all.
	Allowed []string
	Changed func(Announcement)
	// Timeout is how long an announcement holds; 0 means the usual time.
	Timeout time.Duration

	mu    sync.Mutex
	held  Announcement
	until time.Time
}

// Handler serves the endpoint's side: POST /v1/announce and POST /v1/leave.
func (g *Registry) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", g.announce)
	mux.HandleFunc("POST /v1/leave", g.leave)
	return mux
}

// Expire drops an announcement that was not repeated in time.
func (g *Registry) Expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held.Address != "" && now.After(g.until) {
		g.set(Announcement{})
	}
}

func (g *Registry) announce(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&a); err != nil {
		respond(w, http.StatusBadRequest, problem{[]finding{{"body", err.Error()}}})
		return
	}
	if found := g.check(a); len(found) > 0 {
		respond(w, http.StatusBadRequest, problem{found})
		return
	}
	if !g.take(a) {
		respond(w, http.StatusConflict, problem{[]finding{{"address", "another endpoint has announced itself here"}}})
		return
	}
	respond(w, http.StatusOK, reply{HeartbeatMS: HeartbeatInterval.Milliseconds()})
}

// check returns every fault of an announcement.
func (g *Registry) check(a Announcement) []finding {
	var found []finding
	if a.Service == "" {
		found = append(found, finding{"service", "is missing"})
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		found = append(found, finding{"address", "want an IP number and a port"})
	} else if len(g.Allowed) > 0 && !slices.Contains(g.Allowed, a.Address) {
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

// Announce takes an announcement, and returns an error that names every fault
// of it. One that is older than what is held changes nothing.
func (g *Registry) Announce(a Announcement) error {
	if found := g.check(a); len(found) > 0 {
		return fmt.Errorf("announcement: %v", found)
	}
	if !g.take(a) {
		return errors.New("announcement: another endpoint has announced itself here")
	}
	return nil
}

// Recall takes an announcement from before this process, unless one has come
// since.
func (g *Registry) Recall(a Announcement) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held.Address != "" || len(g.check(a)) > 0 {
		return
	}
	g.until = time.Now().Add(cmp.Or(g.Timeout, heartbeatTimeout))
	g.set(a)
}

// Leave drops the announcement of an endpoint.
func (g *Registry) Leave(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held.Address != "" && g.held.ID == id {
		g.set(Announcement{})
	}
}

func (g *Registry) take(a Announcement) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.held.Address == "":
	case a.StartedMS > 0 && a.before(g.held):
		return true
	case a.StartedMS == 0 && g.held.Address != a.Address:
		return false
	}
	g.until = time.Now().Add(cmp.Or(g.Timeout, heartbeatTimeout))
	changed := !same(g.held, a)
	g.held.Sequence = a.Sequence
	if changed {
		g.set(a)
	}
	return true
}

func (g *Registry) leave(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement)).Decode(&a); err != nil {
		respond(w, http.StatusBadRequest, problem{[]finding{{"body", err.Error()}}})
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.held.Address != a.Address {
		respond(w, http.StatusNotFound, problem{[]finding{{"address", "has not announced itself here"}}})
		return
	}
	g.set(Announcement{})
	respond(w, http.StatusOK, reply{})
}

func (g *Registry) set(a Announcement) {
	g.held = a
	if g.Changed != nil {
		g.Changed(a)
	}
}

func same(a, b Announcement) bool {
	return a.Service == b.Service && a.Address == b.Address && a.Slots == b.Slots &&
		a.Connections == b.Connections && a.MemoryMB == b.MemoryMB && slices.Equal(a.Kinds, b.Kinds) &&
		a.SameLife(b) && a.Draining == b.Draining && a.Capacity == b.Capacity && slices.Equal(a.Labels, b.Labels)
}

func respond(w http.ResponseWriter, status int, body any) {
	text, err := json.Marshal(body)
	if err != nil {
		http.Error(w, fmt.Sprintf("encode the answer: %v", err), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The endpoint may have gone; it will announce itself again.
	_, _ = w.Write(text)
}
