package upstream

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
)

// ID names an upstream as service/group/replica.
type ID string

// Upstream describes one upstream as configured.
type Upstream struct {
	ID              ID
	Service         string
	Group           string
	Address         string // host:port
	ConnectionLimit int    // total over all VMs
	ConnectMs       clock.Millis
}

// Service describes one service. Its groups partition the key space [0, Keys).
type Service struct {
	Name   string
	Keys   uint32 // 0 for a service that only takes orders
	Groups []Group
}

// Group is a set of replicas that hold the same keys.
type Group struct {
	Name     string
	Range    coverage.Range // initial part of the key space; replies report the current one
	Replicas []Upstream
}
