package entry

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/attempt"
	"github.com/junctionfold/junctionfold/internal/catalog"
	"github.com/junctionfold/junctionfold/internal/forward"
	"github.com/junctionfold/junctionfold/internal/router"
	"github.com/junctionfold/junctionfold/internal/target"
	"github.com/junctionfold/junctionfold/schema"
)

// service serves a call to a plain service.
func (d *Server) service(w http.ResponseWriter, r *http.Request) {
	c, ok := d.begin(w, r)
	if !ok {
		return
	}
	s := c.catalog.Service(r.PathValue("service"))
	if s == nil {
		c.fail(refusal(forward.CodeUnknownService, http.StatusNotFound, 0, "no such service: "+r.PathValue("service")))
		return
	}
	if !c.allow(
		keyedRate{key: "caller/" + c.caller(), what: "the caller", perSecond: c.catalog.Limits.GetCallerRateLimit()},
		keyedRate{key: "service/" + s.Name, what: "the service", perSecond: s.RateLimit},
	) {
		return
	}
	body, ok := c.body()
	if !ok {
		return
	}
	ctx, cancel := c.serviceDeadline(s)
	defer cancel()
	c.serve(ctx, c.serviceJob(s, body))
}

// serviceDeadline keeps within the service's own timeout.
func (c *call) serviceDeadline(s *catalog.Service) (context.Context, context.CancelFunc) {
	ctx, cancel := c.deadline()
	if s.Timeout <= 0 {
		return ctx, cancel
	}
	inner, cancelInner := context.WithTimeout(ctx, s.Timeout)
	return inner, func() { cancelInner(); cancel() }
}

// servicePath returns what follows /services/NAME, escaped as it came.
func servicePath(u *url.URL) string {
	parts := strings.SplitN(u.EscapedPath(), "/", 4)
	path := "/" + parts[len(parts)-1]
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return path
}

func (c *call) serviceJob(s *catalog.Service, body []byte) *job {
	path := servicePath(c.r.URL)
	return &job{
		forward: &schema.Forward{
			RequestId: c.id, BundleVersion: c.catalog.Version, Method: c.r.Method, Path: path,
			Headers: target.ForwardableHeaders(c.r.Header), Body: body,
		},
		idempotent: s.Idempotent(c.r.Method),
		pick: func(avoid []coord.TargetID) (router.Route, bool) {
			return c.door.cfg.Router.PickService(s, avoid)
		},
		executor: func(r router.Route) forward.Executor {
			return serviceCall{target.NewService(r.Address, c.door.cfg.Transport)}
		},
	}
}

// serviceCall runs attempts on one instance of a plain service. No owner is
// needed: an instance has no slots and takes no orders.
type serviceCall struct {
	service *target.Service
}

// Execute runs one attempt.
func (s serviceCall) Execute(ctx context.Context, f *schema.Forward, sink forward.Sink) forward.Result {
	return s.service.Run(ctx, f, &attempt.Attempt{}, sink)
}
