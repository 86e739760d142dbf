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

// Defaults of the options.
const (
	defaultDrainLimit   = 30 * clock.Second
	defaultBalancerWait = clock.Second
)

// Option configures a VM.
type Option func(*VM)

// WithStore sets the configuration store.
func WithStore(s store.Store) Option { return func(v *VM) { v.store = s } }

// WithVMList sets the source of the VM list.
func WithVMList(l roster.List) Option { return func(v *VM) { v.vmList = l } }

// WithUpstreams sets the client for calls to upstreams.
func WithUpstreams(c upstream.Client) Option { return func(v *VM) { v.upstreams = c } }

// WithClock sets the clock. The default is the system clock.
func WithClock(c clock.Clock) Option { return func(v *VM) { v.clock = c } }

// WithLogger sets the logger of events. The default discards them.
func WithLogger(l log.Logger) Option { return func(v *VM) { v.logger = l } }

// WithRegistry sets the Prometheus registry of the metrics.
func WithRegistry(r *prometheus.Registry) Option { return func(v *VM) { v.registry = r } }

// WithDrainLimit bounds the duration of the drain in a planned stop.
func WithDrainLimit(d clock.Millis) Option { return func(v *VM) { v.drainLimit = d } }

// WithBalancerWait sets how long a stopping VM keeps serving after it has drained,
// so that the balancer can notice that the VM is not ready.
func WithBalancerWait(d clock.Millis) Option { return func(v *VM) { v.balancerWait = d } }

// WithInitialRecord sets the preset record that is written if the store has none.
func WithInitialRecord(r preset.Record) Option { return func(v *VM) { v.initial = r } }

// WithMeshOptions adds options of the peer.Mesh, which holds the streams between VMs.
func WithMeshOptions(opts ...peer.Option) Option {
	return func(v *VM) { v.meshOptions = append(v.meshOptions, opts...) }
}

// WithSeed sets the seed of random numbers. The default is the start time.
func WithSeed(seed uint64) Option { return func(v *VM) { v.seed = seed } }

// WithListeners sets open listeners for peers and callers, which are used instead
// of the addresses in the settings.
func WithListeners(peers, callers net.Listener) Option {
	return func(v *VM) { v.listeners = &listeners{peers: peers, http: []net.Listener{callers}} }
}
