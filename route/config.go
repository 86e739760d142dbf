package route

import "lentillink.example/lentillink/clock"

// Config is one version of the operators' configuration.
type Config struct {
	Version  uint64 // rises with each change, in uneven steps
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route says where requests of one host and path prefix go, and how.
// Exactly one of Service, Split and Gather is set.
type Route struct {
	Name          string
	Host          string
	Prefix        string // begins and ends with a slash
	Service       string
	Split         []WeightedService
	Gather        []string // the shards; every one of them holds a part of the answer
	Idempotent    bool
	TimeoutMs     clock.Millis // longest time until the final answer
	TargetMs      clock.Millis // an answer within this time is worth most
	Priority      int          // 0 is the most urgent
	MaxAttempts   int          // upstreams that may run one request, per shard
	TopK          int          // records in a gathered answer
	MinShardRatio float64      // share of the shards, 0 to 1, below which a gathered answer fails
}

// WeightedService is one part of a split.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is what the configuration says of the upstreams of one service.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int // of one upstream, over all its callers
}

// Limits bound what a caller may send, and how slowly.
type Limits struct {
	HeaderBytes     int
	BodyBytes       int
	HeaderTimeoutMs clock.Millis
	IdleTimeoutMs   clock.Millis
}
