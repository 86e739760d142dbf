package standin

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/upstream"
	"lentillink.example/lentillink/upstream/httpup"
)

// maxHeld bounds the snapshot versions that an upstream keeps after a roll-over.
const maxHeld = 8

// Upstream stands in for one upstream.
type Upstream struct {
	*server
	switches
	id   upstream.ID
	rows uint32 // for each range
	seed uint64

	data    sync.Mutex
	rng     *rand.Rand
	b       behaviour
	slots   *queue
	open    map[attempt.ID]*job
	ledger  map[string]int // runs by order id
	counts  AttemptCounts
	prior   *httpup.ReplyDoc // last reply, which a crossed reply repeats
	load    upstream.Load    // as last shown by the load endpoint
	shownAt time.Time
}

// behaviour is what faults change.
type behaviour struct {
	medianMs, sigma            float64
	slowFactor                 float64
	slowShare, slowShareFactor float64
	coldUntil                  time.Time
	coldFactor                 float64
	workers, shedAbove         int
	leaving                    bool
	held                       []uint64
	epoch                      uint64
	ranges                     []coverage.Range
	loadLag                    time.Duration
	loadLies                   bool
	late                       time.Duration
	lateShare                  float64
	crossedShare               float64
	cutShare, doubledShare     float64
}

// job is one attempt that waits or runs.
type job struct {
	cancel chan struct{}
	once   sync.Once
}

// AttemptCounts counts what an upstream did with attempts.
type AttemptCounts struct {
	Received    int `json:"received"`
	Started     int `json:"started"`
	Finished    int `json:"finished"`
	Shed        int `json:"shed"`
	Expired     int `json:"expired"`
	Cancelled   int `json:"cancelled"`
	VersionGone int `json:"version_gone"`
	Leaving     int `json:"leaving"`
}

// StartUpstream serves an upstream until ctx ends or Close. It takes its
// address, connection limit and set-up time from u; without an address it uses a free port.
func StartUpstream(ctx context.Context, u upstream.Upstream, opts ...UpstreamOption) (*Upstream, error) {
	address := u.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	s := &Upstream{
		server: newServer(ctx, address),
		id:     u.ID,
		rows:   4,
		open:   make(map[attempt.ID]*job),
		ledger: make(map[string]int),
		b: behaviour{
			medianMs: 8, sigma: 0.35, slowFactor: 1, slowShareFactor: 10, coldFactor: 5,
			held: []uint64{1}, epoch: 1,
		},
	}
	s.limit, s.connect = u.ConnectionLimit, u.ConnectMs.Duration()
	for _, opt := range opts {
		opt(s)
	}
	s.rng = rand.New(rand.NewPCG(s.seed, s.seed))
	s.slots = newQueue(s.b.workers)
	s.switches = s.faults()
	return s, s.start(s.route)
}

// ID returns the identifier of the upstream.
func (u *Upstream) ID() upstream.ID { return u.id }

// Executions returns how often the order with the given id was run.
func (u *Upstream) Executions(order string) int {
	u.data.Lock()
	defer u.data.Unlock()
	return u.ledger[order]
}

// eachOrder calls f for every order in the ledger.
func (u *Upstream) eachOrder(f func(id string, runs int)) {
	u.data.Lock()
	defer u.data.Unlock()
	for id, runs := range u.ledger {
		f(id, runs)
	}
}

// AttemptCounts returns what the upstream did with attempts.
func (u *Upstream) AttemptCounts() AttemptCounts {
	u.data.Lock()
	defer u.data.Unlock()
	return u.counts
}

// HeldVersions returns the snapshot versions that the upstream holds.
func (u *Upstream) HeldVersions() []uint64 {
	u.data.Lock()
	defer u.data.Unlock()
	return slices.Clone(u.b.held)
}

// AddVersion adds a snapshot version. The oldest one goes when too many are held.
func (u *Upstream) AddVersion(version uint64) {
	u.data.Lock()
	defer u.data.Unlock()
	if slices.Contains(u.b.held, version) {
		return
	}
	held := append(slices.Clone(u.b.held), version)
	slices.Sort(held)
	u.b.held = held[max(0, len(held)-maxHeld):]
}

// RemoveVersion removes a snapshot version.
func (u *Upstream) RemoveVersion(version uint64) {
	u.data.Lock()
	defer u.data.Unlock()
	u.b.held = slices.DeleteFunc(slices.Clone(u.b.held), func(v uint64) bool { return v == version })
}

// SetRanges moves the upstream to another shard map.
func (u *Upstream) SetRanges(epoch uint64, ranges ...coverage.Range) {
	u.data.Lock()
	defer u.data.Unlock()
	u.b.epoch, u.b.ranges = epoch, slices.Clone(ranges)
}
