// Package explain reads the logs of edge VMs. It reconstructs the history of a single request,
// and counts why requests failed.
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
	// keys are the keys of Fields in the order of the log line.
	keys []string
}

// timestampKey starts each event. Text before it is not part of the log and is ignored.
const timestampKey = "timestamp="

const maxLineBytes = 1 << 20

// Read returns the events of a log and the number of skipped lines. Lines that are not events
// are skipped.
func Read(r io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
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

// parse decodes one line. It returns false if the line is not an event.
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
				l.At, _ = time.Parse(time.RFC3339Nano, value) // an invalid time stays zero and sorts first
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

// String formats the line for display.
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

// Sort sorts the lines of several VMs by time. The sort is stable.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
}

// Explanation describes the history of one request.
type Explanation struct {
	// RequestLines are the events of the request itself.
	RequestLines []Line
	// RelatedLines are state changes that may have affected the request: changes of its
	// targets, its adapter, the configuration, the store and the fleet.
	RelatedLines []Line
	// Conclusion is a sentence that states the outcome of the request and the inputs of the
	// decision.
	Conclusion string
}

// lookbackWindow is the time before the start of a request in which a state change may still
// affect it. It is the longest propagation bound of the known deployments, the bound for a new
// adapter version.
const lookbackWindow = 5 * time.Second

// ErrRequestNotFound is returned by Explain if no line has the request's id.
var ErrRequestNotFound = errors.New("no log line has this request id: the request succeeded and was omitted (see log_lines_omitted), reached none of the VMs whose logs were read, or is older than the logs")

// Explain reconstructs the history of the request with the given id, and of the requests by which its
// caller took its stream up, perhaps at other VMs. The lines must be sorted.
// It returns ErrRequestNotFound if no line has the id.
func Explain(lines []Line, id string) (*Explanation, error) {
	e := &Explanation{}
	targets, adapters, vms := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, l := range lines {
		if l.Fields["id"] != id && l.Fields["first_attempt"] != id {
			continue
		}
		e.RequestLines = append(e.RequestLines, l)
		targets[l.Fields["target"]] = true
		adapters[l.Fields["adapter"]] = true
		vms[l.VM] = true
		vms[l.Fields["decided_by"]] = true
	}
	if len(e.RequestLines) == 0 {
		return nil, ErrRequestNotFound
	}
	delete(targets, "")
	delete(adapters, "")
	end := e.RequestLines[len(e.RequestLines)-1]
	from := end.At.Add(-requestDuration(end) - lookbackWindow)
	for _, l := range lines {
		if l.Fields["id"] != "" || l.At.Before(from) || l.At.After(end.At) {
			continue
		}
		if isRelated(l, targets, adapters, vms) {
			e.RelatedLines = append(e.RelatedLines, l)
		}
	}
	e.Conclusion = conclusion(end)
	return e, nil
}

// requestDuration returns the duration of a request_ended event, or 0 if it has none.
func requestDuration(l Line) time.Duration {
	d, err := time.ParseDuration(l.Fields["took_ms"] + "ms")
	if err != nil {
		return 0
	}
	return d
}

// isRelated reports whether a state change may have affected a request with the given targets,
// adapters and VMs.
func isRelated(l Line, targets, adapters, vms map[string]bool) bool {
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

// conclusion describes how a request ended. l is the last event of the request.
func conclusion(l Line) string {
	f := l.Fields
	if l.Event != "request_ended" {
		return fmt.Sprintf("no line closes it: %s stopped or was killed while it was open", l.VM)
	}
	attempt := "it was sent to no target"
	if f["target"] != "" {
		attempt = fmt.Sprintf("attempt %s was at %s, chosen by %s", f["sends"], f["target"], f["decided_by"])
	}
	outcome := f["outcome"]
	if f["reason"] != "" {
		outcome += " (" + f["reason"] + ")"
	}
	return fmt.Sprintf("%s ended it after %s ms: %s, status %s; %s; %s ms were for verdicts; configuration %s, known current %s ms before%s",
		l.VM, f["took_ms"], outcome, f["status"], attempt, f["admit_ms"], f["config"], f["feed_age_ms"], describeKey(f))
}

// describeKey describes the check of the request's API key. It returns an empty string if the
// request had no key and needed none.
func describeKey(f map[string]string) string {
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

// Cause counts the requests that ended with the same outcome, reason and route.
type Cause struct {
	Outcome, Reason, Route string
	Count                  int
	// Example is the id of one of these requests.
	Example string
}

// Causes counts the unsuccessful requests by cause, most frequent first.
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
