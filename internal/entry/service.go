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

// service handles a request to a plain service.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	c, ok := s.begin(w, r)
	if !ok {
		return
	}
	svc := c.catalog.Service(r.PathValue("service"))
	if svc == nil {
		c.fail(notRunFailure(forward.CodeUnknownService, http.StatusNotFound, 0, "no such service: "+r.PathValue("service")))
		return
	}
	if !c.allow(
		keyedRate{key: "caller/" + c.callerID(), subject: "the caller", perSecond: c.catalog.Limits.GetCallerRateLimit()},
		keyedRate{key: "service/" + svc.Name, subject: "the service", perSecond: svc.RateLimit},
	) {
		return
	}
	body, ok := c.readBody()
	if !ok {
		return
	}
	ctx, cancel := c.serviceDeadline(svc)
	defer cancel()
	c.serve(ctx, c.serviceJob(svc, body))
}

// serviceDeadline returns the context of the request with its deadline, shortened to
// the timeout of the service if that ends first.
func (c *call) serviceDeadline(svc *catalog.Service) (context.Context, context.CancelFunc) {
	ctx, cancel := c.deadline()
	if svc.Timeout <= 0 {
		return ctx, cancel
	}
	inner, cancelInner := context.WithTimeout(ctx, svc.Timeout)
	return inner, func() { cancelInner(); cancel() }
}

// servicePath returns the part of the path after /services/NAME, with the original
// escaping, and the query.
func servicePath(u *url.URL) string {
	parts := strings.SplitN(u.EscapedPath(), "/", 4)
	path := "/" + parts[len(parts)-1]
	if u.RawQuery != "" {
		path += "?" + u.RawQuery
	}
	return path
}

func (c *call) serviceJob(svc *catalog.Service, body []byte) *job {
	path := servicePath(c.r.URL)
	return &job{
		forward: &schema.Forward{
			RequestId: c.id, BundleVersion: c.catalog.Version, Method: c.r.Method, Path: path,
			Headers: target.ForwardableHeaders(c.r.Header), Body: body,
		},
		idempotent: svc.Idempotent(c.r.Method),
		pickRoute: func(exclude []coord.TargetID) (router.Route, bool) {
			return c.server.cfg.Router.PickService(svc, exclude)
		},
		executor: func(r router.Route) forward.Executor {
			return serviceExecutor{target.NewService(r.Address, c.server.cfg.Transport)}
		},
	}
}

// serviceExecutor runs attempts on one instance of a plain service. An instance has no
// owner, because it has no adapter slots and receives no orders.
type serviceExecutor struct {
	service *target.Service
}

// Execute runs one attempt and writes its response to the sink.
func (e serviceExecutor) Execute(ctx context.Context, f *schema.Forward, sink forward.Sink) forward.Result {
	return e.service.Run(ctx, f, &attempt.Attempt{}, sink)
}
