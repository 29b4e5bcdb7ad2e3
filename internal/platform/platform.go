// Package platform reads the data that the platform publishes: the values of the
// configuration service and the list of VMs. It is a read-only client.
package platform

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-resty/resty/v2"

	"github.com/junctionfold/junctionfold/schema"
)

// ErrNotFound is returned for a key that has no value.
var ErrNotFound = errors.New("no such key")

// Value is a value of the configuration service with its revision.
type Value struct {
	Data     []byte
	Revision uint64
}

// ConfigService is a configuration service with reads and watches. Each call counts
// against the platform's rate limit; a watch counts as one call however long it
// waits.
type ConfigService interface {
	// Get returns the value of a key.
	Get(ctx context.Context, key string) (Value, error)
	// Watch waits until the revision of a key differs from after and returns its
	// value. If the key does not change within wait, it returns the value with the
	// same revision.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error)
}

// VMLister reads the platform's list of VMs.
type VMLister interface {
	// List returns the list that the platform currently publishes.
	List(ctx context.Context) (*schema.VMList, error)
}

// Paths, query parameters and headers of the services.
const (
	ValuePath      = "/v1/values/"
	VMsPath        = "/v1/vms"
	AfterParam     = "after"
	WaitParam      = "wait_ms"
	RevisionHeader = "X-Revision"
)

// MaxValueBytes is the configuration service's maximum size of a value.
const MaxValueBytes = 1 << 20

// Client reads the configuration service and the VM list over HTTP.
type Client struct {
	config *resty.Client
	list   *resty.Client
	// onRead is called before each request.
	onRead func()
}

// readTimeout bounds a request. A watch may take longer by its wait time.
const readTimeout = 2 * time.Second

// NewClient returns a Client for the configuration service and the VM list at the
// given base URLs. onRead is called before each request.
func NewClient(configURL, listURL string, transport http.RoundTripper, onRead func()) *Client {
	return &Client{
		config: resty.New().SetBaseURL(configURL).SetTransport(transport).SetResponseBodyLimit(MaxValueBytes),
		list:   resty.New().SetBaseURL(listURL).SetTransport(transport).SetResponseBodyLimit(maxListBytes),
		onRead: onRead,
	}
}

// maxListBytes is the maximum size of the response with the VM list.
const maxListBytes = 8 << 20

// Get returns the value of a key.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	return c.read(c.config.R().SetContext(ctx), key)
}

// Watch returns the value of a key after its revision has changed or wait has
// passed.
func (c *Client) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	req := c.config.R().SetContext(ctx).
		SetQueryParam(AfterParam, strconv.FormatUint(after, 10)).
		SetQueryParam(WaitParam, strconv.FormatInt(wait.Milliseconds(), 10))
	return c.read(req, key)
}

func (c *Client) read(req *resty.Request, key string) (Value, error) {
	c.onRead()
	resp, err := req.Get(ValuePath + key)
	if err != nil {
		return Value{}, errors.Wrapf(err, "read %s", key)
	}
	if resp.StatusCode() == http.StatusNotFound {
		return Value{}, errors.Wrapf(ErrNotFound, "read %s", key)
	}
	if resp.IsError() {
		return Value{}, errors.Newf("read %s: status %d", key, resp.StatusCode())
	}
	revision, err := strconv.ParseUint(resp.Header().Get(RevisionHeader), 10, 64)
	if err != nil {
		return Value{}, errors.Newf("read %s: no revision", key)
	}
	return Value{Data: resp.Body(), Revision: revision}, nil
}

// List returns the published VM list. It returns an error if the list has no
// version or contains an unknown state.
func (c *Client) List(ctx context.Context) (*schema.VMList, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	c.onRead()
	out := &vmList{}
	resp, err := c.list.R().SetContext(ctx).SetResult(out).Get(VMsPath)
	if err != nil {
		return nil, errors.Wrap(err, "read VM list")
	}
	if resp.IsError() {
		return nil, errors.Newf("read VM list: status %d", resp.StatusCode())
	}
	return out.toMessage()
}

// vmList is the JSON form of the published VM list.
type vmList struct {
	Version uint64    `json:"version"`
	VMs     []vmEntry `json:"vms"`
}

type vmEntry struct {
	ID      string `json:"id"`
	Hall    string `json:"hall"`
	Address string `json:"address"`
	State   string `json:"state"`
}

// States of a VM in the published VM list.
const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

func (l *vmList) toMessage() (*schema.VMList, error) {
	if l.Version == 0 {
		return nil, errors.New("VM list has no version")
	}
	out := &schema.VMList{Version: l.Version}
	for _, v := range l.VMs {
		state := schema.VMState_VM_STATE_LIVE
		switch v.State {
		case stateLive:
		case stateLeaving:
			state = schema.VMState_VM_STATE_LEAVING
		default:
			return nil, errors.Newf("VM %q is in state %q, which is neither live nor leaving", v.ID, v.State)
		}
		out.Vms = append(out.Vms, &schema.VM{Id: v.ID, Hall: v.Hall, Address: v.Address, State: state})
	}
	return out, nil
}
