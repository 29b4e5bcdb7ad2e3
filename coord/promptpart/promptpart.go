// Package promptpart finds parts of prompts that crash targets, in requests that are otherwise different.
//
// Every crash of a target disconnects requests that run beside the one that caused it, and these share
// parts with it: the first part, which a whole route has, and those of the caller. What tells the parts
// apart is what survives:
//
//   - The evidence against a part are the crashes since a request with it last survived the start of its
//     response. For a block, crashes of several targets at one moment count once, since a failure of their
//     rack or network looks the same, and only if the part was in flight at all of these targets.
//   - A part with such a crash is suspect. Its requests may run only at the targets where others with it run
//     already, or at one target if there is none, so that no further target is at risk. A part that a whole
//     route has runs at most targets, and the route goes on.
//   - A part with blockAfter crashes, or with one more at two moments and at least twice as many as there are
//     targets at which it is in flight, is blocked, unless a narrower part explains these crashes: one with at
//     least as many, and no survival or fewer requests. Disconnects that have not been evaluated count as
//     crashes for this, but until they are confirmed requests are refused for suspectRetryDelay only.
//   - After the block one request may run as a trial. If it survives, the evidence is dropped, else the
//     next block is longer.
//
// Table has no clock and does no I/O. It is not safe for concurrent use.
package promptpart

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

// ID identifies a part of the prompts that the targets of one service process.
type ID struct{ Service, Part string }

