package origin

import "time"

// History tells for how long the targets of each service have had one software version only.
type History struct{ spans map[string]Span }

// Span is what a VM knows of the software versions of a service.
type Span struct {
	// Version is the only version that the service's targets have had since Since; empty: there are
	// several, or one is unknown.
	Version string
	Since   time.Time
	// changed reports that there was another version, or an unknown one, before Since.
	changed bool
}

// NewHistory returns a History without observations.
func NewHistory() *History { return &History{spans: map[string]Span{}} }

// Observe records the software versions of all announced targets of a service; an empty one is unknown.
// A service without targets keeps its last version, because streams that began there may be taken up.
func (h *History) Observe(now time.Time, service string, versions []string) {
	if len(versions) == 0 {
		return
	}
	only := versions[0]
	for _, v := range versions[1:] {
		if v != only {
			only = ""
		}
	}
	if last, observed := h.spans[service]; !observed || only == "" || last.Version != only {
		h.spans[service] = Span{Version: only, Since: now, changed: observed}
	}
}

// Restart begins the history of all services anew, because changes before now may have been missed.
func (h *History) Restart(now time.Time) {
	for service, s := range h.spans {
		s.Since = now
		h.spans[service] = s
	}
}

// OnlySeen returns the only version of a service's targets that was observed within the window, however
// short a time ago the first observation was; empty: there were several, or one is unknown.
func (h *History) OnlySeen(now time.Time, service string, window time.Duration) string {
	s := h.spans[service]
	if s.changed && now.Sub(s.Since) < window {
		return ""
	}
	return s.Version
}

// Span returns what is known of a service. observed is false if no target was ever announced.
func (h *History) Span(service string) (s Span, observed bool) {
	s, observed = h.spans[service]
	return s, observed
}

// Claim is a VM's answer to the question for a service's software version.
type Claim struct {
	// Observed is false if the VM knows nothing of the service.
	Observed bool
	// Version is the only version, and For the time for which it has been the only one; empty: there
	// are several, or one is unknown.
	Version string
	For     time.Duration
}

// Prove returns the version that began every stream of the service within the window, according to the
// claims of VMs that have observed it. It returns "" if none has observed it for so long, or if the
// claims contradict each other.
func Prove(window time.Duration, claims []Claim) string {
	version, longest := "", time.Duration(-1)
	for _, c := range claims {
		if !c.Observed {
			continue
		}
		if c.Version == "" || version != "" && c.Version != version {
			return ""
		}
		version, longest = c.Version, max(longest, c.For)
	}
	if longest < window {
		return ""
	}
	return version
}
