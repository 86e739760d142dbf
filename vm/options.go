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

// Routing selects how attempts reach upstreams.
type Routing uint8

// RouteCarriers sends attempts through the two carriers of the upstream.
// RouteDirect gives every VM an equal static share of the connections.
const (
	RouteCarriers Routing = iota
	RouteDirect
)

// Option configures a Core.
type Option func(*config)

// WithSelf sets the identity of this VM. Each start needs a new incarnation.
func WithSelf(v fleet.VM) Option { return func(c *config) { c.self = v } }

// WithSeed seeds the random choices.
func WithSeed(seed uint64) Option { return func(c *config) { c.seed = seed } }

// WithSeedVMs sets the VMs to contact before the VM list has been read.
func WithSeedVMs(vms ...fleet.VM) Option {
	return func(c *config) { c.seedVMs = append(c.seedVMs, vms...) }
}

// WithServices sets the services and their upstreams.
func WithServices(list ...upstream.Service) Option {
	return func(c *config) { c.services = append(c.services, list...) }
}

// WithInitialRecord sets the record to write if the store has none.
func WithInitialRecord(r preset.Record) Option { return func(c *config) { c.initialRecord = r } }

// WithRingEvents sets the capacity of the event ring.
func WithRingEvents(n int) Option { return func(c *config) { c.ringEvents = n } }

// WithRouting sets how attempts reach upstreams.
func WithRouting(r Routing) Option { return func(c *config) { c.routing = r } }

// WithFleetSize sets the expected number of VMs, from which the admission
// limits start; the limits adapt afterwards.
func WithFleetSize(n int) Option { return func(c *config) { c.fleetSize = n } }

// WithoutAdmissionControl admits every query immediately. Experiments use it as
// their baseline.
func WithoutAdmissionControl() Option { return func(c *config) { c.admitAll = true } }

// WithStallTimeout sets how long a carrier may send nothing while results are
// due from it. With 0, only membership detects a stalled carrier.
func WithStallTimeout(d clock.Millis) Option { return func(c *config) { c.stallTimeout = d } }

func newConfig(opts []Option) config {
	c := config{seed: 1, initialRecord: preset.Default(), fleetSize: 9, stallTimeout: defaultStallTimeout}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}
