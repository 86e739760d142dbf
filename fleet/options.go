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
	seeds         []VM
	initialRecord preset.Record
	readInterval  clock.Millis
	burstRounds   int
}

// WithSelf sets the identity of this VM. Incarnation must exceed that of an earlier process with the same identifier.
func WithSelf(v VM) Option { return func(c *config) { c.self = v } }

// WithSeed seeds the random choices.
func WithSeed(seed uint64) Option { return func(c *config) { c.seed = seed } }

// WithSeedVMs sets VMs to contact before the VM list is known.
func WithSeedVMs(vms ...VM) Option { return func(c *config) { c.seeds = append(c.seeds, vms...) } }

// WithInitialRecord sets the record that is written when neither the store nor a peer has one.
func WithInitialRecord(r preset.Record) Option { return func(c *config) { c.initialRecord = r } }

// WithReadInterval sets the mean time between reads of the record from the store.
func WithReadInterval(d clock.Millis) Option { return func(c *config) { c.readInterval = d } }

// WithBurstRounds sets how many rounds of eager messages follow news. 0 leaves the
// spreading to the heartbeats, which is the baseline of the experiments.
func WithBurstRounds(rounds int) Option { return func(c *config) { c.burstRounds = rounds } }
