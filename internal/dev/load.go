package dev

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/gjson"
)

// LoadGenerator is callers that keep asking. It counts how their requests end.
type LoadGenerator struct {
	// OK counts right and whole answers, Refused answers that say not run,
	// Unknown answers that say so, Aborted connections that broke before an
	// answer was whole, and Wrong everything else.
	OK, Refused, Unknown, Aborted, Wrong atomic.Int64

	mu    sync.Mutex
	first string
	codes map[string]int
	stop  context.CancelFunc
	wg    sync.WaitGroup
}

// StartLoadGenerator starts callers that spread their requests over the doors. doors is
// asked before each request.
func (c *Cluster) StartLoadGenerator(callers int, models []string, doors func() []string) *LoadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	l := &LoadGenerator{stop: cancel}
	for i := range callers {
		l.wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				urls := doors()
				l.ask(urls[(i+n)%len(urls)], models[(i*7+n)%len(models)], fmt.Sprintf("caller %d request %d", i, n), n%2 == 0)
			}
		})
	}
	return l
}

// loadTimeout bounds one request of a load.
const loadTimeout = 20 * time.Second

func (l *LoadGenerator) ask(url, model, text string, stream bool) {
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	r, err := Post(ctx, url+chatPath, ChatBody(model, text, stream), nil)
	if err != nil {
		l.Aborted.Add(1)
		return
	}
	if r.status != http.StatusOK {
		l.takeError(r)
		return
	}
	got := gjson.GetBytes(r.body, "choices.0.message.content").String()
	if stream {
		if got, err = StreamText(r.body); err != nil {
			l.wrong(err.Error())
			return
		}
	}
	if got != expected(model, text) {
		l.wrong(fmt.Sprintf("got %q, want %q", got, expected(model, text)))
		return
	}
	l.OK.Add(1)
}

func (l *LoadGenerator) takeError(r reply) {
	switch gjson.GetBytes(r.body, "error.not_run").String() {
	case "true":
		l.Refused.Add(1)
		l.note(gjson.GetBytes(r.body, "error.code").String())
	case "unknown":
		l.Unknown.Add(1)
	default:
		l.wrong(string(r.body))
	}
}

func (l *LoadGenerator) wrong(what string) {
	l.Wrong.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.first == "" {
		l.first = what
	}
}

// note counts a refusal by its code.
func (l *LoadGenerator) note(code string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.codes == nil {
		l.codes = map[string]int{}
	}
	l.codes[code]++
}

// String sums the load up.
func (l *LoadGenerator) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("ok %d, refused %d %v, unknown %d, aborted %d, wrong %d",
		l.OK.Load(), l.Refused.Load(), l.codes, l.Unknown.Load(), l.Aborted.Load(), l.Wrong.Load())
}

// FirstWrong says what the first wrong end was.
func (l *LoadGenerator) FirstWrong() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.first
}

// Stop lets requests that run end, and stops.
func (l *LoadGenerator) Stop() {
	l.stop()
	l.wg.Wait()
}
