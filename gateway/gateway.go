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
	"lentillink.example/lentillink/era"
	"lentillink.example/lentillink/exchange"
	"lentillink.example/lentillink/memory"
	"lentillink.example/lentillink/peer"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/quota"
	"lentillink.example/lentillink/relay"
	"lentillink.example/lentillink/roster"
	"lentillink.example/lentillink/route"
	"lentillink.example/lentillink/socket"
	"lentillink.example/lentillink/store"
)

// inboxLen bounds the messages that are queued for the event loop.
const inboxLen = 1 << 12

// Gateway runs one VM.
type Gateway struct {
	watcher       store.PrefixWatcher
	decoder       ItemDecoder
	leases        store.Leases
	store         store.Store
	self          relay.VM
	headers       Headers
	callersAddr   string
	readyAddr     string
	metricsAddr   string
	readyPath     string
	logger        log.Logger
	clock         clock.Clock
	limits        Limits // initial values; SetLimits does not change this field
	watchInterval clock.Millis
	listeners     *listeners // nil: listen on the addresses
	seed          uint64
	relayOptions  []relay.Option
	quotaBounds   quota.Bounds

	relayModel    *relay.Model
	catalog       *catalog.Model
	registrar     *roster.Registrar
	quota         *quota.Model
	restorer      *preset.Restorer
	eraGuard      *era.Guard
	mesh          *peer.Mesh
	metrics       *metrics
	client        *exchange.Client
	inbox         chan loopMsg
	loopDone      chan struct{} // closed when the event loop has ended
	ready         atomic.Bool
	stopping      atomic.Bool
	gracePeriodMs atomic.Int64
	table         atomic.Pointer[route.Table]
	presets       atomic.Pointer[preset.Record]
	lastCallID    atomic.Uint64
	inFlight      atomic.Int64 // requests of callers that are not answered yet
	delegated     atomic.Int64 // requests of other VMs that are not answered yet
	exits         chan error
	failed        chan error     // the reason why this VM stops by itself
	panicTimes    []clock.Millis // of the last panics in the event loop, which owns it
	explaining    chan struct{}  // holds an element while a question is answered

	callerConns    *callerConns
	answerLag      answerLag
	updatedAt      clock.Millis             // time of the last message to relayModel; owned by the event loop
	acceptDone     chan struct{}            // closed when no more callers are accepted
	maxRequestHead int                      // in bytes
	maxReplyHead   int                      // in bytes; 0 for the default of exchange
	memoryBytes    int64                    // of the process
	bodies         memory.Bound             // for the bodies of callers that are being read
	heads          memory.Bound             // for the heads of requests that are being read or answered
	calls          map[uint64]*call         // owned by the event loop
	delegations    map[delegationKey]uint64 // requests of other VMs, owned by the event loop
	vmList         map[string]relay.VM      // owned by the event loop
	quotaMsgs      []quota.Msg              // for the quota, see postQuota; owned by the event loop
	credits        []relay.CreditMsg        // decisions for the relay, see handleQuota; owned by the event loop
	presetRevision uint64                   // of the last committed record; owned by the event loop
	start          start                    // owned by the event loop
	deferred       []loopMsg                // messages of the event loop for itself, which owns them
	unapplied      []change                 // changes that are not in force yet; owned by the event loop
	postedEra      atomic.Uint64            // newest era of the store that the event loop was told of
	vmListChanged  bool                     // vmList was changed and is to be applied; owned by the event loop
}

// loopMsg is a message for the event loop. One field is set, except that call comes with
// an ArrivalMsg in relay.
type loopMsg struct {
	relay     relay.Msg
	call      *call        // of an ArrivalMsg
	at        clock.Millis // of an ArrivalMsg: when the request was read
	catalog   catalog.Msg
	registrar roster.RegistrarMsg
	quota     quota.Msg
	peer      *peerEvent
	presets   *preset.Record
	restorer  preset.RestorerMsg
	era       era.Msg
	result    *exchange.Result
	explain   *explainCall
}

// call is an unanswered request of a caller or another VM.
type call struct {
	request    *exchange.Request
	answer     chan relay.Answer
	decidedAt  clock.Millis   // when the answer was decided; set before the answer is sent
	delegation *delegationKey // set for a request that another VM delegated; answer is then nil
}

