package edge

import (
	"encoding/hex"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/promptpart"
	"github.com/junctionfold/junctionfold/coord/quarantine"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/schema"
)

// contentQuarantine keeps requests whose content crashes targets away from further targets. The
// leader judges by the requests that run in the whole fleet; the other VMs hold the findings that
// the leader sent. Lock order: no other lock is acquired while contentQuarantine.mu is held.
type contentQuarantine struct {
	node *Node

	mu    sync.Mutex
	table *quarantine.Table
	// refused counts the requests that this VM refused because of their content.
	refused int64
	// listingCheckedAt is when crashed targets were last looked up in the store's listing.
	listingCheckedAt time.Time
}

func newContentQuarantine(n *Node) *contentQuarantine {
	return &contentQuarantine{node: n, table: quarantine.New()}
}

func digestOf(b []byte) (d quarantine.Digest) {
	copy(d[:], b)
	return d
}

// check returns a refusal if a request's content is blocked, or if it is suspect and another
// request with it is in flight. For suspect content it excludes the targets where other suspects
// run, unless the request continues a stream that no other target can continue.
func (q *contentQuarantine) check(from coord.VMID, a *schema.Admit, parts []promptpart.ID) *schema.Verdict {
	d, targets := digestOf(a.Content), q.node.feed.Directory().Targets
	q.mu.Lock()
	defer q.mu.Unlock()
	if refusal := q.refusal(from, a.Ticket, d); refusal != nil {
		return refusal
	}
	if refusal := q.checkParts(a, parts, targets); refusal != nil {
		return refusal
	}
	avoid := slices.Concat(a.Exclude, q.table.TargetsToAvoid(d))
	if a.SoftwareVersion == "" || canContinue(targets, a, avoid) {
		a.Exclude = avoid
	}
	return nil
}

// canContinue reports whether a target that is not to be avoided runs the software version that began
// the stream of a request.
func canContinue(targets map[string]*fleet.Target, a *schema.Admit, avoid []string) bool {
	for _, t := range targets {
		if t.Service == a.Service && t.Runs(a.SoftwareVersion) && t.State == fleet.TargetReady && !slices.Contains(avoid, t.ID) {
			return true
		}
	}
	return false
}

// refusal returns a refusal if a request's content may not run now. q.mu is held.
func (q *contentQuarantine) refusal(from coord.VMID, ticket uint64, d quarantine.Digest) *schema.Verdict {
	return q.refuse(q.table.Check(q.node.now(), quarantine.Key{VM: from, Ticket: ticket}, d))
}

// refuse returns a refusal with the given reason and counts it, or nil if the reason is empty. q.mu is held.
func (q *contentQuarantine) refuse(reason string, retryAfter time.Duration) *schema.Verdict {
	if reason == "" {
		return nil
	}
	q.refused++
	return refusalMessage(reason, retryAfter)
}

// startPlaced records that a request is sent to a target. It returns a refusal instead if the request
// may not run there any more: while it waited, its content was blocked, or another suspect came first.
// A request that continues a stream may run beside another suspect, see check.
func (q *contentQuarantine) startPlaced(from coord.VMID, a *schema.Admit, parts []promptpart.ID, target string) *schema.Verdict {
	now, d := q.node.now(), digestOf(a.Content)
	q.mu.Lock()
	defer q.mu.Unlock()
	if refusal := q.refusal(from, a.Ticket, d); refusal != nil {
		return refusal
	}
	if a.SoftwareVersion == "" && slices.Contains(q.table.TargetsToAvoid(d), target) {
		return q.refuse(quarantine.ReasonSuspect, besideSuspectRetryDelay)
	}
	if refusal := q.refuse(q.table.Parts().CheckAt(now, parts, target)); refusal != nil {
		return refusal
	}
	q.table.RequestStarted(now, quarantine.Key{VM: from, Ticket: a.Ticket}, d, target, now.Add(time.Duration(a.LeftMs)*time.Millisecond), parts...)
	return nil
}

