package promptpart

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Finding is the evidence against one part, for other VMs and for operators.
type Finding struct {
	ID ID
	// Crashes are the confirmed crashes since a request with the part last survived.
	Crashes []Crash
	// SurvivedAt is when the last request that survived began its response; zero: none is remembered.
	SurvivedAt time.Time
	// Requests is the number of requests since the first of the crashes, Disconnects that of those that
	// the crashes disconnected, and Trials that of requests that
	// crashed their targets after a block.
	Requests, Disconnects, Trials int
	// BlockedFor is how much longer requests with the part are blocked; 0: it is suspect at most.
	BlockedFor time.Duration
	// Released is set if the part was reported as blocked and there is no evidence against it now.
	Released bool
}

// IsBlocked reports whether requests with the part are blocked.
func (f Finding) IsBlocked() bool { return f.BlockedFor > 0 }

// CompareImportance orders findings: blocked parts first, then those with the most crashes.
func (f Finding) CompareImportance(other Finding) int {
	return cmp.Or(cmp.Compare(other.BlockedFor, f.BlockedFor), cmp.Compare(len(other.Crashes), len(f.Crashes)))
}

func (t *Table) finding(now time.Time, id ID) Finding {
	f := Finding{ID: id}
	p := t.parts[id]
	if p == nil {
		return f
	}
	f.SurvivedAt, f.Trials = p.survivedAt, p.trials
	for _, c := range p.crashes {
		if c.confirmed {
			f.Crashes = append(f.Crashes, Crash{Target: c.Target, At: c.At})
			f.Disconnects += c.disconnects
		}
	}
	if len(p.crashes) > 0 {
		f.Requests = p.requests - p.crashes[0].requestsBefore
	}
	if p.implicated && p.isConfirmed() {
		f.BlockedFor = p.blockedFor(now)
	}
	return f
}

// TakeChanges returns the findings about the parts whose evidence has changed since the last call: those
// that are suspect or blocked, and those that no longer are. Unless all is set, it leaves out parts of
// which this VM knows from others only.
func (t *Table) TakeChanges(now time.Time, all bool) (found []Finding) {
	for id := range t.changed {
		p := t.parts[id]
		if p == nil || !all && !p.observed || !p.published && !t.isWorthReporting(p) {
			continue
		}
		f := t.finding(now, id)
		f.Released = p.reportedBlock && len(p.crashes) == 0
		found = append(found, f)
		p.published, p.reportedBlock = len(p.crashes) > 0, f.IsBlocked()
	}
	clear(t.changed)
	return found
}

// isWorthReporting reports whether other VMs need the evidence against a part. They learn of one crash only
// if no request with the part ever survived.
func (t *Table) isWorthReporting(p *part) bool {
	return p.implicated || t.isSuspect(p) && (len(p.crashes) > 1 || p.survivedAt.IsZero())
}

// Findings returns the findings about all parts that are suspect or blocked.
func (t *Table) Findings(now time.Time) (found []Finding) {
	for id, p := range t.suspects {
		if t.isWorthReporting(p) {
			found = append(found, t.finding(now, id))
		}
	}
	return found
}

// Merge adds a finding of another VM. It returns a finding that no other VM may have yet, if the crashes
// that several VMs observed are enough for a block together. Otherwise it returns nil.
func (t *Table) Merge(now time.Time, f Finding) (joined *Finding) {
	changed := maps.Clone(t.changed)
	defer func() { t.changed = changed }() // the sender reports them
	p := t.get(now, f.ID)
	wasImplicated := p.implicated
	if !f.SurvivedAt.IsZero() {
		t.Survived(now, f.SurvivedAt, []ID{f.ID})
	}
	p.requests, p.trials = max(p.requests, f.Requests), max(p.trials, f.Trials)
	for _, c := range f.Crashes {
		if !p.hasCrash(c) {
			t.addCrash(now, t.confirmedAt(c), []ID{f.ID})
		}
	}
	if len(p.crashes) > 0 {
		first := &p.crashes[0]
		first.requestsBefore = min(first.requestsBefore, p.requests-f.Requests)
		first.disconnects += max(f.Disconnects-p.disconnects(), 0)
	}
	t.evaluate()
	if !p.implicated || wasImplicated || len(f.Crashes) >= blockAfter {
		return nil
	}
	sum := t.finding(now, f.ID)
	return &sum
}

// isSame reports whether two observations are of the same crash.
func (c *Crash) isSame(other *Crash) bool {
	return c.Target == other.Target && c.At.Sub(other.At).Abs() < sameCrash
}

func (p *part) hasCrash(c Crash) bool {
	return slices.ContainsFunc(p.crashes, func(known partCrash) bool { return known.isSame(&c) })
}

// confirmedAt returns the crash that this VM knows for that of a finding, or a new one.
func (t *Table) confirmedAt(c Crash) *Crash {
	known := t.CrashAt(c.Target, c.At)
	known.confirmed = true
	return known
}
