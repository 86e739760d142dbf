package upstream

import (
	"math/rand/v2"

	"lentillink.example/lentillink/clock"
)

const (
	defaultRampMs     = 5 * clock.Second
	defaultMinHedgeMs = 2
	// versionSettleMs is how long every group must hold a version, in ms, before
	// it is used even if some upstreams still lack it.
	versionSettleMs = 30 * clock.Second
	// defaultLatencyMs is used while there are too few latency samples.
	defaultLatencyMs = 20
)

// Balancer tracks the health, latency and held versions of each upstream, as
// seen by one VM, and picks the upstream for an attempt.
type Balancer struct {
	services   map[string]*service
	byID       map[ID]*upstreamState
	rng        *rand.Rand
	rampMs     clock.Millis
	minHedgeMs clock.Millis
	random     bool
	candidates []*upstreamState
}

// commonVersion is a snapshot version that every group has held since a time.
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
	lastProbePick  int // value of group.picks at the last reply that reported versions or the last probe for a missing version
	leaving        bool
	leavingAt      clock.Millis
	failures       int // consecutive failures; a refused connection counts as failuresUntilDead
	dead           bool
	backoff        clock.Millis
	retryAt        clock.Millis // next trial request to a dead upstream, or end of the pause after shedding
	trialInFlight  bool
	rampStart      clock.Millis
	ramping        bool
}

// New returns a Balancer.
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

// Add adds an upstream and ramps up its load from now. It does nothing if the upstream is present.
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
