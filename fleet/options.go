package fleet

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
)

// Option configures a Model.
type Option func(*config)

type config struct {
	self          VM
	seed          uint64
	seedVMs       []VM
	initialRecord preset.Record
	readInterval  clock.Millis
	burstRounds   int
}

// WithSelf sets the identity of this VM. Its incarnation must exceed that of any earlier process with the same identifier.
func WithSelf(v VM) Option { return func(c *config) { c.self = v } }

// WithSeed sets the seed of the random number generator.
func WithSeed(seed uint64) Option { return func(c *config) { c.seed = seed } }

// WithSeedVMs adds VMs to contact before the VM list is received.
func WithSeedVMs(vms ...VM) Option { return func(c *config) { c.seedVMs = append(c.seedVMs, vms...) } }

// WithInitialRecord sets the record that is written when neither the store nor a peer has one.
func WithInitialRecord(r preset.Record) Option { return func(c *config) { c.initialRecord = r } }

// WithReadInterval sets the mean interval between reads of the record from the store.
func WithReadInterval(d clock.Millis) Option { return func(c *config) { c.readInterval = d } }

// WithBurstRounds sets how many rounds of extra gossip messages follow a change.
// With 0, changes are disseminated by probe messages alone, which is the baseline of the experiments.
func WithBurstRounds(rounds int) Option { return func(c *config) { c.burstRounds = rounds } }
