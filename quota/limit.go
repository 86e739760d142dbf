package quota

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/clock"
)

// Groups is the number of groups of customers. It is part of the keys in the store, so all
// releases use the same number.
const Groups = 32

// GroupOf returns the group of a customer.
func GroupOf(customer string) int { return int(xxhash.Sum64String(customer) % Groups) }

// Limit is the limit of one customer in one version of the configuration. At most
// Rate x t + Burst of its requests run in t seconds.
type Limit struct {
	Customer string
	Rate     float64 // requests a second, above 0
	Burst    float64 // requests
	Version  uint64  // of the configuration
}

// Bounds of a Limit.
const (
	maxRate  = 1e9
	maxBurst = 1e9

	maxFillMs = 24 * clock.Hour

	// MaxNameBytes bounds the name of a customer.
	MaxNameBytes = 256
)

// Valid reports whether the fields are within their bounds.
func (l Limit) Valid() bool {
	return l.Customer != "" && len(l.Customer) <= MaxNameBytes &&
		l.Rate > 0 && l.Rate <= maxRate && l.Burst >= 0 && l.Burst <= maxBurst
}

// capacity returns the size of the token bucket, which holds at least one request.
func (l Limit) capacity() float64 { return max(l.Burst, 1) }

// fillMs returns the time in which n requests become available, at most maxFillMs.
func (l Limit) fillMs(n float64) clock.Millis {
	return clock.Millis(min(math.Ceil(max(n, 0)/l.Rate*float64(clock.Second)), float64(maxFillMs)))
}

// Bounds states by how much a limit may be exceeded: in any window, at most
// (Rate x window + Burst) x (1 + Overshoot) + Slack requests of a customer run.
type Bounds struct {
	WindowMs  clock.Millis
	Overshoot float64
	Slack     float64
}

// Default bounds.
const (
	DefaultWindowMs  = 5 * clock.Second
	DefaultOvershoot = 0.1
	DefaultSlack     = 20.0
)

// Max returns the most requests of a customer that may run in a window.
func (b Bounds) Max(l Limit) float64 {
	return l.Rate*b.windowSeconds() + l.Burst + b.excess(l)
}

func (b Bounds) windowSeconds() float64 { return b.WindowMs.Duration().Seconds() }

// excess returns by how many requests a window may exceed the limit.
func (b Bounds) excess(l Limit) float64 {
	return b.Overshoot*(l.Rate*b.windowSeconds()+l.Burst) + b.Slack
}

const (
	// lagShare is the part of the excess for credit that is used later than it was granted.
	lagShare = 0.25

	// reserveShare is the part of the excess that one deputy may grant in a window. With
	// deputyCount deputies a quarter is left, for two more VMs that take themselves for
	// deputies while the list of VMs changes.
	reserveShare = 0.125

	// maxValidityMs bounds how long credit may be held.
	maxValidityMs = clock.Second

	// minValidityMs is the least time that credit is worth asking for.
	minValidityMs clock.Millis = 10
)

// validity returns how long granted credit may be used, counted from before it was asked
// for. A window can hold the runs of that much more time.
func (b Bounds) validity(l Limit) clock.Millis {
	ms := lagShare * b.excess(l) / l.Rate * float64(clock.Second)
	return clock.Millis(min(max(ms, float64(minValidityMs)), float64(maxValidityMs)))
}

// reserve returns how many requests one deputy may grant in a window.
func (b Bounds) reserve(l Limit) int { return int(reserveShare * b.excess(l)) }
