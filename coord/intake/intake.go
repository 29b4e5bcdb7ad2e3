// Package intake bounds what clients make a VM hold: connections, and the bytes of the heads and bodies that
// they have sent. It also bounds how long a client may stop while the VM waits for it.
//
// Each client may hold a few bytes that its connection accounts for, so that an ordinary request is never
// refused for lack of room. Beyond them it draws on a budget that all clients share. A part of the budget is out
// of reach for large clients, so that small ones are served while large ones fill theirs.
//
// When the budget or the connections are used up, the client that has made no progress for longest gives way,
// if the VM waits for it and it has been silent for a while. Otherwise the newcomer is refused. A client whose
// request the VM works on never gives way: it would lose a request that may have run.
//
// Table has no clock and does no I/O. It is not safe for concurrent use.
package intake

import "time"

// Phase is what a VM and a client do.
type Phase int

// The phases. In all but Working, the VM waits for the client.
const (
	// Working means that the VM works on a request, or waits for a target.
	Working Phase = iota
	// Idle means that the client has not begun to send a request.
	Idle
	// Head means that the client has sent a part of a head.
	Head
	// Body means that the VM reads a body, or discards one.
	Body
	// Response means that the client does not take the bytes of a response.
	Response
)

// Limits are the limits of a VM.
type Limits struct {
	// Clients is the number of connections.
	Clients int
	// Bytes bounds the sum of what clients hold beyond Free, and LargeBytes the part of it that clients have
	// that hold more than Small.
	Bytes, LargeBytes int64
	// Free is what each client may hold without counting toward the sums, and Small up to what a client is
	// small.
	Free, Small int64
}

// Timeouts bound how long a client may stop. A timeout of 0 is none.
type Timeouts struct {
	// Head bounds the time for a whole head, and Idle that without progress in the other phases.
	Head, Idle time.Duration
}

const (
	// minSilence is the time without progress after which a client may have to give way. It covers a
	// retransmission of a lost packet. minResponseSilence is the same for a client that does not take a response: its
	// request has run.
	minSilence, minResponseSilence = time.Second, 5 * time.Second
	// progressBytes is the number of bytes that count as progress. A client that sends single bytes makes none.
	progressBytes = 1 << 10
	// timeoutMargin is added to the timeouts of clients, for the delays of the network.
	timeoutMargin = time.Second
	// maxExpireGap is the time between two calls of Expire above which the VM itself stood still. What clients sent
	// meanwhile is not read yet.
	maxExpireGap = time.Second
)

// Client is a connection of a client.
type Client struct {
	// Owner is the value that was given to Add.
	Owner any

	phase Phase
	// phaseSince is the start of the phase, and progressAt the time of the last progress in it.
	phaseSince, progressAt time.Time
	// partBytes were moved since the last progress.
	partBytes int64
	// deadline ends the phase; zero: none.
	deadline time.Time
	held     int64
	removed  bool
}

// waits reports whether the VM waits for the client.
func (c *Client) waits() bool { return c.phase != Working }

// Table holds the clients of a VM.
type Table struct {
	limits  Limits
	clients map[*Client]struct{}
	// charged is the sum of what clients hold beyond the free bytes, and large the part of large ones.
	charged, large int64
	// expiredAt is the time of the last call of Expire, and graceUntil the time until which no timeout ends a client.
	expiredAt, graceUntil time.Time
}

// New returns an empty Table.
func New(l Limits) *Table { return &Table{limits: l, clients: map[*Client]struct{}{}} }

// Clients returns the number of clients.
func (t *Table) Clients() int { return len(t.clients) }

// Held returns the bytes that clients hold beyond the free ones.
func (t *Table) Held() int64 { return t.charged }

// Add adds a client that has sent nothing yet. If there are too many, evicted is the one that gives way, which is
// removed, or else the newcomer is not added and ok is false.
func (t *Table) Add(now time.Time, owner any) (c, evicted *Client, ok bool) {
	if t.limits.Clients > 0 && len(t.clients) >= t.limits.Clients {
		if evicted = t.longestSilent(now, func(*Client) bool { return true }); evicted == nil {
			return nil, nil, false
		}
		t.Remove(evicted)
	}
	c = &Client{Owner: owner, phase: Idle, phaseSince: now, progressAt: now}
	t.clients[c] = struct{}{}
	return c, evicted, true
}

// Remove removes a client with all that it holds. It has no effect on one that was removed before.
func (t *Table) Remove(c *Client) {
	if c.removed {
		return
	}
	t.charge(c, 0)
	c.removed = true
	delete(t.clients, c)
}

// Removed reports whether a client was removed.
func (c *Client) Removed() bool { return c.removed }

// Enter begins a phase of a client, which ends at the deadline unless that is zero.
func (t *Table) Enter(now time.Time, c *Client, p Phase, deadline time.Time) {
	c.phase, c.phaseSince, c.progressAt, c.partBytes, c.deadline = p, now, now, 0, deadline
}

