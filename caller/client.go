package caller

import (
	"encoding/json"
	"fmt"
	"net"
	"net/url"

	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/entry"
	"lentillink.example/lentillink/explain"
	"lentillink.example/lentillink/framing"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/vm"
)

const (
	defaultTimeout  = 30 * clock.Second
	defaultMaxConns = 512

	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 64 << 20

	// maxHeadBytes bounds the head of an answer.
	maxHeadBytes = 32 << 10
)

// Client calls one entry VM, or the load balancer in front of several. It is safe
// for concurrent use.
type Client struct {
	address string
	key     string // empty for none
	timeout clock.Millis
	http    *fasthttp.Client
}

// Option configures a Client.
type Option func(*Client)

// WithTimeout sets the read timeout and the write timeout of each call.
func WithTimeout(d clock.Millis) Option { return func(c *Client) { c.timeout = d } }

// WithKey sets the key of the customer that makes the calls.
func WithKey(key string) Option { return func(c *Client) { c.key = key } }

// New returns a client for the VM at address, given as host:port.
func New(address string, opts ...Option) *Client {
	c := &Client{address: address, timeout: defaultTimeout}
	for _, opt := range opts {
		opt(c)
	}
	c.http = &fasthttp.Client{
		MaxConnsPerHost: defaultMaxConns, MaxResponseBodySize: maxAnswerBytes, ReadBufferSize: maxHeadBytes, ReadTimeout: c.timeout.Duration(), WriteTimeout: c.timeout.Duration(),
		// Never retry here. A repeated order would be harmless, but retries are left
		// to the code that calls the client.
		Dial: dial, MaxIdemponentCallAttempts: 1, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
	return c
}

// dial connects to a VM. A reply without a valid status must not count as an answer.
func dial(address string) (net.Conn, error) {
	nc, err := fasthttp.Dial(address)
	if err != nil {
		return nil, err
	}
	return framing.CheckedConn(nc), nil
}

// Query submits a query. The outcome in the answer tells whether it is complete.
func (c *Client) Query(q entry.QueryRequest) (entry.QueryDocument, error) {
	return call[entry.QueryDocument](c, "query", fasthttp.MethodPost, "/v1/query", q)
}

// Order submits an order, which is non-idempotent work. Repeating an order with the
// same id is safe.
func (c *Client) Order(o entry.OrderRequest) (entry.OrderDocument, error) {
	return call[entry.OrderDocument](c, "order", fasthttp.MethodPost, "/v1/order", o)
}

// Status returns the status of the VM.
func (c *Client) Status() (vm.Status, error) {
	return call[vm.Status](c, "status", fasthttp.MethodGet, "/v1/status", nil)
}

// FleetStatus returns the status of all VMs. The called VM requests it from the others.
func (c *Client) FleetStatus() (entry.FleetStatus, error) {
	return call[entry.FleetStatus](c, "status", fasthttp.MethodGet, "/v1/status?fleet=1", nil)
}

// Events returns the merged events of all VMs. args are the query arguments of
// GET /v1/events and must not be nil; fleet is set to 1 in them.
func (c *Client) Events(args url.Values) (entry.EventsDocument, error) {
	args.Set("fleet", "1")
	return call[entry.EventsDocument](c, "events", fasthttp.MethodGet, "/v1/events?"+args.Encode(), nil)
}

// Presets returns the preset record of the VM.
func (c *Client) Presets() (preset.Record, error) {
	return call[preset.Record](c, "presets", fasthttp.MethodGet, "/v1/presets", nil)
}

// Change submits an operator's change of the presets. The document tells whether it
// was accepted.
func (c *Client) Change(change preset.Change) (entry.ChangeDocument, error) {
	return call[entry.ChangeDocument](c, "change", fasthttp.MethodPost, "/v1/presets", change)
}

// Explain asks the VM where a request would go. The VM is called at its metrics address.
func (c *Client) Explain(q explain.Question) (explain.Document, error) {
	return call[explain.Document](c, "explain", fasthttp.MethodPost, "/v1/explain", q)
}

// Ready reports whether the VM is ready to receive requests from the balancer.
func (c *Client) Ready() bool {
	status, _, err := c.do(fasthttp.MethodGet, "/readyz", nil)
	return err == nil && status == fasthttp.StatusOK
}

// call sends in as JSON and decodes the response. It returns an Error for a response
// with an error text and neither an outcome nor the field accepted.
func call[T any](c *Client, op, method, path string, in any) (T, error) {
	var out T
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return out, wrap(op, KindInvalid, err)
		}
	}
	status, data, err := c.do(method, path, body)
	if err != nil {
		return out, wrap(op, KindUnavailable, err)
	}
	var failure struct {
		Error    string `json:"error"`
		Outcome  string `json:"outcome"`
		Accepted string `json:"accepted"`
	}
	if err := json.Unmarshal(data, &failure); err != nil {
		return out, wrap(op, KindDecode, err)
	}
	if failure.Error != "" && failure.Outcome == "" && failure.Accepted == "" {
		kind := KindUnavailable
		if status < fasthttp.StatusInternalServerError {
			kind = KindInvalid
		}
		return out, wrap(op, kind, fmt.Errorf("%s (HTTP %d)", failure.Error, status))
	}
	if err := json.Unmarshal(data, &out); err != nil {
		return out, wrap(op, KindDecode, err)
	}
	return out, nil
}

func (c *Client) do(method, path string, body []byte) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.address + path)
	req.SetBody(body)
	if c.key != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.key)
	}
	// Do returns only after the exchange has ended, so that the buffers can be
	// released. DoTimeout could return while they are still in use.
	if err := c.http.Do(req, resp); err != nil {
		return 0, nil, err
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}
