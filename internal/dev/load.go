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

// LoadGenerator is a set of concurrent callers that send requests continuously. It
// counts the outcomes of their requests.
type LoadGenerator struct {
	// OK counts correct and complete responses, Refused errors for requests that
	// have not run, Unknown errors for requests that may have run, Aborted
	// connections that broke before the response was complete, and Wrong all other
	// outcomes.
	OK, Refused, Unknown, Aborted, Wrong atomic.Int64

	mu           sync.Mutex
	firstWrong   string
	refusalCodes map[string]int
	stop         context.CancelFunc
	wg           sync.WaitGroup
}

// StartLoadGenerator starts callers that distribute their requests over models and over
// the base URLs that frontends returns. It calls frontends before each request.
func (c *Cluster) StartLoadGenerator(callers int, models []string, frontends func() []string) *LoadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	l := &LoadGenerator{stop: cancel}
	for i := range callers {
		l.wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				urls := frontends()
				l.send(urls[(i+n)%len(urls)], models[(i*7+n)%len(models)], fmt.Sprintf("caller %d request %d", i, n), n%2 == 0)
			}
		})
	}
	return l
}

// generatorRequestTimeout bounds each request of a load generator.
const generatorRequestTimeout = 20 * time.Second

// send sends a request and counts its outcome.
func (l *LoadGenerator) send(url, model, text string, stream bool) {
	ctx, cancel := context.WithTimeout(context.Background(), generatorRequestTimeout)
	defer cancel()
	r, err := Post(ctx, url+chatPath, ChatBody(model, text, stream), nil)
	if err != nil {
		l.Aborted.Add(1)
		return
	}
	if r.status != http.StatusOK {
		l.recordError(r)
		return
	}
	got := gjson.GetBytes(r.body, "choices.0.message.content").String()
	if stream {
		if got, err = StreamText(r.body); err != nil {
			l.recordWrong(err.Error())
			return
		}
	}
	if got != expectedText(model, text) {
		l.recordWrong(fmt.Sprintf("got %q, want %q", got, expectedText(model, text)))
		return
	}
	l.OK.Add(1)
}

// recordError counts an error response by its value of not_run.
func (l *LoadGenerator) recordError(r response) {
	switch gjson.GetBytes(r.body, "error.not_run").String() {
	case "true":
		l.Refused.Add(1)
		l.recordRefusal(gjson.GetBytes(r.body, "error.code").String())
	case "unknown":
		l.Unknown.Add(1)
	default:
		l.recordWrong(string(r.body))
	}
}

// recordWrong counts a wrong outcome and keeps the description of the first.
func (l *LoadGenerator) recordWrong(description string) {
	l.Wrong.Add(1)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.firstWrong == "" {
		l.firstWrong = description
	}
}

// recordRefusal counts a refusal by its error code.
func (l *LoadGenerator) recordRefusal(code string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refusalCodes == nil {
		l.refusalCodes = map[string]int{}
	}
	l.refusalCodes[code]++
}

// String returns the counts of all outcomes.
func (l *LoadGenerator) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fmt.Sprintf("ok %d, refused %d %v, unknown %d, aborted %d, wrong %d",
		l.OK.Load(), l.Refused.Load(), l.refusalCodes, l.Unknown.Load(), l.Aborted.Load(), l.Wrong.Load())
}

// FirstWrong describes the first wrong outcome. It returns an empty string if there was
// none.
func (l *LoadGenerator) FirstWrong() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.firstWrong
}

// Stop stops the callers and waits until their running requests have ended.
func (l *LoadGenerator) Stop() {
	l.stop()
	l.wg.Wait()
}
