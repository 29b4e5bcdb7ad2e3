package edge

import (
	"encoding/hex"
	"math"
	"sync"
	"time"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/quarantine"
	"github.com/junctionfold/junctionfold/schema"
)

// contents keeps requests that end their targets from further ones: at the acting VM with what
// runs in the whole fleet, at the others with what that one told. Lock order: contents.mu is
// taken alone.
type contents struct {
	node *Node

	mu    sync.Mutex
	table *quarantine.Table
	// refused counts the requests that were refused for it here.
	refused int64
}

func newContents(n *Node) *contents { return &contents{node: n, table: quarantine.New()} }

func digestOf(b []byte) (d quarantine.Digest) {
	copy(d[:], b)
	return d
}

// check returns a refusal if a request's content is held, or suspect and under way already.
// Targets where other suspects run are excluded for one that is suspect.
func (c *contents) check(from coord.VMID, a *schema.Admit) *schema.Verdict {
	d := digestOf(a.Content)
	c.mu.Lock()
	defer c.mu.Unlock()
	reason, retry := c.table.Check(c.node.now(), quarantine.Key{VM: from, Ticket: a.Ticket}, d)
	if reason != "" {
		c.refused++
		return refusal(reason, retry)
	}
	a.Exclude = append(a.Exclude, c.table.TargetsToAvoid(d)...)
	return nil
}

// alone is check at a VM that gets no verdicts.
func (c *contents) alone(content quarantine.Digest) (reason string, retry time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reason, retry = c.table.CheckWithoutLeader(c.node.now(), content); reason != "" {
		c.refused++
	}
	return reason, retry
}

// began takes that a request goes to a target, and the time until its deadline.
func (c *contents) began(from coord.VMID, ticket uint64, content []byte, target string, left time.Duration) {
	now := c.node.now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.RequestStarted(now, quarantine.Key{VM: from, Ticket: ticket}, digestOf(content), target, now.Add(left))
}

// ended takes the end of a request.
func (c *contents) ended(from coord.VMID, ticket uint64, how schema.Ending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.RequestEnded(c.node.now(), quarantine.Key{VM: from, Ticket: ticket},
		how == schema.Ending_ENDING_OK, how == schema.Ending_ENDING_BROKE)
}

func (c *contents) drop(vm coord.VMID, before uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.ForgetVM(vm, before)
}

// maxTold bounds the findings of one message: some 40 bytes each.
const maxTold = 512

// tick judges what broke off, and tells the VMs that may act next of suspects, and all of what
// is held.
func (c *contents) tick() {
	c.mu.Lock()
	found := c.table.Tick(c.node.now())
	c.mu.Unlock()
	if len(found) == 0 {
		return
	}
	for _, f := range found {
		c.node.log.ContentSuspected(hex.EncodeToString(f.Digest[:]), f.Targets, f.BlockedFor)
	}
	all, held := suspectsToProto(found)
	c.node.tellSuspects(all, held)
}

// suspectsToProto makes messages of all findings, and of what is held.
func suspectsToProto(found []quarantine.Finding) (all, held *schema.Suspects) {
	all, held = &schema.Suspects{}, &schema.Suspects{}
	for _, f := range found {
		s := &schema.Suspect{Content: f.Digest[:], Targets: f.Targets, HeldMs: f.BlockedFor.Milliseconds()}
		if len(all.Suspects) < maxTold {
			all.Suspects = append(all.Suspects, s)
		}
		if f.BlockedFor > 0 {
			held.Suspects = append(held.Suspects, s)
		}
	}
	return all, held
}

// tellTo tells a VM what is known that has just started or is heard again: it may decide next, and
// has forgotten or not heard what was found. On a played day the VM that decided was killed, was the
// one that decides again 2 s later, and let three more engines end under a content that was held.
func (c *contents) tellTo(vm coord.VMID) {
	c.mu.Lock()
	found := c.table.Findings(c.node.now())
	c.mu.Unlock()
	if all, _ := suspectsToProto(found); len(all.Suspects) > 0 {
		go c.node.tell(vm, &schema.Call{Body: &schema.Call_Suspects{Suspects: all}})
	}
}

// learn takes what the acting VM found.
func (c *contents) learn(m *schema.Suspects) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range m.Suspects {
		held := time.Duration(min(s.HeldMs, math.MaxInt64/int64(time.Millisecond))) * time.Millisecond
		c.table.Merge(c.node.now(), quarantine.Finding{Digest: digestOf(s.Content), Targets: s.Targets, BlockedFor: held})
	}
}

// stats counts the contents that are suspect, those that are held, and the requests refused.
func (c *contents) stats() (suspect, held, refused int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.table.Findings(c.node.now()) {
		if f.BlockedFor > 0 {
			held++
		} else {
			suspect++
		}
	}
	return suspect, held, c.refused
}

// BlockedContent is a content that is held, for operators.
type BlockedContent struct {
	Targets []string
	SinceMs int64
	LeftMs  int64
}

// held lists contents that are held, by their digests.
func (c *contents) held() map[string]BlockedContent {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]BlockedContent{}
	for _, f := range c.table.Findings(c.node.now()) {
		if f.BlockedFor > 0 {
			out[hex.EncodeToString(f.Digest[:])] = BlockedContent{
				Targets: f.Targets, SinceMs: c.node.now().Sub(f.Since).Milliseconds(), LeftMs: f.BlockedFor.Milliseconds(),
			}
		}
	}
	return out
}

// tellSuspects tells all findings to the VMs that may act next, and what is held to the others.
func (n *Node) tellSuspects(all, held *schema.Suspects) {
	n.mu.Lock()
	strong := map[coord.VMID]bool{}
	for _, e := range n.roster.LeaderCandidates() {
		strong[e.ID] = true
	}
	n.mu.Unlock()
	for _, vm := range n.others() {
		m := held
		if strong[vm] {
			m = all
		}
		if len(m.Suspects) > 0 {
			go n.tell(vm, &schema.Call{Body: &schema.Call_Suspects{Suspects: m}})
		}
	}
}
