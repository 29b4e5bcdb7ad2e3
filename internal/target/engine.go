// Package target provides clients for the targets that junctionfold serves: model engines and plain
// services.
//
// A model engine offers the usual completions interface and accepts orders to load and unload
// adapters. An order carries a fencing token in a header; some engines refuse an order whose token
// is lower than the highest one they have seen.
package target

import (
	"context"
	"encoding/json"
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
	RequestIDHeader    = "X-Request-Id"
	NotRunHeader       = "X-Not-Run"
	LastEventIDHeader  = "Last-Event-Id"
)

// Codes in an engine's error bodies.
const (
	EngineNotLoaded  = "adapter_not_loaded"
	EngineStaleToken = "stale_fence"
)

// State is an engine's report of its own state. The report lags behind the engine.
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

// UnloadOrder asks an engine to unload an adapter.
type UnloadOrder struct {
	Name string `json:"lora_name"`
}

// RoleOrder asks an engine to assume a role. An order for the role that the engine already has only
// raises its fencing token.
type RoleOrder struct {
	Role string `json:"role"`
}

// RoleMixed is the role of an engine that runs all kinds of work.
const RoleMixed = "mixed"

// ErrorBody is the body of an engine's error answer.
type ErrorBody struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		// Fence is the highest fencing token seen; set with EngineStaleToken.
		Fence uint64 `json:"fence"`
	} `json:"error"`
}

// StaleTokenError is the error of an order that the engine refused because it has seen a higher
// fencing token.
type StaleTokenError struct {
	Seen uint64
}

// Error returns a message with the highest token that the engine has seen.
func (e *StaleTokenError) Error() string {
	return "the target has seen fencing token " + strconv.FormatUint(e.Seen, 10)
}

// Engine is the client of one model engine.
type Engine struct {
	baseURL     string
	orderClient *resty.Client
	runClient   *http.Client
}

// Timeouts of orders. A load takes longer because it reads from the weight store.
const (
	orderTimeout = 3 * time.Second
	loadTimeout  = 60 * time.Second
)

// NewEngine returns the client of the engine at t's address. token is sent with orders if the
// target authenticates their sender.
func NewEngine(t *schema.Target, transport http.RoundTripper, token string) *Engine {
	baseURL := "http://" + t.Address
	orderClient := resty.New().SetBaseURL(baseURL).SetTransport(transport)
	if t.ChecksOrders {
		orderClient.SetAuthToken(token)
	}
	return &Engine{baseURL: baseURL, orderClient: orderClient, runClient: &http.Client{Transport: transport}}
}

// State requests the engine's report of its state.
func (e *Engine) State(ctx context.Context) (*State, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	resp, err := e.orderClient.R().SetContext(ctx).Get(StatePath)
	if err != nil {
		return nil, errors.Wrap(err, "read engine state")
	}
	if resp.IsError() {
		return nil, errors.Newf("read engine state: status %d", resp.StatusCode())
	}
	out := &State{}
	if err := json.Unmarshal(resp.Body(), out); err != nil {
		return nil, errors.Wrap(err, "read engine state")
	}
	return out, nil
}

// Claim raises the engine's fencing token.
func (e *Engine) Claim(ctx context.Context, token uint64) error {
	return e.order(ctx, orderTimeout, RolePath, token, RoleOrder{Role: RoleMixed})
}

// Load orders the engine to load an adapter into a free slot and returns once the adapter is
// resident.
func (e *Engine) Load(ctx context.Context, token uint64, name, path string) error {
	return e.order(ctx, loadTimeout, LoadPath, token, LoadOrder{Name: name, Path: path})
}

// Unload orders the engine to unload an adapter.
func (e *Engine) Unload(ctx context.Context, token uint64, name string) error {
	return e.order(ctx, orderTimeout, UnloadPath, token, UnloadOrder{Name: name})
}

// order sends an order once. It never retries, because a delayed duplicate could undo an order of a
// later owner.
func (e *Engine) order(ctx context.Context, timeout time.Duration, path string, token uint64, body any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	refusal := &ErrorBody{}
	resp, err := e.orderClient.R().SetContext(ctx).
		SetHeader(FencingTokenHeader, strconv.FormatUint(token, 10)).
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
