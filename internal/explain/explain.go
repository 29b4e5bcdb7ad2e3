// Package explain reads the logs of edge VMs and puts together what happened to
// one request, or why requests failed over a time.
package explain

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-logfmt/logfmt"
)

// Line is one event of a log.
type Line struct {
	At     time.Time
	VM     string
	Event  string
	Fields map[string]string
	// order of the fields as written
	keys []string
}

// timestampKey begins each line; what stands before it is not the log's.
const timestampKey = "timestamp="

// maxLine bounds one line, in bytes.
const maxLine = 1 << 20

// Read returns the events of a log. Lines of other programs are passed over; how
// many is returned too.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Text())
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, errors.Wrap(scanner.Err(), "read log")
}

func parse(text string) (Line, bool) {
	at := strings.Index(text, timestampKey)
	if at < 0 {
		return Line{}, false
	}
	d := logfmt.NewDecoder(strings.NewReader(text[at:]))
	l := Line{Fields: map[string]string{}}
	for d.ScanRecord() {
		for d.ScanKeyval() {
			key, value := string(d.Key()), string(d.Value())
			switch key {
			case "timestamp":
				l.At, _ = time.Parse(time.RFC3339Nano, value) // zero: sorted first
			case "vm":
				l.VM = value
			case "message":
				l.Event = value
			case "level":
			default:
				l.Fields[key] = value
				l.keys = append(l.keys, key)
			}
		}
	}
	return l, d.Err() == nil && l.Event != ""
}

// String gives the line for a person.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %-22s %-18s", l.At.Format("15:04:05.000"), l.VM, l.Event)
	for _, k := range l.keys {
		if v := l.Fields[k]; v != "" {
			fmt.Fprintf(&b, " %s=%s", k, v)
		}
	}
	return b.String()
}

// Sort puts lines of several VMs in the order of time.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

// Explanation is what happened to one request.
type Explanation struct {
	// RequestLines lines name the request.
	RequestLines []Line
	// RelatedLines are changes of what the VMs believed that may bear on it: of its
	// targets, its adapter, the configuration, the store and the fleet.
	RelatedLines []Line
	// Conclusion is a sentence on what ended the request, and on what inputs.
	Conclusion string
}

// lookBack is how long before a request a change may still bear on it: the
// longest bound of the deployments known, that on a new adapter version.
const lookBack = 5 * time.Second

// ErrRequestNotFound is returned for a request that no line names.
var ErrRequestNotFound = errors.New("no line names this request: it went well and was left out (see log_lines_omitted), reached no VM of these logs, or is older")

// Explain puts the story of a request together. Lines must be sorted.
func Explain(lines []Line, id string) (*Explanation, error) {
	s := &Explanation{}
	targets, adapters, vms := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.Fields["id"] != id {
			continue
		}
		s.RequestLines = append(s.RequestLines, l)
		targets[l.Fields["target"]] = true
		adapters[l.Fields["adapter"]] = true
		vms[l.VM] = true
		vms[l.Fields["decided_by"]] = true
	}
	if len(s.RequestLines) == 0 {
		return nil, ErrRequestNotFound
	}
	delete(targets, "")
	delete(adapters, "")
	end := s.RequestLines[len(s.RequestLines)-1]
	from := end.At.Add(-took(end) - lookBack)
	for _, l := range lines {
		if l.Fields["id"] != "" || l.At.Before(from) || l.At.After(end.At) {
			continue
		}
		if bears(l, targets, adapters, vms) {
			s.RelatedLines = append(s.RelatedLines, l)
		}
	}
	s.Conclusion = verdict(end)
	return s, nil
}

func took(l Line) time.Duration {
	d, err := time.ParseDuration(l.Fields["took_ms"] + "ms")
	if err != nil {
		return 0
	}
	return d
}

// bears reports whether a change may have to do with a request.
func bears(l Line, targets, adapters, vms map[string]bool) bool {
	switch l.Event {
	case "target_changed", "report_failed":
		return targets[l.Fields["target"]] && vms[l.VM]
	case "order_answered":
		return adapters[l.Fields["adapter"]] || targets[l.Fields["target"]] && l.Fields["result"] != "begun"
	case "request_ended", "attempt_failed", "retry_denied", "verdict_refused", "log_lines_omitted":
		return false
	}
	return vms[l.VM]
}

// verdict tells what ended a request.
func verdict(l Line) string {
	f := l.Fields
	if l.Event != "request_ended" {
		return fmt.Sprintf("no line closes it: %s stopped or was killed while it was open", l.VM)
	}
	where := "it was sent to no target"
	if f["target"] != "" {
		where = fmt.Sprintf("attempt %s was at %s, chosen by %s", f["sends"], f["target"], f["decided_by"])
	}
	what := f["outcome"]
	if f["reason"] != "" {
		what += " (" + f["reason"] + ")"
	}
	return fmt.Sprintf("%s ended it after %s ms: %s, status %s; %s; %s ms were for verdicts; configuration %s, known current %s ms before%s",
		l.VM, f["took_ms"], what, f["status"], where, f["admit_ms"], f["config"], f["feed_age_ms"], whose(f))
}

// whose tells by what a request's key was judged, where it had one or needed one.
func whose(f map[string]string) string {
	switch {
	case f["team"] != "":
		return fmt.Sprintf("; key %s of team %s, by a copy proven current %s ms before", f["key"], f["team"], f["proven_ms"])
	case f["key"] != "":
		return fmt.Sprintf("; key %s, which no team of that configuration has, by a copy proven current %s ms before", f["key"], f["proven_ms"])
	case f["reason"] == "keys_not_current":
		return fmt.Sprintf("; no key could be judged, as the copy was proven current %s ms before", f["proven_ms"])
	}
	return ""
}

// Cause is how many requests ended in one way.
type Cause struct {
	Outcome, Reason, Route string
	Count                  int
	// Example is the id of one of them.
	Example string
}

// Causes counts the ends of requests other than good ones, most frequent first.
func Causes(lines []Line) []Cause {
	counts := map[Cause]*Cause{}
	for _, l := range lines {
		if l.Event != "request_ended" || l.Fields["outcome"] == "ok" {
			continue
		}
		key := Cause{Outcome: l.Fields["outcome"], Reason: l.Fields["reason"], Route: l.Fields["route"]}
		c := counts[key]
		if c == nil {
			c = &Cause{Outcome: key.Outcome, Reason: key.Reason, Route: key.Route, Example: l.Fields["id"]}
			counts[key] = c
		}
		c.Count++
	}
	var out []Cause
	for _, c := range counts {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b Cause) int {
		return cmp.Or(b.Count-a.Count, strings.Compare(a.Outcome+a.Reason+a.Route, b.Outcome+b.Reason+b.Route))
	})
	return out
}
