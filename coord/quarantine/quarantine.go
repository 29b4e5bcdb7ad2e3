// Package quarantine detects requests that crash their targets, and keeps them away from further
// targets.
//
// Some content crashes the process that works on it. Retries by this system, resumed streams and
// callers that retry under a new request ID would send it to one target after the other, and each
// crash would also break the requests that run beside it. A request is identified by a digest of
// its content, without the parts that differ between attempts. The evidence is which digests were
// in flight when a target crashed:
//
//   - A target counts as crashed if at least half of the requests in flight there were disconnected
//     within crashSettleTime. Fewer broken responses count as lost connections. So do those of a VM
//     that lost its paths to several targets, which go on for others (witness.go).
//     A crash counts at once, and is withdrawn when the target turns out to be running (confirm.go).
//   - Content that recently succeeded is known good, whatever it ran beside, until targets have
//     crashed under two of its requests, one after the other, without a success in between.
//   - Content under which one target crashed is suspect. Only one such request runs at a time in
//     the whole fleet, at a target where no other suspect runs, until one succeeds.
//   - Content under which three targets crashed is blocked: its requests are refused at once for
//     blockDuration. Two targets suffice if all other content that the second crash disconnected
//     is known good. After the block, one request may run as a trial; another crash blocks the
//     content for repeatBlockDuration.
//   - Content with a common prompt part of its own (Part) is blocked together if three targets crashed
//     under at least two such contents, and none with that part recently succeeded.
//   - Requests with a common part inside the prompt are judged by package promptpart. Crashes that a
//     blocked part explains are no evidence against contents.
//
// A harmless request beside a crashing one becomes suspect as well. It is affected only if the same
// content is requested twice at once, or if it is disconnected a second time and requested a third
// time; callers retry once.
//
// Table has no clock and does no I/O. It is not safe for concurrent use. The leader keeps it and
// sends its findings to the other VMs, so that the next leader starts with them.
package quarantine

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/promptpart"
	"github.com/junctionfold/junctionfold/coord/witness"
)

// Digest identifies the content of a request; the zero value means no content. Its first 16 bytes
// differ for any two contents, the rest identifies the request's own prompt part (see Part).
type Digest [16 + len(Part{})]byte

// Key identifies a request.
type Key = coord.RequestKey

// Thresholds, durations and bounds of the evidence.
const (
	// crashSettleTime is how long after the first disconnect at a target the others may follow.
	// Connections are reset at once, and their reports take some milliseconds.
	crashSettleTime = 300 * time.Millisecond
	// minDisconnectedShare is the share of the requests in flight at a target that must have been
	// disconnected by then for the target to count as crashed.
	minDisconnectedShare = 0.5
	// blockAfterCrashes is the number of crashed targets after which content is blocked. One less
	// suffices where all other content that the last crash disconnected is known good. With one
	// less in all cases, popular content that ran beside crashing content while the latter was new
	// was blocked in 5 of 30 simulated fleets (TestRandomFleets).
	blockAfterCrashes = 3
	// suspectTTL is how long suspicion lasts without new evidence: many times the longest wait of a
	// caller.
	suspectTTL = 10 * time.Minute
	// blockDuration is how long content is blocked, repeatBlockDuration how long after a further
	// crash. Both leave an operator time to investigate, but they end, since targets get fixed.
	blockDuration       = 10 * time.Minute
	repeatBlockDuration = 24 * time.Hour
	// knownGoodBlockDuration is the first block of content that succeeded before: its targets may
	// have crashed for another reason.
	knownGoodBlockDuration = 10 * time.Second
	// maxContents bounds the contents with evidence; the less important half is removed when it is
	// reached. maxKnownGood bounds the contents that recently succeeded: some minutes of heavy
	// traffic, at 24 bytes plus map overhead each.
	maxContents  = 4096
	maxKnownGood = 16384
	// trialTimeout is how long the trial request of suspect content may take before another one may
	// run: its VM may have crashed.
	trialTimeout = 20 * time.Second
	// lostEndGrace is how long after its deadline a request still counts as in flight if its end is
	// not reported: the report of its VM may be lost.
	lostEndGrace = 500 * time.Millisecond
	// expiryInterval is the time between two passes of expire, which visit all requests in flight.
	expiryInterval = 200 * time.Millisecond
	// suspectRetryDelay is the retry delay while another request of suspect content runs.
	suspectRetryDelay = 500 * time.Millisecond
)

// Reasons of refusals.
const (
	// ReasonBlocked means that targets crashed under this content.
	ReasonBlocked = "content_held"
	// ReasonSuspect means that a target crashed under this content, and that another request with
	// it runs.
	ReasonSuspect = "content_suspect"
)