// besideSuspectRetryDelay is the retry delay of a request that would run beside another suspect. Either
// the other one has crashed the target by then, or it goes on.
const besideSuspectRetryDelay = 500 * time.Millisecond

// checkWithoutLeader is check for a VM that gets no decisions from the leader.
func (q *contentQuarantine) checkWithoutLeader(content quarantine.Digest, parts []promptpart.ID) (reason string, retryAfter time.Duration) {
	now := q.node.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Parts().Requested(now, parts)
	if reason, retryAfter = q.table.CheckWithoutLeader(now, content); reason == "" {
		reason, retryAfter = q.table.Parts().CheckWithoutLeader(now, parts)
	}
	if reason != "" {
		q.refused++
	}
	return reason, retryAfter
}

// requestStarted records that a request is sent to a target, and the time left until its deadline.
func (q *contentQuarantine) requestStarted(from coord.VMID, ticket uint64, content []byte, target string, timeLeft time.Duration, parts []promptpart.ID) {
	now := q.node.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.RequestStarted(now, quarantine.Key{VM: from, Ticket: ticket}, digestOf(content), target, now.Add(timeLeft), parts...)
}

// requestEnded records the end of a request and whether its connection broke.
func (q *contentQuarantine) requestEnded(from coord.VMID, ticket uint64, ending schema.Ending) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.RequestEnded(q.node.now(), quarantine.Key{VM: from, Ticket: ticket},
		ending == schema.Ending_ENDING_OK, ending == schema.Ending_ENDING_BROKE)
}

func (q *contentQuarantine) forgetVM(vm coord.VMID, beforeTicket uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.ForgetVM(vm, beforeTicket)
}

// maxFindingsPerMessage bounds the findings in one message. Each takes about 40 bytes.
const maxFindingsPerMessage = 512

// listingCheckInterval is the time between two looks whether crashed targets go on.
const listingCheckInterval = 200 * time.Millisecond

// releaseUnconfirmed withdraws crashes of targets that go on, as the store's listing shows. Each VM
// does so for its own findings and for those it received.
func (q *contentQuarantine) releaseUnconfirmed() {
	now := q.node.now()
	q.mu.Lock()
	if now.Sub(q.listingCheckedAt) < listingCheckInterval {
		q.mu.Unlock()
		return
	}
	q.listingCheckedAt = now
	crashed := q.table.CrashedTargets()
	q.mu.Unlock()
	if len(crashed) == 0 {
		return
	}
	running, ranAt := q.node.feed.Running(crashed)
	for _, target := range running {
		q.mu.Lock()
		released := q.table.TargetRan(now, ranAt, target)
		q.mu.Unlock()
		for _, d := range released {
			q.node.log.ContentReleased(hex.EncodeToString(d[:]), target)
		}
	}
}

// tick evaluates requests whose connections broke, and publishes new findings.
func (q *contentQuarantine) tick() {
	q.releaseUnconfirmed()
	q.mu.Lock()
	found := q.table.Tick(q.node.now())
	foundParts := q.table.Parts().TakeChanges(q.node.now(), q.node.isLeader())
	q.mu.Unlock()
	q.reportParts(foundParts)
	if len(found) == 0 {
		return
	}
	for _, f := range found {
		q.node.log.ContentSuspected(hex.EncodeToString(f.Digest[:]), f.Targets, f.BlockedFor)
	}
	q.publish(found)
}

// publish sends findings to the VMs that may lead next, and those that all VMs need to them: blocked
// contents, and contents under which several targets crashed, which VMs without a leader must not send.
func (q *contentQuarantine) publish(found []quarantine.Finding) {
	q.node.sendSuspects(suspectsToProto(found))
}

// suspectsToProto returns a message with all findings, up to maxFindingsPerMessage, and one with those
// that all VMs need.
func suspectsToProto(found []quarantine.Finding) (all, forEveryVM *schema.Suspects) {
	all, forEveryVM = &schema.Suspects{}, &schema.Suspects{}
	for _, f := range found {
		s := &schema.Suspect{Content: f.Digest[:], Targets: f.Targets, HeldMs: f.BlockedFor.Milliseconds()}
		if len(all.Suspects) < maxFindingsPerMessage {
			all.Suspects = append(all.Suspects, s)
		}
		if f.BlockedFor > 0 || f.IsRecurring() {
			forEveryVM.Suspects = append(forEveryVM.Suspects, s)
		}
	}
	return all, forEveryVM
}

