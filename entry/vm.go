package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/customer"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/memory"
	"lentillink.example/lentillink/peer"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/roster"
	"lentillink.example/lentillink/settings"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/upstream"
	"lentillink.example/lentillink/vm"
)

// inboxSize is the capacity of the event loop's message queue.
const inboxSize = 1 << 14

// VM runs one entry VM.
type VM struct {
	settings     *settings.Settings
	store        store.Store
	vmList       roster.List
	upstreams    upstream.Client
	clock        clock.Clock
	logger       log.Logger
	registry     *prometheus.Registry
	drainLimit   clock.Millis
	balancerWait clock.Millis
	initial      preset.Record
	meshOptions  []peer.Option
	seed         uint64
	requests     memory.Bound // for requests that are being read or answered
	listeners    *listeners   // if nil, Run listens on the addresses in the settings

	core          *vm.Core
	self          fleet.VM
	mesh          *peer.Mesh
	metrics       *metrics
	inbox         chan inboxItem
	reads         chan coreRead
	stopped       chan struct{} // closed when the event loop has ended
	lastCallID    atomic.Uint64
	adminRequests *pendingRequests
	attempts      chan attempt.Request       // to idle workers; unbuffered
	groups        map[string]map[string]bool // group names by service
	customers     *customer.Directory

	waiters  map[uint64]chan<- vm.Cmd // answer channels by call ID; owned by the event loop
	msgQueue []vm.Msg                 // messages that process has still to handle; owned by the event loop
}

// inboxItem is a message for the event loop. For a caller's request it also holds
// the channel that receives the answer.
type inboxItem struct {
	msg    vm.Msg
	callID uint64
	answer chan<- vm.Cmd
}

// coreRead is a function that reads the core in the event loop. done is closed
// after it has returned.
type coreRead struct {
	read func(core *vm.Core, now clock.Millis)
	done chan struct{}
}

// New returns a VM. The options WithStore, WithVMList and WithUpstreams are required.
func New(s *settings.Settings, opts ...Option) (*VM, error) {
	v := &VM{
		settings: s, clock: clock.System{}, logger: log.NewNopLogger(), registry: prometheus.NewRegistry(),
		drainLimit: defaultDrainLimit, balancerWait: defaultBalancerWait, initial: preset.Default(),
		inbox: make(chan inboxItem, inboxSize), reads: make(chan coreRead), stopped: make(chan struct{}),
		adminRequests: newPendingRequests(), attempts: make(chan attempt.Request), groups: groupsOf(s), customers: s.Customers(), waiters: make(map[uint64]chan<- vm.Cmd),
	}
	for _, opt := range opts {
		opt(v)
	}
	if v.store == nil || v.vmList == nil || v.upstreams == nil {
		return nil, wrap("new", KindInvalid, errors.New("the store, the VM list and the upstreams must be set"))
	}
	now := v.clock.Now()
	if v.seed == 0 {
		v.seed = uint64(now)
	}
	v.self = fleet.VM{
		ID: s.VM(), Address: s.Addresses().Peers, DataCentre: s.DataCentre(), Incarnation: newIncarnation(now),
	}
	v.core = vm.New(
		vm.WithSelf(v.self), vm.WithSeed(v.seed), vm.WithServices(s.Services()...),
		vm.WithInitialRecord(v.initial), vm.WithRingEvents(s.Limits().RingEvents),
	)
	v.requests.Set(max(minRequestMemory, bodiesInMemory*int64(s.Limits().RequestBodyBytes)))
	v.metrics = newMetrics(v.registry)
	meshOptions := append([]peer.Option{peer.WithClock(v.clock), peer.WithDialTimeout(s.Timeouts().PeerMs)}, v.meshOptions...)
	v.mesh = peer.New(v.self.ID, v.self.Incarnation, meshHandler{v}, meshOptions...)
	return v, nil
}

// incarnationBits is the number of random bits in an incarnation. They separate
// two processes of one VM that start in the same millisecond, which must not share
// attempt identifiers or tokens.
const incarnationBits = 16

// newIncarnation returns a number that increases with the start time.
func newIncarnation(now clock.Millis) uint64 {
	return uint64(now)<<incarnationBits | rand.Uint64N(1<<incarnationBits)
}

// Run serves requests until ctx is cancelled, then drains: it finishes requests in
// flight and refuses new ones as not executed. It returns nil after a complete
// drain, or at the drain limit if only store writes are pending.
func (v *VM) Run(ctx context.Context) error {
	listeners, err := v.listen()
	if err != nil {
		return err
	}
	// I/O has its own context, because a planned stop finishes requests in flight
	// after ctx is cancelled.
	ioCtx, stopIO := context.WithCancel(context.WithoutCancel(ctx))
	defer stopIO()
	serverErrs := make(chan error, 3+len(listeners.http))
	go func() { serverErrs <- v.mesh.Run(ioCtx, listeners.peers) }()
	go func() { serverErrs <- v.pollVMList(ioCtx) }()
	server := v.newServer()
	for _, lis := range listeners.http {
		go func() { serverErrs <- serve(server, lingerListener{lis, &v.requests}) }()
	}
	loopErr := make(chan error, 1)
	go func() { loopErr <- v.loop(ctx, ioCtx) }()
	_ = v.logger.Log("event", "started", "vm", v.self.ID, "data_centre", v.self.DataCentre, "callers", v.settings.Addresses().Callers)

	running := 2 + len(listeners.http)
	var firstErr error
	select {
	case firstErr = <-loopErr:
	case firstErr = <-serverErrs: // a server that returns before the event loop has failed
		running--
		stopIO()
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout.Duration())
	defer cancel()
	if err := server.ShutdownWithContext(shutdownCtx); err != nil && firstErr == nil {
		firstErr = wrap("shutdown", KindServe, err)
	}
	stopIO()
	for range running {
		if err := <-serverErrs; err != nil && firstErr == nil {
			firstErr = err
		}
	}
	_ = v.logger.Log("event", "stopped", "vm", v.self.ID, "err", firstErr)
	return firstErr
}

// shutdownTimeout bounds the wait for callers' connections to become idle.
const shutdownTimeout = 2 * clock.Second

type listeners struct {
	peers net.Listener
	http  []net.Listener
}

func (v *VM) listen() (*listeners, error) {
	if v.listeners != nil {
		return v.listeners, nil
	}
	addr := v.settings.Addresses()
	peers, err := net.Listen("tcp", addr.Peers)
	if err != nil {
		return nil, wrap("listen", KindListen, err)
	}
	l := &listeners{peers: peers}
	for _, a := range httpAddresses(addr) {
		lis, err := net.Listen("tcp", a)
		if err != nil {
			return nil, wrap("listen", KindListen, err)
		}
		l.http = append(l.http, lis)
	}
	return l, nil
}

func httpAddresses(a settings.Addresses) []string {
	if a.Admin == a.Callers {
		return []string{a.Callers}
	}
	return []string{a.Callers, a.Admin}
}

func serve(s *fasthttp.Server, lis net.Listener) error {
	if err := s.Serve(lis); err != nil {
		return wrap("serve", KindServe, err)
	}
	return nil
}
