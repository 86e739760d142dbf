package route

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/customer"
)

// Largest values of a configuration. They are far above any real one, and low enough that
// sums and products of them do not overflow.
const (
	MaxTimeMs = 24 * clock.Hour
	MaxCount  = 1_000_000
)

// Config is one version of the operators' configuration.
type Config struct {
	Version   uint64 // increases with each change, not always by one
	Routes    []Route
	Services  []Service
	Customers []customer.Customer // if there are any, requests need a key of one
	Limits    Limits
}

// Route defines where requests of one host and path prefix are sent, and how.
// Exactly one of Service, Split and Gather is set.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Service       string
	Split         []WeightedService
	Gather        []string // shards, each of which holds a part of the answer
	Idempotent    bool
	TimeoutMs     clock.Millis // timeout of the final answer
	TargetMs      clock.Millis // an answer within this time has the highest value
	Priority      int          // 0 is the most urgent
	MaxAttempts   int          // maximum number of upstreams that may run one request, per shard
	TopK          int          // number of records in a gathered answer
	MinShardRatio float64      // share of the shards, 0 to 1, below which a gathered answer fails
	Anonymous     bool         // requests need no key
}

// WeightedService is one target of a split route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is the configuration of the upstreams of one service.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // connections that one upstream accepts from all its clients together

	WarmupPerSecond float64      // requests that one upstream bears from all VMs while it is cold; 0 for no bound
	WarmupMs        clock.Millis // how long an upstream is cold after its start
}

// Limits bound the size and duration of requests from callers.
type Limits struct {
	HeaderBytes     int
	BodyBytes       int
	HeaderTimeoutMs clock.Millis
	IdleTimeoutMs   clock.Millis
}
