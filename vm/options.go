package vm

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/upstream"
)

type config struct {
	self          fleet.VM
	seed          uint64
	seedVMs       []fleet.VM
	services      []upstream.Service
	initialRecord preset.Record
	ringEvents    int
	routing       Routing
	fleetSize     int
	admitAll      bool
	stallTimeout  clock.Millis
}

// Routing says how attempts reach upstreams.
type Routing uint8

// RouteCarriers sends attempts through the two carriers of the upstream.
// RouteDirect gives every VM an equal static share of the connections.
const (
	RouteCarriers Routing = iota
	RouteDirect
)

// Option configures a Core.
type Option func(*config)

// WithSelf sets the identity of this VM. Its incarnation must be new at each start.
func WithSelf(v fleet.VM) Option { return func(c *config) { c.self = v } }

// WithSeed seeds the random choices.
func WithSeed(seed uint64) Option { return func(c *config) { c.seed = seed } }

// WithSeedVMs sets VMs to contact before the VM list is known.
func WithSeedVMs(vms ...fleet.VM) Option {
	return func(c *config) { c.seedVMs = append(c.seedVMs, vms...) }
}

// WithServices sets the services and their upstreams.
func WithServices(list ...upstream.Service) Option {
	return func(c *config) { c.services = append(c.services, list...) }
}

// WithInitialRecord sets the record that is written when the store has none.
func WithInitialRecord(r preset.Record) Option { return func(c *config) { c.initialRecord = r } }

// WithRingEvents sets how many events the VM keeps.
func WithRingEvents(n int) Option { return func(c *config) { c.ringEvents = n } }

// WithRouting sets how attempts reach upstreams.
func WithRouting(r Routing) Option { return func(c *config) { c.routing = r } }

// WithFleetSize sets the expected number of VMs, from which the admission
// limits start. They adapt afterwards.
func WithFleetSize(n int) Option { return func(c *config) { c.fleetSize = n } }

// WithoutAdmissionControl admits every query at once. Experiments use it as their
// baseline.
func WithoutAdmissionControl() Option { return func(c *config) { c.admitAll = true } }

// WithStallTimeout sets how long a carrier may be silent while it owes results; 0
// leaves the detection to membership.
func WithStallTimeout(d clock.Millis) Option { return func(c *config) { c.stallTimeout = d } }

func newConfig(opts []Option) config {
	c := config{seed: 1, initialRecord: preset.Default(), fleetSize: 9, stallTimeout: defaultStallTimeout}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}
