package standin

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/upstream"
	"lentillink.example/lentillink/upstream/httpup"
)

// maxHeldVersions bounds the snapshot versions that an upstream holds. Older
// ones are removed when a new one is added.
const maxHeldVersions = 8

// Upstream is a fake of one upstream.
type Upstream struct {
	*server
	faultSet
	id           upstream.ID
	rowsPerRange uint32 // per range of a reply
	seed         uint64

	dataMu         sync.Mutex
	rng            *rand.Rand
	behaviour      behaviour
	queue          *queue
	jobs           map[attempt.ID]*job
	executions     map[string]int // executions by order ID
	customers      map[string]int // attempts by the customer that they name
	counts         AttemptCounts
	lastReply      *httpup.ReplyDoc // sent in place of the reply to another attempt by crossed_share
	reportedLoad   upstream.Load    // as last reported by the load endpoint
	loadReportedAt time.Time
}

// behaviour holds the parameters that faults change.
type behaviour struct {
	medianMs, sigma                 float64
	slowFactor                      float64
	slowShare, slowShareFactor      float64
	coldUntil                       time.Time
	coldFactor                      float64
	workers, shedAbove              int
	leaving                         bool
	heldVersions                    []uint64
	epoch                           uint64
	ranges                          []coverage.Range
	loadLag                         time.Duration
	alwaysHealthy                   bool
	replyDelay                      time.Duration
	delayedShare                    float64
	wrongAttemptShare               float64
	truncatedShare, duplicatedShare float64
}

// job is one attempt that is queued or running.
type job struct {
	cancel chan struct{}
	once   sync.Once
}

// AttemptCounts counts the attempts of an upstream by what happened to them.
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

// StartUpstream serves an upstream until ctx is cancelled or Close is called.
// It takes its address, connection limit and connection set-up time from u;
// without an address it uses a free port.
func StartUpstream(ctx context.Context, u upstream.Upstream, opts ...UpstreamOption) (*Upstream, error) {
	address := u.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	s := &Upstream{
		server:       newServer(ctx, address),
		id:           u.ID,
		rowsPerRange: 4,
		jobs:         make(map[attempt.ID]*job),
		executions:   make(map[string]int),
		customers:    make(map[string]int),
		behaviour: behaviour{
			medianMs: 8, sigma: 0.35, slowFactor: 1, slowShareFactor: 10, coldFactor: 5,
			heldVersions: []uint64{1}, epoch: 1,
		},
	}
	s.connLimit, s.setupTime = u.ConnectionLimit, u.ConnectMs.Duration()
	for _, opt := range opts {
		opt(s)
	}
	s.rng = rand.New(rand.NewPCG(s.seed, s.seed))
	s.queue = newQueue(s.behaviour.workers)
	s.faultSet = s.faults()
	return s, s.start(s.route)
}

// ID returns the identifier of the upstream.
func (u *Upstream) ID() upstream.ID { return u.id }

// Executions returns how often the order with the given ID was executed.
func (u *Upstream) Executions(order string) int {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	return u.executions[order]
}

// eachOrder calls f for every order in the ledger.
func (u *Upstream) eachOrder(f func(id string, runs int)) {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	for id, runs := range u.executions {
		f(id, runs)
	}
}

// AttemptCounts returns the counts of attempts.
func (u *Upstream) AttemptCounts() AttemptCounts {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	return u.counts
}

// Customers returns the number of attempts by the customer that they name.
func (u *Upstream) Customers() map[string]int {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	return maps.Clone(u.customers)
}

// HeldVersions returns the snapshot versions that the upstream holds.
func (u *Upstream) HeldVersions() []uint64 {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	return slices.Clone(u.behaviour.heldVersions)
}

// AddVersion adds a snapshot version and removes the oldest ones above maxHeldVersions.
func (u *Upstream) AddVersion(version uint64) {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	if slices.Contains(u.behaviour.heldVersions, version) {
		return
	}
	held := append(slices.Clone(u.behaviour.heldVersions), version)
	slices.Sort(held)
	u.behaviour.heldVersions = held[max(0, len(held)-maxHeldVersions):]
}

// RemoveVersion removes a snapshot version.
func (u *Upstream) RemoveVersion(version uint64) {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	u.behaviour.heldVersions = slices.DeleteFunc(slices.Clone(u.behaviour.heldVersions), func(v uint64) bool { return v == version })
}

// SetRanges sets the epoch of the shard map and the key ranges of the upstream.
func (u *Upstream) SetRanges(epoch uint64, ranges ...coverage.Range) {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	u.behaviour.epoch, u.behaviour.ranges = epoch, slices.Clone(ranges)
}
