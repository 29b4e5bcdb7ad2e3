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
// promptpart.go records what happens to requests, moment.go groups crashes, explain.go finds the parts that
// explain them, check.go decides on requests, findings.go exchanges evidence with other VMs and bound.go
// removes it.
//
// Table has no clock and does no I/O. It is not safe for concurrent use.
package promptpart

import (
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
	// sameCrash is the time within which the disconnects at one target are of one crash, at one VM or
	// several. Targets restart later.
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
	// moment has the crashes at the same time.
	moment *moment
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
	// explained are the crashes that the implicated parts explain.
	explained map[*Crash]bool
	// changed are the parts whose evidence has changed since TakeChanges.
	changed map[ID]bool
	moments []*moment
	// lastExpiry is the time of the last pass of expire.
	lastExpiry time.Time
}

// New returns an empty Table.
func New() *Table {
	return &Table{parts: map[ID]*part{}, suspects: map[ID]*part{}, explained: map[*Crash]bool{}, changed: map[ID]bool{}}
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

// Ended records the end of a request.
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
// place of those of AddPending. More requests may follow for a crash that is confirmed.
func (t *Table) Confirm(now time.Time, c *Crash, requests [][]ID) {
	for id := range t.suspects {
		if !c.confirmed {
			t.dropCrashes(id, func(other *Crash) bool { return other == c })
		}
	}
	c.confirmed = true
	for _, ids := range requests {
		t.addCrash(now, c, ids)
	}
	for id, p := range t.suspects {
		if p.indexOf(c) >= 0 {
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

// indexOf returns the index of a crash in the evidence against the part; negative: it is not in it.
func (p *part) indexOf(c *Crash) int {
	return slices.IndexFunc(p.crashes, func(known partCrash) bool { return known.Crash == c })
}

// IsConfirmed reports whether a crash is confirmed.
func (c *Crash) IsConfirmed() bool { return c.confirmed }

// CrashAt returns the crash to which the disconnects at a target belong that begin at a time: a known one
// that was shortly before, or a new one.
func (t *Table) CrashAt(target string, at time.Time) *Crash {
	c := Crash{Target: target, At: at}
	for _, m := range t.moments {
		for _, known := range m.crashes {
			if known.confirmed && known.isSame(&c) {
				return known
			}
		}
	}
	return &c
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
			if c.confirmed {
				out[c.Target] = true
			}
		}
	}
	return out
}

// TargetRan removes the crashes of a target that was still running at a later time.
func (t *Table) TargetRan(target string, ranAt time.Time) {
	t.withdraw(func(c *Crash) bool { return c.Target == target && c.At.Before(ranAt) })
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
		if known := p.indexOf(c); known >= 0 {
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
		p.crashes, p.trials, p.onTrial, p.implicated = nil, 0, false, false
		delete(t.suspects, id)
	}
	return true
}