// BeginResponse records that the client has to take bytes of a response, and returns the function that ends that.
func (t *Table) BeginResponse(now time.Time, c *Client) (end func(now time.Time)) {
	phase, deadline := c.phase, c.deadline
	t.Enter(now, c, Response, time.Time{})
	return func(now time.Time) { t.Enter(now, c, phase, deadline) }
}

// Received records that bytes of a client arrived. The first bytes of an idle client begin a head.
func (t *Table) Received(now time.Time, c *Client, bytes int) {
	switch c.phase {
	case Idle:
		t.Enter(now, c, Head, time.Time{})
	case Response:
		return // the client is to take bytes, not to send more
	}
	c.partBytes += int64(bytes)
	if c.partBytes >= progressBytes {
		c.progressAt, c.partBytes = now, 0
	}
}

// Hold sets the bytes that a client holds. If there is no room, the clients in evicted give way and are removed. If
// that is not enough, ok is false and the client holds what it held before.
func (t *Table) Hold(now time.Time, c *Client, bytes int64) (evicted []*Client, ok bool) {
	if c.removed {
		return nil, false
	}
	for bytes > c.held {
		victim, fits := t.makeRoom(now, c, bytes)
		if fits {
			break
		}
		if victim == nil {
			return evicted, false
		}
		t.Remove(victim)
		evicted = append(evicted, victim)
	}
	t.charge(c, bytes)
	return evicted, true
}

// makeRoom reports whether a client may hold so many bytes. If not, victim is the client to remove first; nil: none.
func (t *Table) makeRoom(now time.Time, c *Client, bytes int64) (victim *Client, fits bool) {
	charge := t.chargeOf(bytes)
	if charge == 0 {
		return nil, true
	}
	isLarge := bytes > t.limits.Small
	if isLarge && charge > t.limits.LargeBytes {
		return nil, false // no client that gives way would help
	}
	largeOthers := t.large - t.largeChargeOf(c.held)
	if isLarge && largeOthers+charge > t.limits.LargeBytes {
		return t.longestSilent(now, func(o *Client) bool { return o != c && t.largeChargeOf(o.held) > 0 }), false
	}
	if t.charged-t.chargeOf(c.held)+charge > t.limits.Bytes {
		return t.longestSilent(now, func(o *Client) bool { return o != c && t.chargeOf(o.held) > 0 }), false
	}
	return nil, true
}

// longestSilent returns the client that has been silent for longest among those that match; nil: none has for
// long enough.
func (t *Table) longestSilent(now time.Time, match func(*Client) bool) *Client {
	var found *Client
	for c := range t.clients {
		if c.mayGiveWay(now) && (found == nil || c.progressAt.Before(found.progressAt)) && match(c) {
			found = c
		}
	}
	return found
}

// mayGiveWay reports whether the VM has waited for the client for long enough.
func (c *Client) mayGiveWay(now time.Time) bool {
	silence := now.Sub(c.progressAt)
	if c.phase == Response {
		return silence >= minResponseSilence
	}
	return c.waits() && silence >= minSilence
}

func (t *Table) chargeOf(held int64) int64 { return max(held-t.limits.Free, 0) }

// largeChargeOf is chargeOf for large clients, and 0 for small ones.
func (t *Table) largeChargeOf(held int64) int64 {
	if held <= t.limits.Small {
		return 0
	}
	return t.chargeOf(held)
}

func (t *Table) charge(c *Client, held int64) {
	t.charged += t.chargeOf(held) - t.chargeOf(c.held)
	t.large += t.largeChargeOf(held) - t.largeChargeOf(c.held)
	c.held = held
}

// Expire removes and returns the clients that have stopped for too long. It must be called several times per second.
func (t *Table) Expire(now time.Time, timeouts Timeouts) (expired []*Client) {
	if gap := now.Sub(t.expiredAt); gap > maxExpireGap && !t.expiredAt.IsZero() {
		t.graceUntil = now.Add(gap)
	}
	t.expiredAt = now
	if now.Before(t.graceUntil) {
		timeouts = Timeouts{}
	}
	for c := range t.clients {
		if c.hasExpired(now, timeouts) {
			expired = append(expired, c)
			t.Remove(c)
		}
	}
	return expired
}

func (c *Client) hasExpired(now time.Time, timeouts Timeouts) bool {
	if !c.waits() {
		return false
	}
	if !c.deadline.IsZero() && !now.Before(c.deadline) {
		return true
	}
	if c.phase == Head {
		return timeouts.Head > 0 && now.Sub(c.phaseSince) > timeouts.Head+timeoutMargin
	}
	return timeouts.Idle > 0 && now.Sub(c.progressAt) > timeouts.Idle+timeoutMargin
}

// Phase returns the phase of a client.
func (c *Client) Phase() Phase { return c.phase }
