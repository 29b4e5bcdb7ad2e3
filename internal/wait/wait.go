// Package wait holds waits that end with a context.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false when the context ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
