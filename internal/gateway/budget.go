package gateway

import (
	"math/rand/v2"

	"github.com/junctionfold/junctionfold/coord/retry"
)

// SetRetry changes the configuration of the retry budgets.
func (g *Gateway) SetRetry(c retry.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg.Retry = c
	for _, b := range g.budgets {
		b.Configure(c)
	}
}

func (g *Gateway) budget(service string) *retry.Budget {
	vms := g.cfg.VMs()
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.budgets[service]
	if b == nil {
		b = retry.New(g.cfg.Retry, vms)
		g.budgets[service] = b
	}
	b.SetVMs(vms)
	return b
}

// tryAcquireRetry takes one retry from the budget and reports whether there was one.
func (x *exchange) tryAcquireRetry() bool {
	x.g.mu.Lock()
	defer x.g.mu.Unlock()
	if x.budget.TryAcquire(rand.Float64()) {
		return true
	}
	x.g.cfg.Metrics.BudgetEmpty.Add(1)
	x.g.cfg.Log.RetryDenied(x.req.ID, x.service.Name, x.budget.Remaining())
	return false
}
