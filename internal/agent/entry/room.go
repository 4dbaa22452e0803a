package entry

import (
	"math"
	"slices"
	"time"

	"github.com/savorystair/savorystair/internal/task/resources"
)

// avgTaskCPUWeight is the weight of a new task in the moving average of the
// processor need of tasks.
const avgTaskCPUWeight = 0.1

// updateAvgTaskCPU adds the need of a task to the moving average.
func (s *State) updateAvgTaskCPU(need resources.Resources) {
	if need.CPUMilli <= 0 {
		return
	}
	if s.avgTaskCPUMilli == 0 {
		s.avgTaskCPUMilli = float64(need.CPUMilli)
	}
	s.avgTaskCPUMilli += avgTaskCPUWeight * (float64(need.CPUMilli) - s.avgTaskCPUMilli)
}

// slots returns how many tasks the endpoint runs at once. For an endpoint that
// counts resources it is estimated from the average need of tasks.
func (s *State) slots() int {
	if s.endpoint.Capacity.CPUMilli == 0 || s.avgTaskCPUMilli == 0 {
		return s.endpoint.Slots
	}
	return max(1, int(float64(s.endpoint.Capacity.CPUMilli)/s.avgTaskCPUMilli))
}

// freeResources returns the capacity less the needs of the queued and running
// tasks.
func (s *State) freeResources() resources.Resources {
	free := s.endpoint.Capacity.Without(s.usedResources)
	for _, r := range s.queue {
		free = free.Without(r.needs)
	}
	return free
}

func (s *State) queueCap() int {
	return int(math.Ceil(float64(s.slots()) * s.opts.QueuePerSlot))
}

// offerTimeout is how long offered room is reserved for an entry.
const offerTimeout = 30 * time.Millisecond

// sharingWindow is how long after its last start, or the opening of its link, an
// entry counts among those that share the agent's room. After all hosts lost power,
// all entries have work at once.
const sharingWindow = 500 * time.Millisecond

// roomFor returns how many more starts of a link's entry are accepted now. Room
// that is offered to other entries is excluded; for a nil link, all offered room
// is.
func (s *State) roomFor(l *link) int {
	room := s.slots() + s.queueCap() - s.runningCount - len(s.queue)
	for _, other := range s.openLinks {
		if other != l {
			room -= other.offeredStarts
		}
	}
	return room
}

// shareOf returns the room that is reported to a link's entry. Room that is not
// offered is divided among the entries that sent starts recently, so that
// together they don't send more starts than the agent accepts.
func (s *State) shareOf(l *link, now time.Duration) int {
	if l.released {
		return 0
	}
	sharers := 1
	for _, other := range s.openLinks {
		if other != l && now-other.lastStart < sharingWindow {
			sharers++
		}
	}
	free := max(0, s.roomFor(l)-l.offeredStarts)
	return l.offeredStarts + (free+sharers-1)/sharers
}

// queueForOffer records that a start was refused for lack of room, and queues
// the link for an offer. Entries don't coordinate their retries; offers keep them from
// retrying all at once.
func (s *State) queueForOffer(now time.Duration, l *link, u urgency) {
	if len(l.refused) == 0 {
		s.awaitOffer(now, l)
	}
	l.addRefused(u)
}

func (s *State) awaitOffer(now time.Duration, l *link) {
	l.waitsSince = now
	s.offerQueue = append(s.offerQueue, l)
}

// useRoom records an accepted start, which uses an offered place if there is
// one.
func (l *link) useRoom(now time.Duration) {
	l.lastStart = now
	if l.offeredStarts > 0 {
		l.offeredStarts--
	}
}

// offerRoom reserves free places for the entries whose starts were refused, the most
// urgent start first, and sends each a message. Entries with equally urgent starts are
// offered places in turn. Offers that were not used by their expiry are withdrawn.
func (s *State) offerRoom(now time.Duration) {
	for _, l := range s.openLinks {
		if l.offeredStarts > 0 && now >= l.offerExpiry {
			l.offeredStarts = 0
		}
	}
	for len(s.offerQueue) > 0 && s.roomFor(nil) > 0 {
		i := s.nextOffer(now)
		l := s.offerQueue[i]
		s.offerQueue = slices.Delete(s.offerQueue, i, i+1)
		l.refused = l.refused[1:]
		l.offeredStarts++
		l.offerExpiry = now + offerTimeout
		if len(l.refused) > 0 {
			s.awaitOffer(now, l)
		}
		s.pendingMessage(l)
	}
}