// Shared returns the IDs of the parts of a prompt that requests may share: all but the last one, which
// belongs to the request or to its session.
func Shared(service string, parts []string) []ID {
	if len(parts) < 2 {
		return nil
	}
	out := make([]ID, 0, len(parts)-1)
	for _, p := range parts[:len(parts)-1] {
		if id := (ID{service, p}); len(p) <= maxIDBytes && !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

// Thresholds, durations and bounds of the evidence.
const (
	// blockAfter is a number of crashes, see the package comment, and refuseAfter that after which a VM
	// that knows of its own requests only refuses those with the part.
	blockAfter  = 3
	refuseAfter = 2
	// sameMoment is the time between two crashes from which on they are independent.
	sameMoment = 100 * time.Millisecond
	// newPartBlock is the first block of a part that never survived. The targets of the others may have
	// crashed for another reason: knownPartBlock is for parts with maxDisconnects disconnected requests
	// a crash or fewer, and widePartBlock for parts with more. Each trial that crashes a target doubles
	// the block, up to maxBlock.
	newPartBlock   = 10 * time.Minute
	knownPartBlock = 2 * time.Minute
	widePartBlock  = 10 * time.Second
	maxBlock       = 24 * time.Hour
	maxDisconnects = 2
	// evidenceTTL is how long a crash counts, and a survival is remembered.
	evidenceTTL = 10 * time.Minute
	// suspectRetryDelay is the retry delay of a request with a suspect part.
	suspectRetryDelay = 500 * time.Millisecond
	// maxWidening is the ratio of exposed requests up to which a part may take the place of a blocked one.
	maxWidening = 2
	// sameCrash is the time within which two VMs may observe the crash of one process.
	sameCrash = time.Second
	// maxParts bounds the parts that are remembered, and maxIDBytes their ids. maxCrashes bounds the
	// crashes that are kept for a part.
	maxParts   = 16384
	maxIDBytes = 128
	maxCrashes = 16
)

// Reasons of refusals.
const (
	// ReasonBlocked means that targets crashed under a part of the prompt.
	ReasonBlocked = "part_held"
	// ReasonSuspect means that targets may have crashed under a part of the prompt, and that the request
	// would put a further target at risk.
	ReasonSuspect = "part_suspect"
)

// Crash is the crash of a target, a process of it, that disconnected requests.
type Crash struct {
	Target string
	At     time.Time
	// confirmed is false while the disconnects have not been evaluated.
	confirmed bool
	// restarted is set if the target's id now belongs to another process, so that its entry no longer
	// shows that this one goes on.
	restarted bool
	// moment has the crashes at the same time.
	moment *moment
}

// moment is a time at which targets crashed, within sameMoment of the first of them.
type moment struct {
	at      time.Time
	crashes []*Crash
}

// partCrash is a crash in the evidence against one part.
type partCrash struct {
	*Crash
	// requestsBefore is the number of the part's requests before the crash, and disconnects that of the
	// requests that it disconnected.
	requestsBefore, disconnects int
}

// part is what is known about one part.
type part struct {
	// crashes are those since the last survival, in the order in which they became known.
	crashes []partCrash
	// requests counts the requests with the part.
	requests int
	// survivedAt is when a request that survived began its last response; zero: none is remembered.
	survivedAt time.Time
	inFlight   map[string]int // requests by target
	usedAt     time.Time
	// trials is the number of requests that crashed their targets after a block had ended, and onTrial is
	// set while such a request runs.
	trials  int
	onTrial bool
	// implicated is set if the part explains enough crashes for a block.
	implicated bool
	// observed is set once this VM has observed a crash itself, and published while other VMs have its
	// evidence. reportedBlock is set while the last reported finding is a block.
	observed, published, reportedBlock bool
}

// Table holds the evidence of one VM.
type Table struct {
	parts map[ID]*part
	// suspects are the parts with crashes.
	suspects map[ID]*part
	// implicated are the parts that explain enough crashes for a block, and explained these crashes.
	implicated map[ID]bool
	explained  map[*Crash]bool
	// changed are the parts whose evidence has changed since TakeChanges.
	changed map[ID]bool
	moments []*moment
	// lastExpiry is the time of the last pass of expire.
	lastExpiry time.Time
}

// New returns an empty Table.
func New() *Table {
	return &Table{parts: map[ID]*part{}, suspects: map[ID]*part{}, implicated: map[ID]bool{}, explained: map[*Crash]bool{}, changed: map[ID]bool{}}
}

// get returns what is known about a part, and remembers it.
func (t *Table) get(now time.Time, id ID) *part {
	p := t.parts[id]
	if p == nil {
		t.makeRoom()
		p = &part{inFlight: map[string]int{}}
		t.parts[id] = p
	}
	p.usedAt = now
	return p
}

// Requested records that a request with the given parts asks for a target.
func (t *Table) Requested(now time.Time, ids []ID) {
	for _, id := range ids {
		p := t.get(now, id)
		p.requests++
	}
}

// Started records that a request was sent to a target.
func (t *Table) Started(now time.Time, ids []ID, target string) {
	for _, id := range ids {
		p := t.get(now, id)
		p.inFlight[target]++
		if p.implicated && p.blockedFor(now) == 0 {
			p.onTrial = true
		}
	}
}

// Ended records that a request is no longer in flight.
func (t *Table) Ended(ids []ID, target string) {
	for _, id := range ids {
		p := t.parts[id]
		if p == nil {
			continue
		}
		if p.inFlight[target]--; p.inFlight[target] <= 0 {
			delete(p.inFlight, target)
		}
	}
}

// Survived records that a request survived the start of its response, which began at a time.
func (t *Table) Survived(now, at time.Time, ids []ID) {
	cleared := false
	for _, id := range ids {
		p := t.get(now, id)
		p.survivedAt = coord.Later(p.survivedAt, at)
		if len(p.crashes) > 0 {
			cleared = t.dropCrashes(id, func(c *Crash) bool { return c.At.Before(at) }) || cleared
		}
	}
	if cleared {
		t.evaluate()
	}
}

// AddPending adds the parts of a disconnected request to a crash that has not been confirmed.
func (t *Table) AddPending(now time.Time, c *Crash, ids []ID) {
	t.addCrash(now, c, ids)
	t.evaluate()
}

// Confirm records that a target crashed, and the parts of each of the requests that it disconnected, in
// place of those of AddPending.
func (t *Table) Confirm(now time.Time, c *Crash, requests [][]ID) {
	for id := range t.suspects {
		t.dropCrashes(id, func(other *Crash) bool { return other == c })
	}
	c.confirmed = true
	for _, ids := range requests {
		t.addCrash(now, c, ids)
	}
	for id, p := range t.suspects {
		if p.has(c) {
			t.recordObserved(id, p)
		}
	}
	t.evaluate()
}

// recordObserved records that this VM observed a crash under a part itself.
func (t *Table) recordObserved(id ID, p *part) {
	p.observed, t.changed[id] = true, true
	if p.onTrial {
		p.trials++
		p.onTrial = false
	}
}

func (p *part) has(c *Crash) bool {
	return slices.ContainsFunc(p.crashes, func(known partCrash) bool { return known.Crash == c })
}

// Withdraw removes a crash that was none.
func (t *Table) Withdraw(c *Crash) {
	t.withdraw(func(other *Crash) bool { return other == c })
}

// CrashedTargets returns the targets of the crashes that may have to be withdrawn.
func (t *Table) CrashedTargets() map[string]bool {
	out := map[string]bool{}
	for _, p := range t.suspects {
		for _, c := range p.crashes {
			if c.confirmed && !c.restarted {
				out[c.Target] = true
			}
		}
	}
	return out
}

// TargetRan removes the crashes of a target that was still running at a later time.
func (t *Table) TargetRan(target string, ranAt time.Time) {
	t.withdraw(func(c *Crash) bool { return c.Target == target && !c.restarted && c.At.Before(ranAt) })
}

// TargetRestarted records that the process that has a target's id is a new one, so that the earlier
// crashes of the target are certain.
func (t *Table) TargetRestarted(target string) {
	for _, p := range t.suspects {
		for _, c := range p.crashes {
			c.restarted = c.restarted || c.Target == target
		}
	}
}

func (t *Table) withdraw(isNone func(c *Crash) bool) {
	dropped := false
	for id := range t.suspects {
		dropped = t.dropCrashes(id, isNone) || dropped
	}
	for _, m := range t.moments {
		m.crashes = slices.DeleteFunc(m.crashes, isNone)
	}
	if dropped {
		t.evaluate()
	}
}

// addCrash adds a crash to the evidence against parts, unless a request with the part survived since.
func (t *Table) addCrash(now time.Time, c *Crash, ids []ID) {
	t.join(c)
	for _, id := range ids {
		p := t.get(now, id)
		known := slices.IndexFunc(p.crashes, func(other partCrash) bool { return other.Crash == c })
		if known >= 0 {
			p.crashes[known].disconnects++
			continue
		}
		if p.survivedAt.After(c.At) {
			continue
		}
		p.crashes = append(p.crashes, partCrash{Crash: c, requestsBefore: max(p.requests-1, 0), disconnects: 1})
		if len(p.crashes) > maxCrashes {
			p.crashes = slices.Clone(p.crashes[1:])
		}
		t.suspects[id], t.changed[id] = p, true
	}
}

// dropCrashes removes crashes from the evidence against a part. It reports whether there were any.
func (t *Table) dropCrashes(id ID, drop func(c *Crash) bool) bool {
	p := t.suspects[id]
	isDropped := func(c partCrash) bool { return drop(c.Crash) }
	if !slices.ContainsFunc(p.crashes, isDropped) {
		return false
	}
	p.crashes, t.changed[id] = slices.DeleteFunc(p.crashes, isDropped), true
	if len(p.crashes) == 0 {
		p.crashes, p.trials, p.onTrial = nil, 0, false
		delete(t.suspects, id)
	}
	return true
}

// explainsEnough reports whether crashes of a part are enough for an explanation that needs minCrashes.
func (p *part) explainsEnough(crashes []*Crash, minCrashes int) bool {
	if len(crashes) < minCrashes {
		return false
	}
	moments, total := independent(crashes)
	return moments >= minCrashes || moments >= 2 && total > minCrashes && total >= 2*len(p.inFlight)
}

// independent counts the moments at which targets crashed, and all of them under the part that has the
// given crashes: if it is not what crashed one of them, it may not be what crashed the others. total is the
// number of crashes at these moments.
func independent(crashes []*Crash) (moments, total int) {
	seen := map[*moment]bool{}
	for _, c := range crashes {
		if seen[c.moment] {
			continue
		}
		seen[c.moment] = true
		if !slices.ContainsFunc(c.moment.crashes, func(other *Crash) bool { return !slices.Contains(crashes, other) }) {
			moments++
			total += len(c.moment.crashes)
		}
	}
	return moments, total
}

// join adds a crash to the others of its moment.
func (t *Table) join(c *Crash) {
	if c.moment != nil {
		return
	}
	i := slices.IndexFunc(t.moments, func(m *moment) bool { return c.At.Sub(m.at).Abs() < sameMoment })
	if i < 0 {
		t.moments = append(t.moments, &moment{at: c.At})
		i = len(t.moments) - 1
	}
	c.moment = t.moments[i]
	c.moment.crashes = append(c.moment.crashes, c)
}

// candidate is a part with enough crashes for an explanation of them.
type candidate struct {
	id ID
	*part
	crashes []*Crash
	// moments is the number of its independent crashes, requests that of its requests since the first one,
	// and exposed that of the requests that its crashes disconnected or that are in flight.
	moments, requests, exposed int
}

func newCandidate(id ID, p *part, crashes []*Crash) candidate {
	c := candidate{id: id, part: p, crashes: crashes, requests: p.requests - p.crashes[0].requestsBefore, exposed: p.disconnects()}
	c.moments, _ = independent(crashes)
	for _, n := range p.inFlight {
		c.exposed += n
	}
	return c
}

// survival returns the zero time if no request with the part ever survived, and otherwise another one.
func (c candidate) survival() time.Time {
	if c.survivedAt.IsZero() {
		return time.Time{}
	}
	return time.Unix(0, 0)
}

// compare orders candidates by how well they explain their crashes, the best first: by the most crashes,
// then those that never survived, then by the fewest requests.
func (c candidate) compare(other candidate) int {
	return cmp.Or(
		cmp.Compare(other.moments, c.moments),
		c.survival().Compare(other.survival()),
		cmp.Compare(c.requests, other.requests),
		cmp.Compare(c.part.requests, other.part.requests),
	)
}

// isOvertaken reports whether another part explains the crashes of a blocked one better. A much wider part does
// not: it also has the crashes that have nothing to do with the blocked one.
func (c candidate) isOvertaken(others []candidate) bool {
	return slices.ContainsFunc(others, func(o candidate) bool {
		return o.compare(c) < 0 && o.exposed <= maxWidening*c.exposed &&
			!slices.ContainsFunc(c.crashes, func(crash *Crash) bool { return !slices.Contains(o.crashes, crash) })
	})
}

// explain returns the parts that explain the crashes, each at least minCrashes: the blocked parts that are not
// overtaken, and then in the order of compare those with enough crashes that the earlier ones do not explain.
// Parts that compare equal explain them together, since nothing tells them apart. explained are the crashes
// that they explain.
func (t *Table) explain(minCrashes int) (ids map[ID]bool, explained map[*Crash]bool) {
	candidates := t.candidates(minCrashes)
	ids, explained = map[ID]bool{}, map[*Crash]bool{}
	add := func(id ID, crashes []*Crash) {
		ids[id] = true
		for _, c := range crashes {
			explained[c] = true
		}
	}
	for _, c := range candidates {
		if c.implicated && c.isConfirmed() && !c.isOvertaken(candidates) {
			add(c.id, c.crashes)
		}
	}
	for len(candidates) > 0 {
		equal := 1
		for equal < len(candidates) && candidates[equal].compare(candidates[0]) == 0 {
			equal++
		}
		rests := map[ID][]*Crash{}
		for _, c := range candidates[:equal] {
			if rest := c.crashesWithout(explained); c.explainsEnough(rest, minCrashes) {
				rests[c.id] = rest
			}
		}
		for id, rest := range rests {
			add(id, rest)
		}
		candidates = candidates[equal:]
	}
	return ids, explained
}

// candidates returns the parts with at least minCrashes independent crashes, in the order of compare.
func (t *Table) candidates(minCrashes int) (out []candidate) {
	for id, p := range t.suspects {
		if crashes := p.crashesWithout(nil); p.explainsEnough(crashes, minCrashes) {
			out = append(out, newCandidate(id, p, crashes))
		}
	}
	slices.SortFunc(out, candidate.compare)
	return out
}

// disconnects returns the number of requests that the crashes disconnected.
func (p *part) disconnects() (n int) {
	for _, c := range p.crashes {
		n += c.disconnects
	}
	return n
}

// crashesWithout returns the crashes that are not in the given set.
func (p *part) crashesWithout(explained map[*Crash]bool) []*Crash {
	out := make([]*Crash, 0, len(p.crashes))
	for _, c := range p.crashes {
		if !explained[c.Crash] {
			out = append(out, c.Crash)
		}
	}
	return out
}

// evaluate determines which parts are implicated.
func (t *Table) evaluate() {
	implicated, explained := t.explain(blockAfter)
	for id := range t.implicated {
		if p := t.parts[id]; p != nil && !implicated[id] {
			p.implicated, t.changed[id] = false, true
		}
	}
	for id := range implicated {
		if p := t.parts[id]; !p.implicated {
			p.implicated, t.changed[id] = true, true
		}
	}
	t.implicated, t.explained = implicated, explained
}

// unexplained returns the crashes of a part that no narrower part explains.
func (t *Table) unexplained(p *part) []*Crash {
	if p.implicated {
		return p.crashesWithout(nil)
	}
	return p.crashesWithout(t.explained)
}

// Explains reports whether any of the parts is blocked or waits for a crash to be confirmed, so that it
// explains a crash.
func (t *Table) Explains(ids []ID) bool {
	return slices.ContainsFunc(ids, func(id ID) bool { p := t.suspects[id]; return p != nil && p.implicated })
}

// ExplainsCrash reports whether a part explains a crash that is enough for its block.
func (t *Table) ExplainsCrash(c *Crash) bool { return t.explained[c] }

// isSuspect reports whether a request with the part must not put a further target at risk.
func (t *Table) isSuspect(p *part) bool {
	if len(p.crashes) == 0 {
		return false
	}
	moments, _ := independent(t.unexplained(p))
	return moments > 0
}

// isConfirmed reports whether the confirmed crashes alone are enough for a block.
func (p *part) isConfirmed() bool {
	confirmed := slices.DeleteFunc(p.crashesWithout(nil), func(c *Crash) bool { return !c.confirmed })
	return p.explainsEnough(confirmed, blockAfter)
}

// blockedFor returns for how much longer an implicated part is blocked.
func (p *part) blockedFor(now time.Time) time.Duration {
	block := newPartBlock
	if !p.survivedAt.IsZero() {
		block = knownPartBlock
	}
	if !p.survivedAt.IsZero() && p.disconnects() > maxDisconnects*len(p.crashes) {
		block = widePartBlock
	}
	for range min(p.trials, maxCrashes) {
		block *= 2
	}
	var last time.Time
	for _, c := range p.crashes {
		last = coord.Later(last, c.At)
	}
	return max(last.Add(min(block, maxBlock)).Sub(now), 0)
}

// Check reports whether a request with the given parts may run at any target now. If not, it returns the
// reason and the retry delay.
func (t *Table) Check(now time.Time, ids []ID) (reason string, retry time.Duration) {
	for _, id := range ids {
		p := t.suspects[id]
		if p == nil || !p.implicated {
			continue
		}
		if !p.isConfirmed() {
			reason, retry = ReasonSuspect, max(retry, suspectRetryDelay)
			continue
		}
		if remaining := p.blockedFor(now); remaining > 0 {
			return ReasonBlocked, remaining
		}
		if len(p.inFlight) > 0 {
			reason, retry = ReasonSuspect, suspectRetryDelay
		}
	}
	return reason, retry
}

// AllowedTargets returns the targets at which a request with the given parts may run: those where other
// requests with its suspect parts run. restricted is false if it may run at any target.
func (t *Table) AllowedTargets(ids []ID) (targets map[string]bool, restricted bool) {
	for _, id := range ids {
		p := t.suspects[id]
		if p == nil || len(p.inFlight) == 0 || !t.isSuspect(p) {
			continue
		}
		allowed := map[string]bool{}
		for target := range p.inFlight {
			if !restricted || targets[target] {
				allowed[target] = true
			}
		}
		targets, restricted = allowed, true
	}
	return targets, restricted
}

// CheckAt is Check for a given target.
func (t *Table) CheckAt(now time.Time, ids []ID, target string) (reason string, retry time.Duration) {
	if reason, retry = t.Check(now, ids); reason != "" {
		return reason, retry
	}
	if allowed, restricted := t.AllowedTargets(ids); restricted && !allowed[target] {
		return ReasonSuspect, suspectRetryDelay
	}
	return "", 0
}

// CheckWithoutLeader is Check for a VM that receives no decisions from a leader. It cannot know of the
// requests of other VMs, so that no request with a part that best explains several crashes may run.
func (t *Table) CheckWithoutLeader(now time.Time, ids []ID) (reason string, retry time.Duration) {
	if reason, retry = t.Check(now, ids); reason != "" {
		return reason, retry
	}
	if !slices.ContainsFunc(ids, func(id ID) bool { return t.suspects[id] != nil }) {
		return "", 0
	}
	explaining, _ := t.explain(refuseAfter)
	if slices.ContainsFunc(ids, func(id ID) bool { return explaining[id] }) {
		return ReasonSuspect, suspectRetryDelay
	}
	return "", 0
}

// Tick evaluates the evidence again if requests may have changed it, and removes what has expired.
func (t *Table) Tick(now time.Time) {
	if len(t.suspects) > 0 {
		t.evaluate()
	}
	if now.Sub(t.lastExpiry) >= time.Second {
		t.expire(now)
	}
}

// expire removes old crashes of parts that are not blocked, and parts that are not used.
func (t *Table) expire(now time.Time) {
	t.lastExpiry = now
	for id, p := range maps.Clone(t.suspects) {
		ttl := evidenceTTL
		if p.implicated {
			ttl += p.blockedFor(now) + evidenceTTL
		}
		t.dropCrashes(id, func(c *Crash) bool { return now.Sub(c.At) > ttl })
	}
	t.moments = slices.DeleteFunc(t.moments, func(m *moment) bool { return now.Sub(m.at) > evidenceTTL })
	for id, p := range t.parts {
		if len(p.crashes) == 0 && len(p.inFlight) == 0 && now.Sub(p.usedAt) > evidenceTTL {
			delete(t.parts, id)
		}
	}
}

// makeRoom removes the half of the parts that matters least if the table is full: those without crashes
// and without requests in flight first, then those with the fewest crashes, and the least recently used.
func (t *Table) makeRoom() {
	if len(t.parts) < maxParts {
		return
	}
	ids := slices.SortedFunc(maps.Keys(t.parts), func(a, b ID) int { return t.parts[a].compareImportance(t.parts[b]) })
	for _, id := range ids[:len(ids)/2] {
		delete(t.parts, id)
		delete(t.suspects, id)
		delete(t.changed, id)
	}
}

func (p *part) compareImportance(other *part) int {
	return cmp.Or(
		cmp.Compare(len(p.crashes), len(other.crashes)),
		cmp.Compare(min(len(p.inFlight), 1), min(len(other.inFlight), 1)),
		p.usedAt.Compare(other.usedAt),
	)
}
