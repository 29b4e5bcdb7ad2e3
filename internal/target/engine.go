// Package target holds the clients of what junctionfold serves: model engines
// and plain services.
//
// A model engine speaks the usual completions interface and takes orders to
// load and unload adapters. An order carries a fencing number in a header; some
// engines refuse one that is lower than the highest they have seen.
package target

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-resty/resty/v2"

	"github.com/junctionfold/junctionfold/schema"
)

// Paths and headers of the engine's interface.
const (
	StatePath          = "/v1/state"
	RolePath           = "/v1/role"
	LoadPath           = "/v1/load_lora_adapter"
	UnloadPath         = "/v1/unload_lora_adapter"
	StreamPath         = "/v1/streams/"
	FencingTokenHeader = "X-Fencing-Number"
	RequestIDKey       = "X-Request-Id"
	NotRunHeader       = "X-Not-Run"
	LastEventID        = "Last-Event-Id"
)

// Codes in an engine's error bodies.
const (
	EngineNotLoaded  = "adapter_not_loaded"
	EngineStaleToken = "stale_fence"
)

// State is an engine's report of itself. It lags.
type State struct {
	// BootID changes when the engine restarts.
	BootID       string   `json:"boot_id"`
	FencingToken uint64   `json:"fence"`
	Leaving      bool     `json:"leaving"`
	Slots        int      `json:"slots"`
	Resident     []string `json:"resident"`
	Running      int      `json:"running"`
}

// LoadOrder asks an engine to load an adapter.
type LoadOrder struct {
	// Name that requests will use.
	Name string `json:"lora_name"`
	// Path of the weights at the weight store: adapter@version.
	Path string `json:"lora_path"`
}

// UnloadOrder asks an engine to drop an adapter.
type UnloadOrder struct {
	Name string `json:"lora_name"`
}

// RoleOrder asks an engine to take a role. Asking for the role that it has
// raises its fencing number and does nothing else.
type RoleOrder struct {
	Role string `json:"role"`
}

// RoleMixed is the role of an engine that does everything.
const RoleMixed = "mixed"

// ErrorBody is an engine's refusal.
type ErrorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		// Fence is the highest number seen, for stale_fence.
		Fence uint64 `json:"fence"`
	} `json:"error"`
}

// StaleTokenError is the error of an order that the engine refused for its number.
type StaleTokenError struct {
	Seen uint64
}

// Error names the number that the engine has seen.
func (e *StaleTokenError) Error() string {
	return "the target has seen fencing number " + strconv.FormatUint(e.Seen, 10)
}

// Engine is the client of one model engine.
type Engine struct {
	base   string
	orders *resty.Client
	runs   *http.Client
}

// Timeouts of orders. A load waits for the weight store.
const (
	orderTimeout = 3 * time.Second
	loadTimeout  = 60 * time.Second
)

// NewEngine returns the client of the engine at an address. token is sent with
// orders when the target checks who gives them.
func NewEngine(t *schema.Target, transport http.RoundTripper, token string) *Engine {
	base := "http://" + t.Address
	orders := resty.New().SetBaseURL(base).SetTransport(transport)
	if t.ChecksOrders {
		orders.SetAuthToken(token)
	}
	return &Engine{base: base, orders: orders, runs: &http.Client{Transport: transport}}
}

// State asks for the engine's report.
func (e *Engine) State(ctx context.Context) (*State, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	out := &State{}
	resp, err := e.orders.R().SetContext(ctx).SetResult(out).Get(StatePath)
	if err != nil {
		return nil, errors.Wrap(err, "read engine state")
	}
	if resp.IsError() {
		return nil, errors.Newf("read engine state: status %d", resp.StatusCode())
	}
	return out, nil
}

// Claim raises the engine's fencing number.
func (e *Engine) Claim(ctx context.Context, fence uint64) error {
	return e.order(ctx, orderTimeout, RolePath, fence, RoleOrder{Role: RoleMixed})
}

// Load orders an adapter into a free slot and returns when it is resident.
func (e *Engine) Load(ctx context.Context, fence uint64, name, path string) error {
	return e.order(ctx, loadTimeout, LoadPath, fence, LoadOrder{Name: name, Path: path})
}

// Unload orders an adapter out of its slot.
func (e *Engine) Unload(ctx context.Context, fence uint64, name string) error {
	return e.order(ctx, orderTimeout, UnloadPath, fence, UnloadOrder{Name: name})
}

// order sends an order once. It is never repeated here: a late copy could undo
// what a later owner did.
func (e *Engine) order(ctx context.Context, timeout time.Duration, path string, fence uint64, body any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	refusal := &ErrorBody{}
	resp, err := e.orders.R().SetContext(ctx).
		SetHeader(FencingTokenHeader, strconv.FormatUint(fence, 10)).
		SetBody(body).SetError(refusal).Post(path)
	if err != nil {
		return errors.Wrapf(err, "order %s", path)
	}
	if !resp.IsError() {
		return nil
	}
	if refusal.Error.Code == EngineStaleToken {
		return &StaleTokenError{Seen: refusal.Error.Fence}
	}
	return errors.Newf("order %s: status %d %s %s", path, resp.StatusCode(), refusal.Error.Code, refusal.Error.Message)
}