// sendFindingsTo sends the known findings to a VM that has just started or is responsive again. It
// may become the leader and has lost or missed the findings: in a simulated run, a leader that was
// killed became the leader again 2 s later and let three more engines crash under blocked content.
func (q *contentQuarantine) sendFindingsTo(vm coord.VMID) {
	q.mu.Lock()
	found, foundParts := q.table.Findings(q.node.now()), q.table.Parts().Findings(q.node.now())
	q.mu.Unlock()
	all, _ := suspectsToProto(found)
	all.Parts = partsToProto(q.node.now(), foundParts)
	q.node.sendSuspectsTo(vm, all)
}

// mergeFindings applies findings that another VM sent. A VM that may lead next publishes what several VMs
// have found together: without a leader each of them knows its own requests only.
func (q *contentQuarantine) mergeFindings(m *schema.Suspects) {
	q.mergeParts(m)
	if joined := q.merge(m); len(joined) > 0 && q.node.mayLeadNext()[coord.VMID(q.node.settings.Vm.Id)] {
		q.publish(joined)
	}
}

// merge applies findings, and returns those that several VMs have found together.
func (q *contentQuarantine) merge(m *schema.Suspects) (joined []quarantine.Finding) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, s := range m.Suspects {
		f := quarantine.Finding{Digest: digestOf(s.Content), Targets: s.Targets, BlockedFor: milliseconds(s.HeldMs)}
		if sum := q.table.Merge(q.node.now(), f); sum != nil {
			joined = append(joined, *sum)
		}
	}
	return joined
}

// milliseconds returns a duration that another VM sent, or the longest one if it is longer.
func milliseconds(ms int64) time.Duration {
	return time.Duration(min(ms, math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
}

// stats returns the number of suspect contents, of blocked contents and of refused requests.
func (q *contentQuarantine) stats() (suspect, blocked, refused int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, f := range q.table.Findings(q.node.now()) {
		if f.BlockedFor > 0 {
			blocked++
		} else {
			suspect++
		}
	}
	return suspect, blocked, q.refused
}

// Block describes a blocked content or prompt part for operators.
type Block struct {
	Targets []string
	SinceMs int64
	LeftMs  int64
}

// blocked returns the blocked contents by digest in hexadecimal.
func (q *contentQuarantine) blocked() map[string]Block {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := map[string]Block{}
	for _, f := range q.table.Findings(q.node.now()) {
		if f.BlockedFor > 0 {
			out[hex.EncodeToString(f.Digest[:])] = Block{
				Targets: f.Targets, SinceMs: q.node.now().Sub(f.Since).Milliseconds(), LeftMs: f.BlockedFor.Milliseconds(),
			}
		}
	}
	return out
}

// sendSuspects sends all findings to the VMs that may lead next, and those that every VM needs to the
// others.
func (n *Node) sendSuspects(all, forEveryVM *schema.Suspects) {
	candidates := n.mayLeadNext()
	for _, vm := range n.livePeers() {
		m := forEveryVM
		if candidates[vm] {
			m = all
		}
		n.sendSuspectsTo(vm, m)
	}
}

// sendSuspectsTo sends findings to a VM, unless there are none.
func (n *Node) sendSuspectsTo(vm coord.VMID, m *schema.Suspects) {
	if len(m.Suspects) > 0 || len(m.Parts) > 0 {
		go n.notify(vm, &schema.Call{Body: &schema.Call_Suspects{Suspects: m}})
	}
}

// mayLeadNext returns the VMs that may lead next.
func (n *Node) mayLeadNext() map[coord.VMID]bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	candidates := map[coord.VMID]bool{}
	for _, e := range append(n.roster.CapableVMs(), n.roster.LeaderCandidates()...) {
		candidates[e.ID] = true
	}
	return candidates
}
