package httproster

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/httpcall"
	"lentillink.example/lentillink/roster"
)

// VMsDoc is the reply to GET /vms.
type VMsDoc struct {
	VMs []roster.VM `json:"vms"`
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout bounds the duration of one call.
func WithTimeout(ms clock.Millis) Option { return func(c *Client) { c.timeoutMs = ms } }

var _ roster.List = (*Client)(nil)

// Client implements roster.List.
type Client struct {
	timeoutMs clock.Millis
	host      *httpcall.Host
}

// New returns a client for the VM list at a host:port address. It opens no connection.
func New(address string, opts ...Option) *Client {
	c := &Client{timeoutMs: clock.Second}
	for _, opt := range opts {
		opt(c)
	}
	c.host = httpcall.New(address, httpcall.WithMaxConns(1), httpcall.WithConnectTimeout(c.timeoutMs.Duration()),
		httpcall.WithWaitTimeout(c.timeoutMs.Duration()))
	return c
}

// Close closes the connection. A call in flight fails.
func (c *Client) Close() { c.host.Close() }

// VMs reads the VM list.
func (c *Client) VMs(ctx context.Context) ([]roster.VM, error) {
	call := httpcall.Call{Method: fasthttp.MethodGet, Path: "/vms", Timeout: c.timeoutMs.Duration()}
	r, err := c.host.Do(ctx, call, nil)
	if err == nil && r.Status != fasthttp.StatusOK {
		err = fmt.Errorf("HTTP status is %d, want 200", r.Status)
	}
	if err != nil {
		return nil, roster.NewError("vms", roster.KindUnavailable, trace.Wrap(err, "VM list at %s", c.host.Address()))
	}
	vms, err := decode(r.Body)
	if err != nil {
		return nil, roster.NewError("vms", roster.KindInvalid, trace.Wrap(err, "VM list at %s", c.host.Address()))
	}
	return vms, nil
}

func decode(body []byte) ([]roster.VM, error) {
	var doc VMsDoc
	if err := json.Unmarshal(body, &doc); err != nil {
		return nil, err
	}
	if doc.VMs == nil {
		return nil, errors.New("vms is missing, want an array")
	}
	seen := make(map[string]bool, len(doc.VMs))
	for i, vm := range doc.VMs {
		if vm.ID == "" || seen[vm.ID] {
			return nil, fmt.Errorf("vms[%d].id is %q, want a unique value", i, vm.ID)
		}
		seen[vm.ID] = true
		if _, err := netip.ParseAddrPort(vm.Address); err != nil {
			return nil, fmt.Errorf("vms[%d].address is %q, want an IP address and a port", i, vm.Address)
		}
	}
	return doc.VMs, nil
}