// content is the evidence against one digest.
type content struct {
	// crashedTargets are the targets that crashed under it.
	crashedTargets []string
	// crashedAt holds when each of them last did so. One that was running after that did not (confirm.go).
	crashedAt     map[string]time.Time
	firstEvidence time.Time
	lastEvidence  time.Time
	// blockedUntil is zero for content that has never been blocked.
	blockedUntil time.Time
	// blockedAfter is the number of crashed targets after which it was first blocked.
	blockedAfter int
	// blockedByPart is set if another VM blocked it because of its prompt part.
	blockedByPart bool
	// succeededBefore is true if the content succeeded earlier, trusted if one crash is not enough
	// to suspect it.
	succeededBefore, trusted bool
	// trial is the only request with this content that may run, since trialStartedAt.
	trial          Key
	trialStartedAt time.Time
}

// request is a request in flight.
type request struct {
	vm     coord.VMID
	digest Digest
	target string
	// sentAt is when this VM learned that the request was sent.
	sentAt, deadline time.Time
	// disconnectedAt is zero unless the request was disconnected.
	disconnectedAt time.Time
	// parts are those that the prompt shares with others. begunAt is when the response began; zero: it has
	// not, or that is unknown.
	parts   []promptpart.ID
	begunAt time.Time
}

// incident is a group of disconnects at one target.
type incident struct {
	startedAt time.Time
	// inFlight is the number of requests in flight at the target at the first disconnect.
	inFlight     int
	disconnected []request
	// crash is the crash of the target as the evidence against prompt parts has it.
	crash *promptpart.Crash
	// pending is the number of the disconnected requests that are added to it.
	pending int
}

// Table holds the requests in flight and the evidence of one VM.
type Table struct {
	contents         map[Digest]*content
	byPart           map[Part]map[Digest]bool // contents with evidence
	knownGood        recentSet[Digest]
	knownGoodParts   recentSet[Part]
	inFlight         map[Key]request
	inFlightByTarget map[string]int
	inFlightByDigest map[Digest]int
	inFlightByPart   map[Part]int
	incidents        map[string]*incident
	// lastExpiry is the time of the last pass of expire.
	lastExpiry time.Time
	// judge tells crashes of targets from failures of a VM's paths to them, and crashes has the
	// recent ones, which may have to be withdrawn.
	judge   *witness.Judge
	crashes []crash
	// parts has the evidence against prompt parts, and begun the responses of which it is not known yet
	// whether they survive, oldest first.
	parts *promptpart.Table
	begun []begunResponse
}

// New returns an empty Table.
func New() *Table {
	return &Table{
		contents: map[Digest]*content{}, byPart: map[Part]map[Digest]bool{},
		knownGood: newRecentSet[Digest](), knownGoodParts: newRecentSet[Part](),
		inFlight: map[Key]request{}, inFlightByTarget: map[string]int{}, inFlightByDigest: map[Digest]int{},
		inFlightByPart: map[Part]int{}, incidents: map[string]*incident{},
		judge: witness.New(), parts: promptpart.New(),
	}
}

// Parts returns the evidence against prompt parts.
func (t *Table) Parts() *promptpart.Table { return t.parts }

// Check reports whether a request may run now. If not, it returns the reason and the retry delay.
func (t *Table) Check(now time.Time, key Key, d Digest) (reason string, retry time.Duration) {
	if reason, retry = t.checkPart(now, d.part()); reason != "" {
		return reason, retry
	}
	c := t.suspectOrBlocked(d)
	if c == nil {
		return "", 0
	}
	if remaining := c.blockedUntil.Sub(now); remaining > 0 {
		return ReasonBlocked, remaining
	}
	pending := t.countPendingCrashes(d)
	if t.inFlightByDigest[d] > 0 || pending > 0 && len(c.crashedTargets)+pending >= blockAfterCrashes {
		return ReasonSuspect, suspectRetryDelay
	}
	if c.trial != (Key{}) && c.trial != key && now.Sub(c.trialStartedAt) < trialTimeout {
		return ReasonSuspect, suspectRetryDelay
	}
	c.trial, c.trialStartedAt = key, now
	return "", 0
}

// suspectOrBlocked returns the evidence against a content that is suspect or blocked, or nil.
func (t *Table) suspectOrBlocked(d Digest) *content {
	if c := t.contents[d]; c != nil && !c.trusted {
		return c
	}
	return nil
}

// countPendingCrashes counts the targets with disconnects of a content that have not been evaluated
// yet.
func (t *Table) countPendingCrashes(d Digest) int {
	n := 0
	for _, inc := range t.incidents {
		if slices.ContainsFunc(inc.disconnected, func(r request) bool { return r.digest == d }) {
			n++
		}
	}
	return n
}

