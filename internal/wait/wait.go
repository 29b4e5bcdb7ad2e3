// Package wait provides waits that end with a context.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d. It returns false if the context ended first.
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
