package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/go-kit/log"

	"lentillink.example/lentillink/catalog"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/exchange"
	"lentillink.example/lentillink/peer"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/roster"
	"lentillink.example/lentillink/route"
	"lentillink.example/lentillink/socket"
	"lentillink.example/lentillink/store"
)

// inboxLen bounds the messages that wait for the event loop.
const inboxLen = 1 << 12

// Gateway runs one VM.
type Gateway struct {
	feed         store.PrefixWatcher
	translator   ItemDecoder
	leases       store.Leases
	store        store.Store
	self         relay.VM
	headers      Headers
	callersAddr  string
	readyAddr    string
	metricsAddr  string
	readyPath    string
	logger       log.Logger
	clock        clock.Clock
	limits       Limits // at the start
	pace         clock.Millis
	listeners    *listeners // nil to listen on the addresses
	seed         uint64
	relayOptions []relay.Option

	core     *relay.Model
	catalog  *catalog.Model
	register *roster.Registrar
	mesh     *peer.Mesh
	metrics  *metrics
	client   *exchange.Client
	inbox    chan item
	stopped  chan struct{} // closed when the event loop has ended
	ready    atomic.Bool
	stopping atomic.Bool
	graceMs  atomic.Int64
	table    atomic.Pointer[route.Table]
	presets  atomic.Pointer[preset.Record]
	calls    atomic.Uint64
	inFlight atomic.Int64 // requests that are read and not answered
	ends     chan error

	waiters map[uint64]*call     // owned by the event loop
	handed  map[handedKey]uint64 // requests of other VMs, owned by the event loop
	vms     map[string]relay.VM  // owned by the event loop
	listNew bool                 // vms has changed; owned by the event loop
}

// item is a message for the event loop.
type item struct {
	relay   relay.Msg
	call    *call // of an ArrivalMsg
	catalog catalog.Msg
	roster  roster.RegistrarMsg
	peer    *peerMsg
	presets *preset.Record
	result  *exchange.Result
}

// call is a request of a caller that waits for its answer.
type call struct {
	request *exchange.Request
	answer  chan relay.Answer
	handed  *handedKey // set for a request of another VM, which has no channel
}

// New returns a Gateway.
func New(opts ...Option) *Gateway {
	g := &Gateway{
		logger: log.NewNopLogger(), clock: clock.NewMonotonic(), limits: Limits{GracePeriod: defaultGraceMs}, readyPath: "/ready",
		inbox: make(chan item, inboxLen), stopped: make(chan struct{}), ends: make(chan error, endsLen),
		waiters: make(map[uint64]*call), handed: make(map[handedKey]uint64), vms: make(map[string]relay.VM),
	}
	for _, opt := range opts {
		opt(g)
	}
	g.graceMs.Store(int64(g.limits.GracePeriod))
	g.core = relay.New(append([]relay.Option{relay.WithSeed(g.seed), relay.WithSelf(g.self.ID, g.self.DataCentre), relay.WithBudget(g.limits.Budget)}, g.relayOptions...)...)
	shipped := preset.GatewayDefault()
	g.presets.Store(&shipped)
	g.core.Update(g.clock.Now(), relay.PresetMsg{Preset: shipped.CurrentPreset()})
	g.metrics = newMetrics()
	g.register = roster.NewRegistrar(g.seed)
	g.mesh = peer.New(g.self.ID, g.seed, meshHandler{g})
	g.catalog = catalog.New(g.seed, catalog.WithWatchInterval(g.pace))
	g.client = exchange.New(func(r exchange.Result) { g.post(item{result: &r}) },
		exchange.WithHeaders(g.headers.Headers), exchange.WithClock(g.clock))
	return g
}

// endsLen holds the ends of all long-lived goroutines.
const endsLen = 16

// Run serves until ctx ends, then stops as planned: it is not ready, answers
// what it has read, and closes each connection after its answer.
func (g *Gateway) Run(ctx context.Context) error {
	lis, err := g.listen(ctx)
	if err != nil {
		return err
	}
	// Input and output outlive ctx, because a planned stop finishes what is in flight.
	io, stopIO := context.WithCancel(context.WithoutCancel(ctx))
	defer stopIO()
	front := g.newFront()
	servers := []*http.Server{front, g.newBalancer(), g.newAdmin()}
	running := 2
	for i, s := range servers {
		if lis.http[i] != nil {
			running++
			go func() { g.ends <- serve(s, lis.http[i]) }()
		}
	}
	go func() { g.ends <- g.client.Run(io) }()
	go func() { g.ends <- g.mesh.Run(io, lis.peers) }()
	loopEnd := make(chan error, 1)
	go func() { loopEnd <- g.loop(io) }()
	_ = g.logger.Log("event", "started", "callers", g.callersAddr, "ready", g.readyAddr)

	var first error
	select {
	case <-ctx.Done():
		g.stop(front)
	case first = <-g.ends:
		running--
	}
	for _, s := range servers {
		first = errors.Join(first, s.Close())
	}
	stopIO()
	first = errors.Join(first, <-loopEnd)
	for range running {
		first = errors.Join(first, <-g.ends)
	}
	_ = g.logger.Log("event", "stopped", "err", first)
	return first
}

// listeners are the addresses that are open. The one for metrics may be nil.
type listeners struct {
	http  [3]net.Listener // callers, balancer, metrics
	peers net.Listener
}

func (g *Gateway) listen(ctx context.Context) (*listeners, error) {
	if g.listeners != nil {
		return g.listeners, nil
	}
	l := &listeners{}
	open := func(op, address string, dst *net.Listener) error {
		lis, err := socket.ListenConfig().Listen(ctx, "tcp", address)
		if err != nil {
			return &Error{op: op, kind: KindListen, err: err}
		}
		*dst = lis
		return nil
	}
	err := errors.Join(
		open("callers", g.callersAddr, &l.http[0]),
		open("ready", g.readyAddr, &l.http[1]),
		open("peers", g.self.Address, &l.peers),
	)
	if g.metricsAddr != "" {
		err = errors.Join(err, open("metrics", g.metricsAddr, &l.http[2]))
	}
	if err == nil {
		return l, nil
	}
	for _, lis := range append(l.http[:], l.peers) {
		if lis != nil {
			err = errors.Join(err, lis.Close())
		}
	}
	return nil, err
}

func serve(s *http.Server, lis net.Listener) error {
	if err := s.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		return &Error{op: "accept", kind: KindServe, err: err}
	}
	return nil
}

// post hands a message to the event loop. It is dropped once the loop has ended.
func (g *Gateway) post(it item) {
	select {
	case g.inbox <- it:
	case <-g.stopped:
	}
}
