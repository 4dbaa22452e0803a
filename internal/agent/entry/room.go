package entry

import "time"

// offerTimeout is how long room is kept for an entry that was offered it.
const offerTimeout = 30 * time.Millisecond

// sharedFor is how long after its last start an entry counts among those that
// share an agent's room.
const sharedFor = 500 * time.Millisecond

// roomFor returns how many more starts of a link's entry are taken now. What is
// offered to others is not among it.
func (s *State) roomFor(l *link) int {
	room := s.endpoint.Slots + s.queueCap() - s.running - len(s.queue)
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
