// Package clock reads a monotonic clock that also advances while the host is
// suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the host was booted. Unlike the monotonic
// clock of package time, it includes the time for which the host was suspended.
func SinceBoot() time.Duration { return read(unix.CLOCK_BOOTTIME) }
