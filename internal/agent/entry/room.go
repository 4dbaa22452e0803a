package entry

import (
	"math"
	"time"

	"github.com/savorystair/savorystair/internal/task/resources"
)

// usualWeight is the share of a new task in the moving average of what tasks
// take.
const usualWeight = 0.1

// sized notes what a task takes.
func (s *State) sized(need resources.Resources) {
	if need.CPUMilli <= 0 {
		return
	}
	if s.usual == 0 {
		s.usual = float64(need.CPUMilli)
	}
	s.usual += usualWeight * (float64(need.CPUMilli) - s.usual)
}

// slots returns how many tasks the endpoint takes at once. For one that counts
// resources it is an estimate from what tasks usually take.
func (s *State) slots() int {
	if s.endpoint.Capacity.CPUMilli == 0 || s.usual == 0 {
		return s.endpoint.Slots
	}
	return max(1, int(float64(s.endpoint.Capacity.CPUMilli)/s.usual))
}

// fits reports whether the endpoint has room for a task now.
func (s *State) fits(need resources.Resources) bool {
	if s.endpoint.Capacity.IsZero() {
		return s.running < s.endpoint.Slots
	}
	return s.endpoint.Capacity.Without(s.used).Holds(need)
}

// free returns what the queued and running tasks leave of the capacity.
func (s *State) free() resources.Resources {
	free := s.endpoint.Capacity.Without(s.used)
	for _, r := range s.queue {
		free = free.Without(r.need)
	}
	return free
}

func (s *State) queueCap() int {
	return int(math.Ceil(float64(s.slots()) * s.opts.QueuePerSlot))
}

// offerTimeout is how long room is kept for an entry that was offered it.
const offerTimeout = 30 * time.Millisecond

// sharedFor is how long after its last start an entry counts among those that
// share an agent's room.
const sharedFor = 500 * time.Millisecond

// roomFor returns how many more starts of a link's entry are taken now. What is
// offered to others is not among it.
func (s *State) roomFor(l *link) int {
	room := s.slots() + s.queueCap() - s.running - len(s.queue)
	for _, other := range s.links {
		if other != l {
			room -= other.offered
		}
	}
	return room
}

// shareOf returns the part of the room that a link's entry is told of: entries
// that sent starts lately share what isn't offered, so that together they
// don't send more than there is.
func (s *State) shareOf(l *link, now time.Duration) int {
	sharers := 1
	for _, other := range s.links {
		if other != l && now-other.used < sharedFor {
			sharers++
		}
	}
	free := max(0, s.roomFor(l)-l.offered)
	return l.offered + (free+sharers-1)/sharers
}

// starve notes that a start of a link's entry found no room. The entry is told
// when there is some, in its turn, so that entries that know nothing of one
// another don't all try again.
func (s *State) starve(l *link) {
	if l.wanted == 0 {
		s.starved = append(s.starved, l)
	}
	l.wanted++
}

// take uses up one place, an offered one first.
func (l *link) take(now time.Duration) {
	l.used = now
	if l.offered > 0 {
		l.offered--
	}
}

// offer keeps free places for the entries whose starts were refused, in turn,
// and tells them. Offers that were not used in time lapse.
func (s *State) offer(now time.Duration) {
	for _, l := range s.links {
		if l.offered > 0 && now >= l.until {
			l.offered = 0
		}
	}
	for len(s.starved) > 0 && s.roomFor(nil) > 0 {
		l := s.starved[0]
		s.starved = s.starved[1:]
		l.wanted--
		l.offered++
		l.until = now + offerTimeout
		if l.wanted > 0 {
			s.starved = append(s.starved, l)
		}
		s.message(l)
	}
}
