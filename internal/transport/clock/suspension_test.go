package clock_test

import (
	"testing"
	"time"

	"github.com/savorystair/savorystair/internal/transport/clock"
)

// Guards against requests that count as new although the host was suspended after they
// had arrived: the kernel's age of a request leaves the suspension out.
func TestSuspensions(t *testing.T) {
	const boot = time.Hour // by which the clocks differ from the start
	at := func(running, suspended time.Duration) clock.Reading {
		return clock.Reading{Running: running, SinceBoot: boot + running + suspended}
	}
	var s clock.Suspensions
	for _, now := range []clock.Reading{
		at(10*time.Second, 0), at(11*time.Second, time.Millisecond),
		at(12*time.Second, 3*time.Second), at(11*time.Second, time.Millisecond), at(14*time.Second, 3*time.Second),
		at(15*time.Second, 5*time.Second),
	} {
		s.Observe(now)
	}
	now := at(16*time.Second, 5*time.Second)
	for _, tt := range []struct{ running, want time.Duration }{
		{0, 0},
		{500 * time.Millisecond, 500 * time.Millisecond},
		{2 * time.Second, 2*time.Second + 2*time.Second},
		{5 * time.Second, 5*time.Second + 2*time.Second + 2999*time.Millisecond},
	} {
		if got := now.SinceBoot - s.SinceBoot(now, tt.running); got != tt.want {
			t.Errorf("%s before without suspensions: %s before, want %s", tt.running, got, tt.want)
		}
	}
}

// The clocks of a host that isn't suspended agree.
func TestReadWithoutSuspension(t *testing.T) {
	var s clock.Suspensions
	for range 20 {
		s.Observe(clock.Read())
		time.Sleep(time.Millisecond)
	}
	now := clock.Read()
	if got := now.SinceBoot - s.SinceBoot(now, time.Second); got != time.Second {
		t.Errorf("%s, want 1s", got)
	}
}
