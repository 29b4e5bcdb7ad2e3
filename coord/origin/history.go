package origin

import "time"

// History tells for how long the targets of each service have had one software version only.
type History struct {
	spans map[string]Span
	// told has what other VMs told of services that this VM has not observed yet.
	told map[string]Seen
	// begins is from when on the first observation of a service counts; zero: from the observation.
	begins time.Time
}

// Span is what a VM knows of the software versions of a service.
type Span struct {
	// Version is the only version that the service's targets have had since Since; empty: there are
	// several, or one is unknown.
	Version string
	Since   time.Time
	// SeenSince is since when Version has been the only one that was observed. Others may have come and
	// gone unobserved.
	SeenSince time.Time
	// changed reports that this VM has observed another version, or an unknown one, before SeenSince.
	changed bool
}

// NewHistory returns a History without observations. What it observes first counts from begins on; zero: from
// the observation.
func NewHistory(begins time.Time) *History {
	return &History{spans: map[string]Span{}, told: map[string]Seen{}, begins: begins}
}

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
	last, observed := h.spans[service]
	if observed && only != "" && last.Version == only {
		return
	}
	since := now
	if !observed && !h.begins.IsZero() {
		since = h.begins
	}
	h.spans[service] = Span{Version: only, Since: since, SeenSince: since, changed: observed}
	if !observed {
		h.Adopt(h.told[service])
		delete(h.told, service)
	}
}

// Seen is what a VM tells another one: the only software version that it has seen at a service, and since when.
type Seen struct {
	Service, Version string
	Since            time.Time
}

// Seen returns what this VM has seen of each service that has one version only.
func (h *History) Seen() (seen []Seen) {
	for service, s := range h.spans {
		if s.Version != "" {
			seen = append(seen, Seen{Service: service, Version: s.Version, Since: s.SeenSince})
		}
	}
	return seen
}

// Adopt adds what another VM has seen to the observations of this VM, which has started later.
func (h *History) Adopt(seen Seen) {
	s, observed := h.spans[seen.Service]
	switch {
	case seen.Service == "":
	case !observed:
		h.told[seen.Service] = seen
	case s.Version == seen.Version && seen.Since.Before(s.SeenSince) && !s.changed:
		s.SeenSince = seen.Since
		h.spans[seen.Service] = s
	}
}

// Restart begins the history of all services anew, because changes before now may have been missed.
func (h *History) Restart(now time.Time) {
	for service, s := range h.spans {
		s.Since = now
		h.spans[service] = s
	}
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
