package settings

import (
	"os"
	"reflect"

	"github.com/gravitational/trace"
)

// Gateway holds the settings of a VM that forwards requests according to the
// operators' configuration, which it reads from the platform's store.
type Gateway struct {
	VM           string      `json:"vm"`
	DataCentre   string      `json:"data_centre"`
	Callers      string      `json:"callers"` // address for requests from callers
	Ready        string      `json:"ready"`   // address for the load balancer's readiness check
	Peers        string      `json:"peers"`   // address for other VMs
	Metrics      string      `json:"metrics"` // address for metrics and status; may be empty
	Store        string      `json:"store"`   // address of the platform's store
	GraceSeconds float64     `json:"grace_s"` // time from the stop signal until the process is killed
	Retry        RetryBudget `json:"retry_budget"`
	Quota        Quota       `json:"quota,omitzero"` // left out, the defaults hold
	MemoryMB     float64     `json:"memory_mb"`      // memory limit of the process
	ExpectedVMs  int         `json:"expected_vms"`
	CPUShare     float64     `json:"cpu_share"` // number of cores that the VM may use
	Placing      Placing     `json:"placing"`
	Heads        Heads       `json:"heads,omitzero"` // left out, the defaults hold
	DrainMs      float64     `json:"drain_ms"`       // time after which a leaving upstream must get no new requests
}

// RetryBudget bounds the retries of a service in any window, over all VMs: Ratio
// times its requests, plus Extra.
type RetryBudget struct {
	Ratio         float64 `json:"ratio"`
	Extra         float64 `json:"extra"`
	WindowSeconds float64 `json:"window_s"`
}

// Quota states by how much the limits of customers may be exceeded: in any window, at most
// (rate times the window + burst) x (1 + Overshoot) + Slack requests of one run.
type Quota struct {
	WindowSeconds float64 `json:"window_s"`
	Overshoot     float64 `json:"overshoot"`
	Slack         float64 `json:"slack"`
}

// Heads bounds the request or status line and the headers of one message.
type Heads struct {
	RequestBytes int `json:"request_bytes"` // of callers' requests; the configuration may set less
	ReplyBytes   int `json:"reply_bytes"`   // of upstreams' replies
}

// Placing states how upstreams are chosen. With ByCost the choice, the order in queues and
// the time of hedges depend on what each request is expected to cost.
type Placing struct {
	ByCost bool `json:"by_cost"`
}

// Bounds and defaults of the fields of Gateway.
const (
	maxGraceSeconds  = 600
	maxWindowSeconds = 600
	minMemoryMB      = 32
	maxMemoryMB      = 1 << 20
	maxVMs           = 10_000
	maxCPUShare      = 1024
	maxOvershoot     = 10
	maxSlack         = 1_000_000

	minHeadBytes = 4 << 10
	maxHeadBytes = 1 << 20

	defaultRequestHeadBytes = 64 << 10
	defaultReplyHeadBytes   = 32 << 10

	defaultGraceSeconds = 6
	defaultMemoryMB     = 284 // memory of the users' smallest VMs
	defaultExpectedVMs  = 9   // the users run 7 to 9 entry VMs
	defaultDrainMs      = 3000
)

// LoadGateway reads, decodes and validates a file. Its errors are of type *Error.
func LoadGateway(path string) (*Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{op: "load", kind: KindRead, err: trace.ConvertSystemError(err)}
	}
	return DecodeGateway(data)
}

// DecodeGateway decodes and validates a JSON document. Its errors are of type *Error.
func DecodeGateway(data []byte) (*Gateway, error) {
	v, err := parse(data)
	if err != nil {
		return nil, &Error{op: "decode", kind: KindSyntax, err: err}
	}
	g := &Gateway{
		GraceSeconds: defaultGraceSeconds, MemoryMB: defaultMemoryMB, ExpectedVMs: defaultExpectedVMs,
		DrainMs: defaultDrainMs,
		Retry:   RetryBudget{Ratio: 0.2, WindowSeconds: 10}, // the users' bounds
		Heads:   Heads{RequestBytes: defaultRequestHeadBytes, ReplyBytes: defaultReplyHeadBytes},
		Quota:   Quota{WindowSeconds: 5, Overshoot: 0.1, Slack: 20}, // the users' bounds
	}
	b := &binder{rejected: make(map[string]bool)}
	b.bind("", v, reflect.ValueOf(g).Elem())
	if !b.rejected["(document)"] {
		c := checker{binder: b, addresses: make(map[string]string)}
		c.checkGateway(g)
	}
	if len(b.problems) > 0 {
		return nil, &Error{op: "check", kind: KindInvalid, problems: b.problems}
	}
	return g, nil
}

func (c *checker) checkGateway(g *Gateway) {
	c.checkName("vm", g.VM)
	c.checkName("data_centre", g.DataCentre)
	c.checkAddress("callers", g.Callers, "")
	c.checkAddress("ready", g.Ready, "")
	c.checkAddress("peers", g.Peers, "")
	if g.Metrics != "" {
		c.checkAddress("metrics", g.Metrics, "")
	}
	c.checkAddress("store", g.Store, "")
	c.checkFraction("grace_s", g.GraceSeconds, 1, maxGraceSeconds)
	c.checkFraction("retry_budget.window_s", g.Retry.WindowSeconds, 1, maxWindowSeconds)
	c.checkFraction("memory_mb", g.MemoryMB, minMemoryMB, maxMemoryMB)
	c.checkNumber("expected_vms", int64(g.ExpectedVMs), 1, maxVMs)
	if g.CPUShare < 0 || g.CPUShare > maxCPUShare {
		c.reject("cpu_share", "is %v, want a number of cores from 0 to %d", g.CPUShare, maxCPUShare)
	}
	c.checkFraction("drain_ms", g.DrainMs, 1, int64(MaxTimeoutMs))
	if g.Retry.Ratio < 0 || g.Retry.Ratio > 1 {
		c.reject("retry_budget.ratio", "is %v, want a number from 0 to 1", g.Retry.Ratio)
	}
	c.checkNumber("heads.request_bytes", int64(g.Heads.RequestBytes), minHeadBytes, maxHeadBytes)
	c.checkNumber("heads.reply_bytes", int64(g.Heads.ReplyBytes), minHeadBytes, maxHeadBytes)
	c.checkFraction("quota.window_s", g.Quota.WindowSeconds, 1, maxWindowSeconds)
	if g.Quota.Overshoot < 0 || g.Quota.Overshoot > maxOvershoot {
		c.reject("quota.overshoot", "is %v, want a number from 0 to %d", g.Quota.Overshoot, maxOvershoot)
	}
	if g.Quota.Slack < 0 || g.Quota.Slack > maxSlack {
		c.reject("quota.slack", "is %v, want a number of requests from 0 to %d", g.Quota.Slack, maxSlack)
	}
	if g.Retry.Extra < 0 {
		c.reject("retry_budget.extra", "is %v, want a number that is not negative", g.Retry.Extra)
	}
}
