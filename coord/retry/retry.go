// Package retry limits the retries of a fleet without exchanging messages between VMs.
//
// The deployment allows, in any time window, Ratio retries for each request plus Slack,
// summed over all VMs. Each VM keeps a token bucket: a request adds Ratio tokens, a retry
// costs one token, and the capacity of the bucket is this VM's share of Slack. In any
// window, all VMs together then make no more retries than allowed. SafetyFactor scales the
// added tokens and the capacity. It leaves room for VMs that restart with a filled bucket
// and for requests that are counted on both sides of the edge of a window.
package retry

// Config holds the retries that the deployment allows.
type Config struct {
	// Ratio is the number of retries allowed for each request.
	Ratio float64
	// Slack is the number of additional retries allowed in one window, over all VMs.
	Slack float64
}

// SafetyFactor is the fraction of the allowance that is used.
const SafetyFactor = 0.7

// initialFillRatio is the fraction of its capacity with which a new bucket starts. It is below
// one so that VMs that restart often gain few additional retries.
const initialFillRatio = 0.5

// Budget is one VM's token bucket for the retries to one service.
type Budget struct {
	cfg    Config
	vms    int
	tokens float64
}

// New returns the Budget of one VM in a fleet of vms VMs.
func New(cfg Config, vms int) *Budget {
	b := &Budget{cfg: cfg, vms: max(vms, 1)}
	b.tokens = initialFillRatio * b.capacity()
	return b
}

func (b *Budget) capacity() float64 { return SafetyFactor * b.cfg.Slack / float64(b.vms) }

// Configure changes the retries that the deployment allows. It applies immediately.
func (b *Budget) Configure(cfg Config) {
	b.cfg = cfg
	b.tokens = min(b.tokens, b.capacity())
}

// SetVMs sets the number of VMs that share the slack.
func (b *Budget) SetVMs(vms int) {
	b.vms = max(vms, 1)
	b.tokens = min(b.tokens, b.capacity())
}

// RecordRequest counts a request, which adds Ratio tokens scaled by SafetyFactor.
func (b *Budget) RecordRequest() {
	b.tokens = min(b.tokens+SafetyFactor*b.cfg.Ratio, b.capacity())
}

// TryAcquire consumes one token for a retry and reports whether the retry is allowed.
// random must be uniformly distributed between 0 and 1. If only a fraction of a token is
// left, it allows a retry with a probability equal to the fraction and is consumed either
// way. In large fleets a VM's share of Slack is about one token (a Slack of 430 over 195
// VMs, with SafetyFactor: 1.5). Whole tokens alone would leave much of the fleet's
// allowance unused: of 195 retries requested right after a start, 52 were allowed with
// whole tokens and 116 with fractions (TestLargeFleetUsesItsAllowance).
func (b *Budget) TryAcquire(random float64) bool {
	if b.tokens >= 1 {
		b.tokens--
		return true
	}
	allowed := random < b.tokens
	b.tokens = 0
	return allowed
}

// Remaining returns the number of tokens in the bucket.
func (b *Budget) Remaining() float64 { return b.tokens }
