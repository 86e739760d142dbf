package entry

import (
	"net"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/peer"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/roster"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/upstream"
)

// Defaults of a VM.
const (
	defaultDrainLimit   = 30 * clock.Second
	defaultBalancerWait = clock.Second
)

// Option configures a VM.
type Option func(*VM)

// WithStore sets the configuration store.
func WithStore(s store.Store) Option { return func(v *VM) { v.store = s } }

// WithVMList sets the VM list.
func WithVMList(l roster.List) Option { return func(v *VM) { v.vmList = l } }

// WithUpstreams sets the client of the upstreams.
func WithUpstreams(c upstream.Client) Option { return func(v *VM) { v.upstreams = c } }

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(v *VM) { v.clock = c } }

// WithLogger sets where events are logged.
func WithLogger(l log.Logger) Option { return func(v *VM) { v.logger = l } }

// WithRegistry sets the registry of metrics.
func WithRegistry(r *prometheus.Registry) Option { return func(v *VM) { v.registry = r } }

// WithDrainLimit bounds the time of a planned stop.
func WithDrainLimit(d clock.Millis) Option { return func(v *VM) { v.drainLimit = d } }

// WithBalancerWait sets how long a stopping VM keeps answering after it has
// nothing left to do, so that the balancer notices that it is not ready.
func WithBalancerWait(d clock.Millis) Option { return func(v *VM) { v.balancerWait = d } }

// WithInitialRecord sets the presets that are written when the store has none.
func WithInitialRecord(r preset.Record) Option { return func(v *VM) { v.initial = r } }

// WithMeshOptions passes options to the streams between VMs.
func WithMeshOptions(opts ...peer.Option) Option {
	return func(v *VM) { v.meshOptions = append(v.meshOptions, opts...) }
}

// WithSeed seeds the random choices.
func WithSeed(seed uint64) Option { return func(v *VM) { v.seed = seed } }

// WithListeners serves peers and callers on listeners that are already open,
// instead of the addresses in the settings.
func WithListeners(peers, callers net.Listener) Option {
	return func(v *VM) { v.listeners = &listeners{peers: peers, http: []net.Listener{callers}} }
}
