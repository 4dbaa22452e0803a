package clock

import (
	"fmt"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// minSuspension is the smallest difference of the clocks that counts as a
	// suspension; both run at the same rate otherwise.
	minSuspension = 10 * time.Millisecond
	// maxReadTime is the longest time between the readings of the clocks that are
	// compared.
	maxReadTime = time.Millisecond
	// maxSuspensions bounds the suspensions that are remembered.
	maxSuspensions = 16
)

// Reading is a reading of two monotonic clocks, of which only the second advances while
// the host is suspended.
type Reading struct{ Running, SinceBoot time.Duration }

// Read reads both clocks.
func Read() Reading {
	for {
		before, boot, after := read(unix.CLOCK_MONOTONIC), SinceBoot(), read(unix.CLOCK_MONOTONIC)
		// The process may have been interrupted between the readings.
		if after-before <= maxReadTime {
			return Reading{after, boot}
		}
	}
}

func read(clock int32) time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(clock, &ts); err != nil {
		panic(fmt.Sprintf("clock: clock %d can't be read: %v", clock, err))
	}
	return time.Duration(ts.Nano())
}

// Suspensions remembers the latest suspensions of the host, as far as Observe sees them.
// The zero value remembers none.
type Suspensions struct {
	mu     sync.Mutex
	last   Reading
	latest []suspension
}

// suspension is a time for which the host was suspended.
type suspension struct {
	until  time.Duration // the running clock when it was seen
	length time.Duration
}

// Observe compares the clocks with those of the call before. A suspension counts as
// having ended at the first call after it. Readings from before that call are ignored.
func (s *Suspensions) Observe(now Reading) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.SinceBoot < s.last.SinceBoot {
		return
	}
	length := now.SinceBoot - s.last.SinceBoot - (now.Running - s.last.Running)
	if s.last != (Reading{}) && length >= minSuspension {
		if len(s.latest) == maxSuspensions {
			s.latest = s.latest[1:]
		}
		s.latest = append(s.latest, suspension{now.Running, length})
	}
	s.last = now
}

// SinceBoot returns the reading of the clock of SinceBoot at a time that lies running
// before now on the other clock.
func (s *Suspensions) SinceBoot(now Reading, running time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now.SinceBoot - running
	for _, x := range s.latest {
		if now.Running-running < x.until {
			at -= x.length
		}
	}
	return at
}
