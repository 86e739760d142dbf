package gateway

import (
	"net"

	"github.com/go-kit/log"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/store"
)

// Option configures a Gateway.
type Option func(*Gateway)

// WithPrefixWatcher sets the store that is followed, and how its items are decoded.
func WithPrefixWatcher(w store.PrefixWatcher, d ItemDecoder) Option {
	return func(g *Gateway) { g.watcher, g.decoder = w, d }
}

// WithHeaders names the headers.
func WithHeaders(h Headers) Option { return func(g *Gateway) { g.headers = h } }

// WithLeases sets where the entry of this VM is kept.
func WithLeases(l store.Leases) Option { return func(g *Gateway) { g.leases = l } }

// WithStore sets the store that holds the presets.
func WithStore(s store.Store) Option { return func(g *Gateway) { g.store = s } }

// WithSelf names this VM. Its address is the one for other VMs.
func WithSelf(v relay.VM) Option { return func(g *Gateway) { g.self = v } }

// WithAddresses sets where callers and the balancer connect.
func WithAddresses(callers, ready string) Option {
	return func(g *Gateway) { g.callersAddr, g.readyAddr = callers, ready }
}

// WithListeners makes the VM use open listeners instead of its addresses. The
// one for metrics may be nil.
func WithListeners(callers, ready, peers, metrics net.Listener) Option {
	return func(g *Gateway) {
		g.listeners = &listeners{http: [3]net.Listener{callers, ready, metrics}, peers: peers}
	}
}

// WithMetricsAddress sets the address that serves /metrics; none if it is empty.
func WithMetricsAddress(address string) Option { return func(g *Gateway) { g.metricsAddr = address } }

// WithReadyPath sets the path of the balancer's question.
func WithReadyPath(path string) Option { return func(g *Gateway) { g.readyPath = path } }

// WithLogger sets where decisions are logged.
func WithLogger(l log.Logger) Option { return func(g *Gateway) { g.logger = l } }

// WithLimits sets the limits that can change while the VM runs.
func WithLimits(l Limits) Option { return func(g *Gateway) { g.limits = l } }

// WithWatchInterval sets the least time between two watches of the store; 0 takes the default.
func WithWatchInterval(ms clock.Millis) Option { return func(g *Gateway) { g.watchInterval = ms } }

// WithSeed seeds the random choices.
func WithSeed(seed uint64) Option { return func(g *Gateway) { g.seed = seed } }

// WithRelayOptions passes options to the state machine.
func WithRelayOptions(opts ...relay.Option) Option {
	return func(g *Gateway) { g.relayOptions = append(g.relayOptions, opts...) }
}
