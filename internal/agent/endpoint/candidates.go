package endpoint

import (
	"context"
	"slices"
	"time"
)

const (
	// maxCandidates bounds the announcements that wait for their confirmation.
	maxCandidates = 4
	// maxKnownWriters bounds the writers of ignored announcements that are remembered.
	maxKnownWriters = 16
)

// candidate is the latest announcement of an incarnation that is not confirmed.
type candidate struct {
	announcement Announcement
	expires      time.Time
	stop         context.CancelFunc // ends the confirmation
}

// candidates are the announcements that wait for their confirmation, the one repeated
// least recently first. The zero value has none.
type candidates struct{ all []candidate }

// index returns the position of an incarnation, or -1.
func (c *candidates) index(a Announcement) int {
	return slices.IndexFunc(c.all, func(x candidate) bool { return x.announcement.SameIncarnation(a) })
}

// update replaces the announcement of an incarnation that waits already. It reports
// whether the incarnation waits, and whether the announcement is older than the known one
// and was ignored.
func (c *candidates) update(a Announcement, expires time.Time) (known, older bool) {
	i := c.index(a)
	if i < 0 {
		return false, false
	}
	updated := c.all[i]
	if a.olderThan(updated.announcement) {
		return true, true
	}
	updated.announcement, updated.expires = a, expires
	c.all = append(slices.Delete(c.all, i, i+1), updated)
	return true, false
}

// add adds an incarnation that doesn't wait yet.
func (c *candidates) add(added candidate) {
	if len(c.all) == maxCandidates {
		c.all[0].stop()
		c.all = slices.Delete(c.all, 0, 1)
	}
	c.all = append(c.all, added)
}

// remove removes an incarnation and returns its latest announcement, if it was there.
func (c *candidates) remove(a Announcement) (candidate, bool) {
	i := c.index(a)
	if i < 0 {
		return candidate{}, false
	}
	removed := c.all[i]
	removed.stop()
	c.all = slices.Delete(c.all, i, i+1)
	return removed, true
}

// removeID removes the incarnations of an id.
func (c *candidates) removeID(id string) {
	c.all = slices.DeleteFunc(c.all, func(x candidate) bool {
		if x.announcement.ID == id {
			x.stop()
		}
		return x.announcement.ID == id
	})
}

// IgnoreCause is the reason why an announcement doesn't count.
type IgnoreCause int

//go:generate stringer -type=IgnoreCause -linecomment -output=candidates_string.go

// The values of IgnoreCause.
const (
	IgnoredOlder       IgnoreCause = iota // older
	IgnoredIncarnation                    // incarnation
	IgnoredUnlisted                       // unlisted
	IgnoredService                        // service
)

// Ignored is an announcement that doesn't count: it is older than the current one,
// another incarnation answers at its address, none does, or it names another service than
// the current one of the same incarnation.
type Ignored struct {
	Announcement Announcement
	// Current is the announcement that counts; it has no address if there is none.
	Current Announcement
	Cause   IgnoreCause
	// Err is the error of the confirmation; nil for an older announcement.
	Err error
	// Repeated reports whether an earlier announcement of the incarnation was ignored
	// for the same cause. Only the latest incarnations are remembered.
	Repeated bool
}

// ignoredWriters remembers the incarnations whose announcements were ignored. The zero
// value has none.
type ignoredWriters struct{ latest []Ignored }

// add remembers an ignored announcement, and reports whether it is a repeated one.
func (w *ignoredWriters) add(i Ignored) bool {
	if slices.ContainsFunc(w.latest, func(x Ignored) bool {
		return x.Cause == i.Cause && x.Announcement.SameIncarnation(i.Announcement)
	}) {
		return true
	}
	if len(w.latest) == maxKnownWriters {
		w.latest = slices.Delete(w.latest, 0, 1)
	}
	w.latest = append(w.latest, i)
	return false
}
