// Package quarantine finds requests that end their targets, and keeps them from further ones.
//
// Some content makes the process that works on it crash. Sent on by our own attempts, by
// resumed streams and by callers who ask again under a new id, it would walk through the fleet,
// one target after the other, and cut what runs beside it each time. A request is known by a
// digest of what it asks, without what differs between attempts. Evidence is which digests
// were under way when a target ended:
//
//   - a target has ended if at least half of what ran there broke off within settleTime; single
//     broken answers are lost ones;
//   - content that ended well lately is innocent, whatever it was beside, until targets have
//     ended under two of its requests one after the other and none ended well in between;
//   - content under which one target ended is suspect: one such request runs at a time over the
//     whole fleet, at a target where no other suspect runs, until it ends well;
//   - content under which three ended is held, or two if nothing else that may be guilty ran
//     there: refused at once, for holdTime. Then one request may try; a further end holds it for
//     the longest time.
//
// An innocent request beside a guilty one is suspect as well. It is hurt only if its very
// content is asked for twice at once, or if it breaks off a second time and is asked for a
// third time: callers come back once.
//
// Table has no clock and does no I/O. It is not safe for concurrent use. The VM that decides
// keeps it and tells the others what it finds, so that the next one goes on from there.
package quarantine

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// Digest stands for what a request asks; the zero value for none.
type Digest [16]byte

// Key names a request.
type Key = coord.RequestKey

// Figures of evidence.
const (
	// settleTime is how long what ran at a target may take to break off with it: connections
	// are reset at once, and word of it takes some ms.
	settleTime = 300 * time.Millisecond
	// brokenShare of what ran at a target must have broken off by then.
	brokenShare = 0.5
	// heldAfter so many targets content is held; one less is enough where it alone can be the
	// cause. With one less always, contents that many ask for and that ran beside guilty ones as
	// these were new were held in 5 of 30 played fleets (TestRandomFleets).
	heldAfter = 3
	// suspectTime is how long suspicion lasts without anything new: a caller's longest wait,
	// many times.
	suspectTime = 10 * time.Minute
	// holdTime is for how long content is held, and longHold after its third end: long enough
	// for somebody to look, and not for ever, since targets are mended.
	holdTime = 10 * time.Minute
	longHold = 24 * time.Hour
	// probation is the first hold of content that ended well before: its targets may have ended
	// for another cause.
	probation = 10 * time.Second
	// maxContents bounds the suspects; the half that matters least goes when it is reached.
	// maxInnocent bounds the contents that ended well: some minutes of a heavy day. 24 bytes and
	// a map's place each.
	maxContents = 4096
	maxInnocent = 16384
	// trialTime is how long the one request of suspect content may take before another may
	// try: its VM may have died.
	trialTime = 20 * time.Second
	// endGrace is how long after its deadline a request counts as under way whose end nobody tells:
	// its VM's word may be lost.
	endGrace = 500 * time.Millisecond
	// forgetGap is the time between two looks for what is to be forgotten, which go over all runs.
	forgetGap = 200 * time.Millisecond
	// pause is when to come back while another request of suspect content runs.
	pause = 500 * time.Millisecond
)

// Reasons of refusals.
const (
	// ReasonBlocked: targets ended under this content.
	ReasonBlocked = "content_held"
	// ReasonSuspect: a target ended under this content, and another such request runs.
	ReasonSuspect = "content_suspect"
)

// content is what is known of one digest.
type content struct {
	// targets that ended under it.
	targets []string
	since   time.Time
	last    time.Time
	// heldUntil is zero for suspects.
	heldUntil time.Time
	// ranWell says that it ended well before, and trusted that one end is not enough to suspect it.
	ranWell, trusted bool
	// trial is the request that runs as the only one, from trialAt on.
	trial   Key
	trialAt time.Time
}

// run is a request that is under way.
type run struct {
	digest Digest
	target string
	// began is when it was sent, as far as is known here, and until its deadline.
	began, until time.Time
}

// incident is what broke off at one target.
type incident struct {
	at     time.Time
	ran    int
	broken []run
}

// Table is what one VM knows.
type Table struct {
	contents  map[Digest]*content
	innocent  recent
	runs      map[Key]run
	atTarget  map[string]int
	running   map[Digest]int
	incidents map[string]*incident
	// forgotAt is when the last such look was.
	forgotAt time.Time
}

// New returns an empty Table.
func New() *Table {
	return &Table{
		contents: map[Digest]*content{}, innocent: recent{now: map[Digest]bool{}},
		runs: map[Key]run{}, atTarget: map[string]int{}, running: map[Digest]int{}, incidents: map[string]*incident{},
	}
}