// TargetsToAvoid returns the targets that a request of suspect content must avoid: those where
// other suspects run. Beside another suspect, it would be suspected of that one's crash as well.
func (t *Table) TargetsToAvoid(d Digest) (targets []string) {
	if t.suspectOrBlocked(d) == nil {
		return nil
	}
	for _, c := range t.contents {
		if r, inFlight := t.inFlight[c.trial]; inFlight {
			targets = append(targets, r.target)
		}
	}
	return targets
}

// CheckWithoutLeader is Check for a VM that receives no decisions from a leader. It cannot know of
// other requests with suspect content, so none may run.
func (t *Table) CheckWithoutLeader(now time.Time, d Digest) (reason string, retry time.Duration) {
	if reason, retry = t.checkPart(now, d.part()); reason != "" {
		return reason, retry
	}
	c := t.suspectOrBlocked(d)
	switch {
	case c == nil:
		return "", 0
	case c.blockedUntil.After(now):
		return ReasonBlocked, c.blockedUntil.Sub(now)
	}
	return ReasonSuspect, suspectRetryDelay
}

// RequestStarted records that a request was sent to a target, its deadline, and the parts that its prompt
// shares with others.
func (t *Table) RequestStarted(now time.Time, key Key, d Digest, target string, deadline time.Time, parts ...promptpart.ID) {
	if _, known := t.inFlight[key]; known || d == (Digest{}) {
		return
	}
	t.inFlight[key] = request{vm: key.VM, digest: d, target: target, sentAt: now, deadline: deadline, parts: parts}
	t.parts.Started(now, parts, target)
	t.inFlightByTarget[target]++
	t.inFlightByDigest[d]++
	if part := d.part(); part != (Part{}) {
		t.inFlightByPart[part]++
	}
}

// RequestEnded records the end of a request, and whether it succeeded or was disconnected. Any
// other end is no evidence.
func (t *Table) RequestEnded(now time.Time, key Key, succeeded, disconnected bool) {
	r, known := t.inFlight[key]
	if !known {
		t.releaseTrial(key)
		return
	}
	inFlight := t.inFlightByTarget[r.target]
	t.removeRequest(key, r)
	switch {
	case succeeded:
		t.withdrawCrashes(now, t.judge.Succeeded(now, r.vm, r.target))
		t.knownGood.add(r.digest)
		t.knownGoodParts.add(r.digest.part())
		t.parts.Survived(now, r.provenSince(), r.parts)
		t.removeContent(r.digest)
	case disconnected:
		if !t.judge.Failed(now, r.vm, r.target) {
			t.withdrawCrashes(now, []coord.VMID{r.vm})
		}
		inc := t.incidents[r.target]
		if inc == nil {
			inc = &incident{startedAt: now, inFlight: inFlight, crash: t.parts.CrashAt(r.target, now)}
			t.incidents[r.target] = inc
		}
		r.disconnectedAt = now
		inc.disconnected = append(inc.disconnected, r)
		t.addPendingCrash(now, inc)
		t.addProvisionalSuspect(now, r.digest)
	}
	t.releaseTrial(key)
}

// addProvisionalSuspect makes content suspect until it is known whether its target crashed. The
// retry of a broken stream comes at once, and is the one request that may run.
func (t *Table) addProvisionalSuspect(now time.Time, d Digest) {
	if t.contents[d] == nil && !t.knownGood.has(d) {
		t.addContent(d, &content{firstEvidence: now, lastEvidence: now})
	}
}

func (t *Table) removeRequest(key Key, r request) {
	delete(t.inFlight, key)
	t.parts.Ended(r.parts, r.target)
	if t.inFlightByTarget[r.target]--; t.inFlightByTarget[r.target] <= 0 {
		delete(t.inFlightByTarget, r.target)
	}
	if t.inFlightByDigest[r.digest]--; t.inFlightByDigest[r.digest] <= 0 {
		delete(t.inFlightByDigest, r.digest)
	}
	part := r.digest.part()
	if t.inFlightByPart[part]--; t.inFlightByPart[part] <= 0 {
		delete(t.inFlightByPart, part)
	}
}

// releaseTrial allows another request to run in place of the trial with the given key.
func (t *Table) releaseTrial(key Key) {
	for _, c := range t.contents {
		if c.trial == key {
			c.trial = Key{}
		}
	}
}

// ForgetVM removes the requests of a VM whose ticket (sequence number) is below beforeTicket: the VM
// is unresponsive, or has restarted and its new tickets are not below it.
func (t *Table) ForgetVM(vm coord.VMID, beforeTicket uint64) {
	for key, r := range t.inFlight {
		if key.VM == vm && key.Ticket < beforeTicket {
			t.removeRequest(key, r)
			t.releaseTrial(key)
		}
	}
}
