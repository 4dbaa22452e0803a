package endpoint

import (
	"slices"
	"strconv"

	"github.com/savorystair/savorystair/internal/task/resources"
)

// Announcement is an endpoint's description of itself. If Connections is 0,
// only the slots limit the number of tasks at once; if Kinds is empty, the
// endpoint runs tasks of every kind; if MemoryMB is 0, it runs tasks of any
// memory size.
type Announcement struct {
	Service     string   `json:"service"`
	Address     string   `json:"address"`
	Slots       int      `json:"slots"`
	Connections int      `json:"connections,omitempty"`
	Kinds       []string `json:"kinds,omitempty"`
	MemoryMB    int      `json:"memory_mb,omitempty"`
	// Labels are the names that tasks can require of their endpoint.
	Labels []string `json:"labels,omitempty"`
	// Capacity limits the sum of the resources of the running tasks; zero means
	// that only slots are counted.
	Capacity resources.Resources `json:"-"`
	// ID and StartedMS identify one incarnation of the endpoint, and Sequence
	// orders its announcements. If StartedMS is 0, announcements are not
	// ordered.
	ID        string `json:"-"`
	StartedMS int64  `json:"-"` // Unix milliseconds
	Sequence  int64  `json:"-"`
	// Draining reports that the endpoint takes no new tasks.
	Draining bool `json:"-"`
}

// SameIncarnation reports whether two announcements come from one incarnation
// of an endpoint.
func (a Announcement) SameIncarnation(b Announcement) bool {
	return a.Address == b.Address && a.ID == b.ID && a.StartedMS == b.StartedMS
}

// SameState reports whether two announcements of one incarnation of an endpoint say the
// same.
func (a Announcement) SameState(b Announcement) bool {
	return a.SameIncarnation(b) && a.RunsSameTasks(b) && a.Slots == b.Slots && a.Connections == b.Connections &&
		a.Draining == b.Draining && a.Capacity == b.Capacity
}

// RunsSameTasks reports whether two announcements allow the same tasks, apart from how
// many run at once.
func (a Announcement) RunsSameTasks(b Announcement) bool {
	return a.Service == b.Service && a.MemoryMB == b.MemoryMB && slices.Equal(a.Kinds, b.Kinds) && slices.Equal(a.Labels, b.Labels)
}

// Incarnation returns the Listing.Incarnation of the announced endpoint, or "" if the
// announcement does not have the start time.
func (a Announcement) Incarnation() string {
	if a.StartedMS == 0 {
		return ""
	}
	return strconv.FormatInt(a.StartedMS, 10)
}

// olderThan reports whether an announcement was made before b by the same
// incarnation of the endpoint, or by an earlier one.
func (a Announcement) olderThan(b Announcement) bool {
	if a.StartedMS != b.StartedMS {
		return a.StartedMS < b.StartedMS
	}
	return a.ID == b.ID && a.Sequence < b.Sequence
}

// MaxConcurrentTasks returns how many tasks the endpoint takes at once.
func (a Announcement) MaxConcurrentTasks() int {
	if a.Connections > 0 {
		return min(a.Slots, a.Connections)
	}
	return a.Slots
}
