package gateway

import (
	"cmp"
	"net"

	"github.com/go-kit/log"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/quota"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/store"
)

// Option configures a Gateway.
type Option func(*Gateway)

// WithPrefixWatcher sets the store whose items are watched, and their decoder.
func WithPrefixWatcher(w store.PrefixWatcher, d ItemDecoder) Option {
	return func(g *Gateway) { g.watcher, g.decoder = w, d }
}

// WithHeaders sets the names of the headers that callers, upstreams and this VM exchange.
func WithHeaders(h Headers) Option { return func(g *Gateway) { g.headers = h } }

// WithLeases sets the store that holds the entry of this VM under a lease.
func WithLeases(l store.Leases) Option { return func(g *Gateway) { g.leases = l } }

// WithStore sets the store that holds the presets.
func WithStore(s store.Store) Option { return func(g *Gateway) { g.store = s } }

// WithSelf sets the entry of this VM. Its address is the one that other VMs connect to.
func WithSelf(v relay.VM) Option { return func(g *Gateway) { g.self = v } }

// WithAddresses sets the addresses for callers and for the load balancer's readiness checks.
func WithAddresses(callers, ready string) Option {
	return func(g *Gateway) { g.callersAddr, g.readyAddr = callers, ready }
}

// WithListeners sets open listeners, which replace listening on the addresses. The
// listener for metrics may be nil.
func WithListeners(callers, ready, peers, metrics net.Listener) Option {
	return func(g *Gateway) {
		g.listeners = &listeners{http: [3]net.Listener{callers, ready, metrics}, peers: peers}
	}
}

// WithMetricsAddress sets the address of the server for /metrics and presets. There is no
// such server if the address is empty.
func WithMetricsAddress(address string) Option { return func(g *Gateway) { g.metricsAddr = address } }

// WithReadyPath sets the path of the load balancer's readiness check.
func WithReadyPath(path string) Option { return func(g *Gateway) { g.readyPath = path } }

// WithLogger sets the logger of events.
func WithLogger(l log.Logger) Option { return func(g *Gateway) { g.logger = l } }

// WithLimits sets the limits that can change while the VM runs.
func WithLimits(l Limits) Option { return func(g *Gateway) { g.limits = l } }

// WithWatchInterval sets the minimum time between two watches of the store; 0 stands for
// the default.
func WithWatchInterval(ms clock.Millis) Option { return func(g *Gateway) { g.watchInterval = ms } }

// WithQuotaBounds sets by how much the limits of customers may be exceeded.
func WithQuotaBounds(b quota.Bounds) Option { return func(g *Gateway) { g.quotaBounds = b } }

// WithSeed sets the seed of random numbers.
func WithSeed(seed uint64) Option { return func(g *Gateway) { g.seed = seed } }

// WithRelayOptions adds options for the relay's state machine.
func WithRelayOptions(opts ...relay.Option) Option {
	return func(g *Gateway) { g.relayOptions = append(g.relayOptions, opts...) }
}

// WithMaxHeads bounds the heads of callers' requests and of upstreams' replies, in bytes; 0
// stands for the default.
func WithMaxHeads(request, reply int) Option {
	return func(g *Gateway) {
		g.maxRequestHead, g.maxReplyHead = cmp.Or(request, g.maxRequestHead), reply
	}
}

// WithMemory sets the memory of the process in bytes. Parts of it bound the bodies of
// callers and the replies of upstreams that are being read.
func WithMemory(n int64) Option {
	return func(g *Gateway) {
		if n > 0 {
			g.memoryBytes = n
		}
	}
}