// New returns a Gateway.
func New(opts ...Option) *Gateway {
	g := &Gateway{
		logger: log.NewNopLogger(), clock: clock.NewMonotonic(), limits: Limits{GracePeriod: defaultGracePeriodMs}, readyPath: "/ready",
		memoryBytes: defaultMemoryBytes, maxRequestHead: defaultMaxRequestHead,
		inbox: make(chan loopMsg, inboxLen), loopDone: make(chan struct{}), exits: make(chan error, exitsLen), failed: make(chan error, 1), explaining: make(chan struct{}, 1),
		acceptDone: make(chan struct{}), calls: make(map[uint64]*call), delegations: make(map[delegationKey]uint64), vmList: make(map[string]relay.VM),
	}
	for _, opt := range opts {
		opt(g)
	}
	g.gracePeriodMs.Store(int64(g.limits.GracePeriod))
	g.relayModel = relay.New(append([]relay.Option{relay.WithSeed(g.seed), relay.WithSelf(g.self.ID, g.self.DataCentre), relay.WithBudget(g.limits.Budget)}, g.relayOptions...)...)
	defaults := preset.GatewayDefault()
	g.presets.Store(&defaults)
	g.relayModel.Update(g.clock.Now(), relay.PresetMsg{Preset: defaults.CurrentPreset()})
	g.metrics = newMetrics()
	g.registrar = roster.NewRegistrar(g.seed)
	g.quota = quota.New(quota.WithSelf(g.self.ID, g.self.DataCentre), quota.WithSeed(g.seed), quota.WithBounds(g.quotaBounds))
	g.restorer = preset.NewRestorer(g.seed)
	g.eraGuard = era.New(g.seed)
	g.mesh = peer.New(g.self.ID, g.seed, meshHandler{g}, peer.WithMemory(g.memoryBytes/peerMemoryShare))
	g.catalog = catalog.New(g.seed, catalog.WithWatchInterval(g.watchInterval), catalog.WithSuperseded(g.isSuperseded), catalog.WithLeased(g.isLeased), catalog.WithPrefixes(g.decoder.Prefixes()...))
	g.client = exchange.New(func(r exchange.Result) { g.post(loopMsg{result: &r}) },
		exchange.WithHeaders(g.headers.Headers), exchange.WithClock(g.clock), exchange.WithReplyMemory(g.memoryBytes/replyMemoryShare), exchange.WithMaxHeadBytes(g.maxReplyHead))
	g.bodies.Set(g.memoryBytes / bodyMemoryShare)
	g.heads.Set(g.memoryBytes / headMemoryShare)
	g.callerConns = newCallerConns(&g.heads)
	return g
}

// exitsLen has room for the results of all long-lived goroutines, so that none blocks.
const exitsLen = 16

// Run serves until ctx is cancelled, then drains: it withdraws readiness, answers the
// requests in flight and closes each connection after its answer.
func (g *Gateway) Run(ctx context.Context) error {
	listeners, err := g.listen(ctx)
	if err != nil {
		return err
	}
	// The event loop and the connections outlive ctx, because a planned stop finishes the
	// requests in flight.
	ioCtx, stopIO := context.WithCancel(context.WithoutCancel(ctx))
	defer stopIO()
	callerServer := g.newCallerServer()
	servers := []*http.Server{callerServer, g.newReadyServer(), g.newAdminServer()}
	running := 2
	for i, s := range servers {
		if listeners.http[i] != nil {
			running++
			lis := listeners.http[i]
			if s == callerServer {
				lis = trackedListener{Listener: lis, owner: g.callerConns}
			} else {
				lis = memory.Listener{Listener: lis, Bound: &g.heads}
			}
			go func() {
				err := serve(s, lis)
				if s == callerServer {
					close(g.acceptDone)
				}
				g.exits <- err
			}()
		}
	}
	go func() { g.exits <- g.client.Run(ioCtx) }()
	go func() { g.exits <- g.mesh.Run(ioCtx, listeners.peers) }()
	loopExit := make(chan error, 1)
	go func() { loopExit <- g.loop(ioCtx) }()
	_ = g.logger.Log("event", "started", "callers", g.callersAddr, "ready", g.readyAddr)

	var runErr error
	select {
	case <-ctx.Done():
		g.stop(listeners.http[0])
	case runErr = <-g.failed:
		g.stop(listeners.http[0])
	case runErr = <-g.exits:
		running--
	}
	for _, s := range servers {
		if err := s.Close(); !errors.Is(err, net.ErrClosed) { // a planned stop has closed the listener of callers
			runErr = errors.Join(runErr, err)
		}
	}
	stopIO()
	runErr = errors.Join(runErr, <-loopExit)
	for range running {
		runErr = errors.Join(runErr, <-g.exits)
	}
	_ = g.logger.Log("event", "stopped", "err", runErr)
	return runErr
}

// listeners holds the open listeners. The one for metrics may be nil.
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
	// A planned stop closes the listener before the server.
	if err := s.Serve(lis); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		return &Error{op: "accept", kind: KindServe, err: err}
	}
	return nil
}

// post queues a message for the event loop. The message is dropped if the loop has ended.
func (g *Gateway) post(msg loopMsg) {
	select {
	case g.inbox <- msg:
	case <-g.loopDone:
	}
}
