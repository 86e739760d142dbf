package order

import (
	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/upstream"
)

// MaxIDAge is the maximum age of an order id, by the issue time that it contains.
const MaxIDAge = 24 * clock.Hour

// MaxFutureSkew is how far the issue time of an order id may be ahead of this VM's clock.
const MaxFutureSkew = 5 * clock.Minute

// SegmentDropMargin is added to MaxIDAge before a sealed segment is dropped. While
// the clocks of two VMs differ by less than this, every accepted id is newer than
// Head.LowWatermark. With a larger difference such ids are refused as too old, but
// never executed twice.
const SegmentDropMargin = 10 * clock.Minute

// Picker chooses the upstream for an attempt, other than those in exclude.
type Picker func(now clock.Millis, service, group string, exclude []upstream.ID) (upstream.ID, bool)

type config struct {
	vm                 string
	incarnation        uint64
	picker             Picker
	attemptID          func() attempt.ID
	writeInterval      clock.Millis
	maxBatch           int
	sealThreshold      int
	doneMarkDelay      clock.Millis
	doneMarks          bool
	claimRetryInterval clock.Millis
	maxOpenOrders      int
	maxReleases        int
	maxQueue           int
}

// Option configures a Model.
type Option func(*config)

func defaultConfig() config {
	return config{
		picker: func(clock.Millis, string, string, []upstream.ID) (upstream.ID, bool) { return "", false },
		// 16 partitions at one write per 100 ms are 160 writes/s; the store sustains several hundred.
		writeInterval: 100,
		sealThreshold: 64 << 10,
		// An idle partition writes a done mark alone at most every 5 s: 3.2 writes/s in total.
		doneMarkDelay: 5 * clock.Second,
		doneMarks:     true,
		// Three times the wait for a batch and its write, so that a healthy owner rarely receives a duplicate request.
		claimRetryInterval: 300,
		maxOpenOrders:      16384,
		maxReleases:        16384,
		maxQueue:           4096,
	}
}

// WithSelf sets the name of this VM and its incarnation, which must be new at each start.
func WithSelf(vm string, incarnation uint64) Option {
	return func(c *config) { c.vm, c.incarnation = vm, incarnation }
}

// WithPicker sets the function that chooses upstreams.
func WithPicker(p Picker) Option { return func(c *config) { c.picker = p } }

// WithAttemptID sets the source of attempt identifiers.
func WithAttemptID(f func() attempt.ID) Option { return func(c *config) { c.attemptID = f } }

// WithWriteInterval sets the minimum time between two writes of one partition.
func WithWriteInterval(d clock.Millis) Option { return func(c *config) { c.writeInterval = d } }

// WithMaxBatch bounds the number of operations in one write; 0 means no bound.
func WithMaxBatch(n int) Option { return func(c *config) { c.maxBatch = n } }

// WithSealThreshold sets the size in bytes of the head's claims at which they are sealed into a segment.
func WithSealThreshold(n int) Option { return func(c *config) { c.sealThreshold = n } }

// WithDoneMarks sets whether claims of finished orders are marked done.
func WithDoneMarks(on bool) Option { return func(c *config) { c.doneMarks = on } }

// WithDoneDelay sets how long a done mark waits for other operations to share a write with.
func WithDoneDelay(d clock.Millis) Option { return func(c *config) { c.doneMarkDelay = d } }

// WithClaimRetryInterval sets the time after which an unanswered claim request is sent again.
func WithClaimRetryInterval(d clock.Millis) Option {
	return func(c *config) { c.claimRetryInterval = d }
}

// WithMaxOpenOrders bounds the number of open orders.
func WithMaxOpenOrders(n int) Option { return func(c *config) { c.maxOpenOrders = n } }

// WithMaxReleases bounds the number of releases that are kept. Above it the oldest is dropped and its claim stays.
func WithMaxReleases(n int) Option { return func(c *config) { c.maxReleases = n } }
