package edge

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/promptpart"
	"github.com/junctionfold/junctionfold/coord/quarantine"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/internal/gateway"
	"github.com/junctionfold/junctionfold/schema"
)

// sharedParts returns the parts of a prompt that other requests may share.
func sharedParts(a *schema.Admit) []promptpart.ID {
	ids := make([]string, len(a.Parts))
	for i, p := range a.Parts {
		ids[i] = p.Id
	}
	return promptpart.Shared(a.Service, ids)
}

func sharedPartsOf(r *gateway.AdmitRequest) []promptpart.ID {
	return promptpart.Shared(r.Service, r.Request.PartIDs())
}

// checkParts returns a refusal if targets crash under a part of a request's prompt. Where requests with a
// suspect part run already, it excludes all other targets. q.mu is held.
func (q *contentQuarantine) checkParts(a *schema.Admit, parts []promptpart.ID, targets map[string]*fleet.Target) *schema.Verdict {
	now, table := q.node.now(), q.table.Parts()
	table.Requested(now, parts)
	if refusal := q.refuse(table.Check(now, parts)); refusal != nil {
		return refusal
	}
	allowed, restricted := table.AllowedTargets(parts)
	if !restricted {
		return nil
	}
	for id, t := range targets {
		if t.Service == a.Service && !allowed[id] {
			a.Exclude = append(a.Exclude, id)
		}
	}
	return nil
}

// responseBegan records the first event of the response to a request that this VM decided on.
func (q *contentQuarantine) responseBegan(from coord.VMID, ticket uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.ResponseBegan(q.node.now(), quarantine.Key{VM: from, Ticket: ticket})
}

// survived records that a request of this VM on which another one decided was served, so that this VM knows
// sound parts if it has to decide.
func (q *contentQuarantine) survived(begunAt time.Time, parts []promptpart.ID) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Parts().Survived(q.node.now(), begunAt, parts)
}

// reportParts logs and publishes findings about prompt parts.
func (q *contentQuarantine) reportParts(found []promptpart.Finding) {
	if len(found) == 0 {
		return
	}
	for _, f := range found {
		switch {
		case f.IsBlocked():
			q.node.log.PartBlocked(f.ID.Service, f.ID.Part, crashedTargets(f), f.Requests, f.BlockedFor)
		case len(f.Crashes) > 1:
			q.node.log.PartSuspected(f.ID.Service, f.ID.Part, crashedTargets(f), f.Requests)
		case f.Released:
			q.node.log.PartReleased(f.ID.Service, f.ID.Part)
		}
	}
	q.publishParts(found)
}

func crashedTargets(f promptpart.Finding) []string {
	out := make([]string, len(f.Crashes))
	for i, c := range f.Crashes {
		out[i] = c.Target
	}
	return out
}

// publishParts sends findings about prompt parts to the VMs that may lead next. All VMs get those about
// parts under which several targets crashed, or that are released, and without a leader all findings.
func (q *contentQuarantine) publishParts(found []promptpart.Finding) {
	everyVM := found
	if q.node.isLeader() {
		everyVM = slices.DeleteFunc(slices.Clone(found), func(f promptpart.Finding) bool { return len(f.Crashes) == 1 })
	}
	now := q.node.now()
	q.node.sendSuspects(&schema.Suspects{Parts: partsToProto(now, found)}, &schema.Suspects{Parts: partsToProto(now, everyVM)})
}

// partsToProto returns messages with findings, up to maxFindingsPerMessage, blocked parts and those with the
// most crashes first.
func partsToProto(now time.Time, found []promptpart.Finding) (out []*schema.SuspectPart) {
	found = slices.Clone(found)
	slices.SortFunc(found, promptpart.Finding.CompareImportance)
	for _, f := range found[:min(len(found), maxFindingsPerMessage)] {
		m := &schema.SuspectPart{
			Service: f.ID.Service, Part: f.ID.Part, SurvivedMsAgo: -1, Requests: uint32(f.Requests), Trials: uint32(f.Trials),
			Disconnects: uint32(f.Disconnects),
		}
		if !f.SurvivedAt.IsZero() {
			m.SurvivedMsAgo = now.Sub(f.SurvivedAt).Milliseconds()
		}
		for _, c := range f.Crashes {
			m.Crashes = append(m.Crashes, &schema.PartCrash{Target: c.Target, MsAgo: now.Sub(c.At).Milliseconds()})
		}
		out = append(out, m)
	}
	return out
}

func partFromProto(now time.Time, m *schema.SuspectPart) promptpart.Finding {
	f := promptpart.Finding{
		ID: promptpart.ID{Service: m.Service, Part: m.Part}, Requests: int(m.Requests), Trials: int(m.Trials), Disconnects: int(m.Disconnects),
	}
	if m.SurvivedMsAgo >= 0 {
		f.SurvivedAt = now.Add(-milliseconds(m.SurvivedMsAgo))
	}
	for _, c := range m.Crashes {
		f.Crashes = append(f.Crashes, promptpart.Crash{Target: c.Target, At: now.Add(-milliseconds(c.MsAgo))})
	}
	return f
}

// mergeParts applies findings about prompt parts that another VM sent. A VM that may lead next publishes
// parts that are blocked because of what several VMs have found together.
func (q *contentQuarantine) mergeParts(m *schema.Suspects) {
	now := q.node.now()
	var joined []promptpart.Finding
	q.mu.Lock()
	for _, p := range m.Parts {
		if sum := q.table.Parts().Merge(now, partFromProto(now, p)); sum != nil {
			joined = append(joined, *sum)
		}
	}
	q.mu.Unlock()
	if len(joined) > 0 && q.node.mayLeadNext()[coord.VMID(q.node.settings.Vm.Id)] {
		q.reportParts(joined)
	}
}

// blockedParts returns the blocked prompt parts by service and id.
func (q *contentQuarantine) blockedParts() map[string]Block {
	now := q.node.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	out := map[string]Block{}
	for _, f := range q.table.Parts().Findings(now) {
		if f.IsBlocked() {
			out[f.ID.Service+"/"+f.ID.Part] = Block{
				Targets: crashedTargets(f), SinceMs: now.Sub(f.Crashes[0].At).Milliseconds(), LeftMs: f.BlockedFor.Milliseconds(),
			}
		}
	}
	return out
}
