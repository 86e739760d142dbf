package experiment

import (
	"fmt"
	"math/rand/v2"
	"strconv"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/query"
	"lentillink.example/lentillink/rank"
	"lentillink.example/lentillink/upstream"
)

const (
	queryService      = "search"
	queryGroups       = 20
	queryReplicas     = 2
	queryKeys         = 200
	queryKeysPerGroup = queryKeys / queryGroups
	// queryHopMs is the delay of a reply from the carrier.
	queryHopMs = 1
	// queryConns is the current connection limit of an upstream.
	queryConns = 25
	// queryBurst bounds the unused hedge and retry tokens; it is 0 in the baseline.
	queryBurst = 200
	// The first queries only fill the latency estimates of the balancer and are excluded from the figures.
	queryWarmUpMs = clock.Second
)

// queryPolicy leaves room for the initial tokens of the budgets within 5% extra attempts.
var queryPolicy = preset.RankPolicy{HedgeBudgetPercent: 4.85, RetryBudgetPercent: 1}

// querySystem drives one query.Model and its upstream.Balancer against fakes.
type querySystem struct {
	loop        *Loop
	rng         *rand.Rand
	balancer    *upstream.Balancer
	model       *query.Model
	upstreams   [][]*Upstream // by group and replica
	carriers    map[string]*queryCarrier
	cancelled   map[attempt.ID]bool
	nextWake    clock.Millis
	policy      preset.RankPolicy
	deadline    clock.Millis
	minCoverage float64 // percentage of coverage below which a query fails
	started     int
	latency     *hdrhistogram.Histogram
	onAnswer    func(query.Answer)
}

// newQuerySystem builds the system. If enabled is false, upstreams are picked at
// random and there are neither hedges nor retries.
func newQuerySystem(seed uint64, enabled bool) *querySystem {
	s := &querySystem{
		loop: NewLoop(0), rng: rand.New(rand.NewPCG(seed, 2)),
		carriers: make(map[string]*queryCarrier), cancelled: make(map[attempt.ID]bool),
		deadline: 300, latency: hdrhistogram.New(1, 100_000, 3), onAnswer: func(query.Answer) {},
	}
	svc := upstream.Service{Name: queryService, Keys: queryKeys}
	var list []upstream.Upstream
	for g := range queryGroups {
		keys := coverage.Range{From: uint32(g * queryKeysPerGroup), To: uint32((g + 1) * queryKeysPerGroup)}
		group := upstream.Group{Name: strconv.Itoa(g), Range: keys}
		fakes := make([]*Upstream, queryReplicas)
		for r := range fakes {
			name := queryUpstream(g, r)
			fakes[r] = NewUpstream(s.loop, s.rng, keys)
			s.carriers[name] = newQueryCarrier(s.loop, fakes[r], queryConns, s.deliver)
			group.Replicas = append(group.Replicas, upstream.Upstream{ID: upstream.ID(name), Service: queryService, Group: group.Name})
		}
		s.upstreams = append(s.upstreams, fakes)
		svc.Groups = append(svc.Groups, group)
		list = append(list, group.Replicas...)
	}
	opts := []upstream.Option{upstream.WithSeed(seed), upstream.WithUpstreams(list)}
	burst := float64(queryBurst)
	if enabled {
		s.policy = queryPolicy
	} else {
		opts = append(opts, upstream.WithRandomPick())
		burst = 0
	}
	s.balancer = upstream.New(opts...)
	s.model = query.New(s.balancer, query.WithServices(svc), query.WithVM("vm1", 1), query.WithBurst(burst, burst))
	return s
}

// run starts queries as a Poisson process with the given rate, and then runs until they have ended.
func (s *querySystem) run(perSecond float64, queries int) {
	gap := float64(clock.Second) / perSecond
	at := 0.0
	for range queries {
		at += s.rng.ExpFloat64() * gap
		s.loop.At(clock.Millis(at), s.start)
	}
	s.loop.RunUntil(clock.Millis(at) + 2*s.deadline)
}

func (s *querySystem) start() {
	s.started++
	s.update(query.StartMsg{
		ID: strconv.Itoa(s.started), Rank: rank.Urgent, Service: queryService, Deadline: s.loop.Now() + s.deadline,
		MinCoverage: s.minCoverage, Priority: s.rng.Uint32(), Policy: s.policy,
	})
}

func (s *querySystem) update(msg query.Msg) {
	for _, cmd := range s.model.Update(s.loop.Now(), msg) {
		switch cmd := cmd.(type) {
		case query.SendCmd:
			s.carriers[cmd.Upstream].send(cmd.Request)
		case query.CancelCmd:
			s.cancelled[cmd.ID] = true
			s.carriers[cmd.Upstream].cancel(cmd.ID)
		case query.AnswerCmd:
			if s.loop.Now() >= queryWarmUpMs {
				_ = s.latency.RecordValue(int64(cmd.TookMs))
			}
			s.onAnswer(cmd.Answer)
		}
	}
	s.scheduleWake()
}

func (s *querySystem) scheduleWake() {
	at, ok := s.model.NextWake()
	if !ok || (at >= s.nextWake && s.nextWake > s.loop.Now()) {
		return
	}
	s.nextWake = at
	s.loop.At(at, func() { s.update(query.TickMsg{}) })
}

func (s *querySystem) deliver(r attempt.Reply) {
	if s.cancelled[r.ID] {
		delete(s.cancelled, r.ID)
		return
	}
	s.update(query.ReplyMsg{Reply: r})
}

func (s *querySystem) totals() query.Totals { return s.model.Totals(rank.Urgent) }

// extraPercent returns the extra attempts as a percentage of the needed attempts.
func (s *querySystem) extraPercent() float64 {
	n := s.totals()
	return 100 * float64(n.Sent-n.AttemptsNeeded) / float64(n.AttemptsNeeded)
}

func (s *querySystem) quantileMs(q float64) float64 { return float64(s.latency.ValueAtQuantile(q)) }

func (s *querySystem) carrier(group, replica int) *queryCarrier {
	return s.carriers[queryUpstream(group, replica)]
}

func queryUpstream(group, replica int) string {
	return fmt.Sprintf("%s/%d/%d", queryService, group, replica)
}
