// Package pause waits between attempts.
package pause

import (
	"context"
	"time"
)

// For waits until d has passed or ctx ends, and returns ctx's error.
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
