package upstream

import (
	"math/rand/v2"

	"lentillink.example/lentillink/clock"
)

const (
	defaultRampMs     = 5 * clock.Second
	defaultMinHedgeMs = 2
	// versionSettleMs is how long every group must hold a version before upstreams
	// that still lack it no longer delay its use.
	versionSettleMs = 30 * clock.Second
	// defaultLatencyMs stands in for a latency that is not known yet.
	defaultLatencyMs = 20
)

// Balancer keeps what one VM knows about each upstream.
type Balancer struct {
	services   map[string]*service
	byID       map[ID]*upstreamState
	rng        *rand.Rand
	rampMs     clock.Millis
	minHedgeMs clock.Millis
	random     bool
	candidates []*upstreamState
}

// commonVersion is a snapshot version that every group holds.
type commonVersion struct {
	version uint64
	since   clock.Millis
}

type service struct {
	commonVersions []commonVersion
	groups         []*group
	byName         map[string]*group
	latency        latency
}

type group struct {
	name      string
	upstreams []*upstreamState
	picks     int
}

type upstreamState struct {
	id             ID
	service        *service
	group          *group
	outstanding    int
	latency        latency
	heldVersions   []uint64
	heldVersionsAt clock.Millis
	lastProbePick  int // value of group.picks at the last request for a version that it lacked
	leaving        bool
	leavingAt      clock.Millis
	failures       int // consecutive failures
	dead           bool
	backoff        clock.Millis
	retryAt        clock.Millis // next trial of a dead upstream, or end of a pause after shedding
	trialInFlight  bool         // a trial request is in flight
	rampStart      clock.Millis
	ramping        bool
}

// New returns a Book.
func New(opts ...Option) *Balancer {
	b := &Balancer{
		services:   make(map[string]*service),
		byID:       make(map[ID]*upstreamState),
		rampMs:     defaultRampMs,
		minHedgeMs: defaultMinHedgeMs,
	}
	WithSeed(1)(b)
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Add makes a new upstream known and ramps it up from now. A known one is left as it is.
func (b *Balancer) Add(now clock.Millis, u Upstream) {
	if b.byID[u.ID] != nil {
		return
	}
	b.add(u).startRamp(now)
}

func (b *Balancer) add(u Upstream) *upstreamState {
	if s := b.byID[u.ID]; s != nil {
		return s
	}
	svc := b.services[u.Service]
	if svc == nil {
		svc = &service{byName: make(map[string]*group)}
		b.services[u.Service] = svc
	}
	g := svc.byName[u.Group]
	if g == nil {
		g = &group{name: u.Group}
		svc.byName[u.Group] = g
		svc.groups = append(svc.groups, g)
	}
	s := &upstreamState{id: u.ID, service: svc, group: g}
	g.upstreams = append(g.upstreams, s)
	b.byID[u.ID] = s
	return s
}

func (s *upstreamState) startRamp(now clock.Millis) {
	s.ramping = true
	s.rampStart = now
}