// Check reports whether a request may run now; else why not, and when to come back.
func (t *Table) Check(now time.Time, key Key, d Digest) (reason string, retry time.Duration) {
	c := t.suspect(d)
	if c == nil {
		return "", 0
	}
	if left := c.heldUntil.Sub(now); left > 0 {
		return ReasonBlocked, left
	}
	unsettled := t.unsettled(d)
	if t.running[d] > 0 || unsettled > 0 && len(c.targets)+unsettled >= heldAfter {
		return ReasonSuspect, pause
	}
	if c.trial != (Key{}) && c.trial != key && now.Sub(c.trialAt) < trialTime {
		return ReasonSuspect, pause
	}
	c.trial, c.trialAt = key, now
	return "", 0
}

// suspect returns what is known of a content that is suspect or held, or nil.
func (t *Table) suspect(d Digest) *content {
	if c := t.contents[d]; c != nil && !c.trusted {
		return c
	}
	return nil
}

// unsettled counts the targets that may just have ended under a content.
func (t *Table) unsettled(d Digest) int {
	n := 0
	for _, inc := range t.incidents {
		if slices.ContainsFunc(inc.broken, func(r run) bool { return r.digest == d }) {
			n++
		}
	}
	return n
}

// TargetsToAvoid lists the targets where suspects run: a suspect that ran beside another one would
// share its guilt.
func (t *Table) TargetsToAvoid(d Digest) (targets []string) {
	if t.suspect(d) == nil {
		return nil
	}
	for _, c := range t.contents {
		if r, runs := t.runs[c.trial]; runs {
			targets = append(targets, r.target)
		}
	}
	return targets
}

// CheckWithoutLeader is Check for a VM that nobody gives verdicts: it cannot know of other requests of
// suspect content, so none may run.
func (t *Table) CheckWithoutLeader(now time.Time, d Digest) (reason string, retry time.Duration) {
	c := t.suspect(d)
	switch {
	case c == nil:
		return "", 0
	case c.heldUntil.After(now):
		return ReasonBlocked, c.heldUntil.Sub(now)
	}
	return ReasonSuspect, pause
}

// RequestStarted takes that a request is sent to a target, with its deadline.
func (t *Table) RequestStarted(now time.Time, key Key, d Digest, target string, until time.Time) {
	if _, told := t.runs[key]; told || d == (Digest{}) {
		return
	}
	t.runs[key] = run{digest: d, target: target, began: now, until: until}
	t.atTarget[target]++
	t.running[d]++
}

// RequestEnded takes the end of a request: whether it was answered well, or broke off with its
// connection. Any other end says nothing.
func (t *Table) RequestEnded(now time.Time, key Key, well, broke bool) {
	r, known := t.runs[key]
	if !known {
		t.freeTrial(key)
		return
	}
	ran := t.atTarget[r.target]
	t.forget(key, r)
	switch {
	case well:
		t.innocent.add(r.digest)
		delete(t.contents, r.digest)
	case broke:
		inc := t.incidents[r.target]
		if inc == nil {
			inc = &incident{at: now, ran: ran}
			t.incidents[r.target] = inc
		}
		inc.broken = append(inc.broken, r)
		t.expectEnd(now, r.digest)
	}
	t.freeTrial(key)
}

// expectEnd makes content suspect until it is known whether its target ended: an attempt that
// goes on with a broken stream comes at once, and is the one that may run.
func (t *Table) expectEnd(now time.Time, d Digest) {
	if t.contents[d] == nil && !t.innocent.has(d) {
		t.add(d, &content{since: now, last: now})
	}
}

func (t *Table) forget(key Key, r run) {
	delete(t.runs, key)
	if t.atTarget[r.target]--; t.atTarget[r.target] <= 0 {
		delete(t.atTarget, r.target)
	}
	if t.running[r.digest]--; t.running[r.digest] <= 0 {
		delete(t.running, r.digest)
	}
}

// freeTrial lets another request of suspect content run.
func (t *Table) freeTrial(key Key) {
	for _, c := range t.contents {
		if c.trial == key {
			c.trial = Key{}
		}
	}
}

// ForgetVM forgets what a VM ran that is silent.
func (t *Table) ForgetVM(vm coord.VMID, before uint64) {
	for key, r := range t.runs {
		if key.VM == vm && key.Ticket < before {
			t.forget(key, r)
			t.freeTrial(key)
		}
	}
}
