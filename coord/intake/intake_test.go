package intake

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_000_000, 0)

// testLimits are small limits: three clients may hold 100 bytes beyond 10 each, and large ones 80 of them.
var testLimits = Limits{Clients: 3, Bytes: 100, LargeBytes: 80, Free: 10, Small: 30}

func add(t *testing.T, table *Table, now time.Time) *Client {
	t.Helper()
	c, _, ok := table.Add(now, nil)
	assert.Assert(t, ok)
	return c
}

func hold(table *Table, now time.Time, c *Client, bytes int64) bool {
	_, ok := table.Hold(now, c, bytes)
	return ok
}

// TestSumOfBytesIsUnbounded guards against clients that hold more together than a VM has.
func TestSumOfBytesIsUnbounded(t *testing.T) {
	table := New(testLimits)
	a, b := add(t, table, start), add(t, table, start)
	table.Enter(start, a, Body, time.Time{})
	table.Enter(start, b, Body, time.Time{})
	assert.Assert(t, hold(table, start, a, 60))
	assert.Assert(t, !hold(table, start, b, 60), "both made progress")
	assert.Equal(t, table.Held(), int64(50))
	table.Remove(a)
	assert.Assert(t, hold(table, start, b, 60))
}

// TestLargeClientsShutOutSmallOnes guards against large clients that take all of the budget.
func TestLargeClientsShutOutSmallOnes(t *testing.T) {
	table := New(testLimits)
	a, b := add(t, table, start), add(t, table, start)
	assert.Assert(t, hold(table, start, a, 90))
	assert.Assert(t, hold(table, start, b, 30), "the rest is for small clients")
	assert.Assert(t, !hold(table, start, b, 31))
	assert.Assert(t, hold(table, start, add(t, table, start), 10), "what a connection accounts for is never refused")
}

// TestSilentClientsHoldTheBudget guards against newcomers that are refused while others hold bytes and send nothing.
func TestSilentClientsHoldTheBudget(t *testing.T) {
	table := New(testLimits)
	working, silent, newcomer := add(t, table, start), add(t, table, start), add(t, table, start)
	assert.Assert(t, hold(table, start, working, 90) && hold(table, start, silent, 30))
	table.Enter(start, working, Working, time.Time{})
	table.Enter(start, silent, Body, time.Time{})
	table.Enter(start, newcomer, Body, time.Time{})
	now := start.Add(minSilence - 1)
	assert.Assert(t, !hold(table, now, newcomer, 30), "a short pause is no reason to give way")
	now = start.Add(minSilence)
	evicted, ok := table.Hold(now, newcomer, 30)
	assert.Assert(t, ok)
	assert.Assert(t, len(evicted) == 1 && evicted[0] == silent)
	assert.Assert(t, silent.Removed() && !hold(table, now, silent, 1))
	table.Received(now, newcomer, progressBytes)
	other := add(t, table, now)
	assert.Assert(t, !hold(table, now, other, 30), "a request that may run never gives way")
	assert.Assert(t, !hold(table, now.Add(time.Hour), newcomer, 40), "small clients make no room for large ones")
}

// TestSilentClientsHoldTheConnections guards against newcomers that are turned away while others keep connections open
// and send nothing.
func TestSilentClientsHoldTheConnections(t *testing.T) {
	table := New(testLimits)
	first, second := add(t, table, start), add(t, table, start.Add(time.Second))
	table.Enter(start, add(t, table, start), Working, time.Time{})
	_, _, ok := table.Add(start.Add(minSilence-1), nil)
	assert.Assert(t, !ok, "all have just come")
	now := start.Add(time.Minute)
	table.Received(now, first, progressBytes)
	_, evicted, ok := table.Add(now, nil)
	assert.Assert(t, ok && evicted == second, "the other one made progress")
	assert.Equal(t, table.Clients(), testLimits.Clients)
}

// TestSingleBytesCountAsProgress guards against clients that keep their place with a byte from time to time.
func TestSingleBytesCountAsProgress(t *testing.T) {
	table := New(testLimits)
	c := add(t, table, start)
	table.Enter(start, c, Body, time.Time{})
	now := start
	for range 20 {
		now = now.Add(time.Second)
		table.Received(now, c, 1)
		table.Expire(now, Timeouts{Idle: 10 * time.Second})
	}
	assert.Assert(t, c.Removed())
}

