// Package pause provides a sleep that a context can interrupt.
package pause

import (
	"context"
	"time"
)

// For waits until d has passed, and returns nil, or until ctx ends, and returns
// ctx's error.
func For(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