// TestSlowClientsAreKept guards against a limit that ends a client which makes progress.
func TestSlowClientsAreKept(t *testing.T) {
	table := New(testLimits)
	c := add(t, table, start)
	table.Enter(start, c, Body, start.Add(time.Hour))
	now := start
	for range 100 {
		for range 9 {
			now = now.Add(time.Second)
			assert.Equal(t, len(table.Expire(now, Timeouts{Head: time.Second, Idle: 10 * time.Second})), 0)
		}
		table.Received(now, c, progressBytes)
	}
	assert.Equal(t, len(table.Expire(start.Add(time.Hour), Timeouts{})), 1, "its own deadline ends it")
}

// TestStoppedClientsAreKept guards against clients that stop for good in any phase in which the VM waits for them.
func TestStoppedClientsAreKept(t *testing.T) {
	timeouts := Timeouts{Head: 3 * time.Second, Idle: 10 * time.Second}
	for phase, timeout := range map[Phase]time.Duration{Idle: timeouts.Idle, Head: timeouts.Head, Body: timeouts.Idle, Response: timeouts.Idle} {
		table := New(testLimits)
		c := add(t, table, start)
		table.Enter(start, c, phase, time.Time{})
		end := start.Add(timeout + timeoutMargin)
		assert.Equal(t, len(table.Expire(end, timeouts)), 0)
		assert.Equal(t, len(table.Expire(end.Add(1), timeouts)), 1)
		assert.Equal(t, table.Clients(), 0)
	}
	table := New(testLimits)
	c := add(t, table, start)
	table.Enter(start, c, Working, start)
	assert.Equal(t, len(table.Expire(start.Add(time.Hour), timeouts)), 0, "a request that may have run is not given up")
}

// TestBytesOfHeadsAreProgressWithoutEnd guards against heads that arrive without end.
func TestBytesOfHeadsAreProgressWithoutEnd(t *testing.T) {
	table := New(testLimits)
	c := add(t, table, start)
	now := start
	for range 5 {
		table.Received(now, c, progressBytes)
		now = now.Add(time.Second)
	}
	assert.Equal(t, c.Phase(), Head)
	assert.Equal(t, len(table.Expire(now, Timeouts{Head: 3 * time.Second, Idle: time.Hour})), 1)
}

// TestStandstillOfVMEndsClients guards against a VM that was suspended and takes its own standstill for that of its
// clients.
func TestStandstillOfVMEndsClients(t *testing.T) {
	timeouts := Timeouts{Head: 3 * time.Second, Idle: 10 * time.Second}
	table := New(testLimits)
	c := add(t, table, start)
	table.Enter(start, c, Body, time.Time{})
	assert.Equal(t, len(table.Expire(start, timeouts)), 0)
	now := start.Add(time.Minute)
	assert.Equal(t, len(table.Expire(now, timeouts)), 0)
	table.Received(now, c, progressBytes)
	now = now.Add(maxExpireGap)
	assert.Equal(t, len(table.Expire(now, timeouts)), 0)
	for range 70 {
		now = now.Add(maxExpireGap)
		table.Expire(now, timeouts)
	}
	assert.Assert(t, c.Removed(), "it went on to be silent")
}

// TestUnreadResponseIsCutEarly guards against callers that lose the response to a request that has run, because they
// paused for as long as a newcomer may not.
func TestUnreadResponseIsCutEarly(t *testing.T) {
	table := New(testLimits)
	c := add(t, table, start)
	table.Enter(start, c, Working, time.Time{})
	end := table.BeginResponse(start, c)
	table.Received(start.Add(time.Second), c, progressBytes)
	for range testLimits.Clients - 1 {
		table.Enter(start, add(t, table, start), Working, time.Time{})
	}
	_, _, ok := table.Add(start.Add(minResponseSilence-1), nil)
	assert.Assert(t, !ok)
	_, evicted, ok := table.Add(start.Add(minResponseSilence), nil)
	assert.Assert(t, ok && evicted == c)
	end(start)
	assert.Equal(t, c.Phase(), Working)
}
