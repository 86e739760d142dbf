package experiment

// Entry is one experiment of the command line.
type Entry struct {
	Name  string
	Short string
	Run   func(seed uint64) Report
}

// All returns every experiment in the order of the listing.
func All() []Entry {
	return []Entry{
		{"straggler", "one slow upstream and 2% slow sub-requests, against no hedging", Straggler},
		{"replica-loss", "one replica lost in a quarter of the groups, against no retries", ReplicaLoss},
		{"rollover", "new index versions and repartition under load, against no version choice", Rollover},
		{"connections", "carriers against static shares of each upstream's connections", Connections},
		{"stall", "a carrier that is paused for 10 s, against waiting for membership", Stall},
		{"flood-patient", "patient work at five times capacity, against no admission control", FloodPatient},
		{"flood-urgent", "urgent work at five times capacity, against no admission control", FloodUrgent},
		{"loads", "load patterns of the gateway, against VMs that work independently", Loads},
		{"orders", "100,000 orders with repeats and every fault, against one write per order", allOrders},
		{"order-interval", "writes and added latency by write interval and rate, against one write per order", OrderInterval},
		{"presets", "1,000 random histories of changes under faults, against unconditional writes", allPresets},
		{"spread", "time until a change is in force, against no eager spreading", func(seed uint64) Report { return Spread(seed) }},
		{"control", "control traffic, processor time and memory by fleet size", timedControl},
		{"fanout", "sub-requests wasted under five times overload, against no admission control", Fanout},
		{"failures", "time to agree after the loss of a rack, a data centre and links between regions", func(seed uint64) Report { return Failures(seed) }},
		{"capacity", "cost of each kind of work by size, extrapolated to the two-year size", timedCapacity},
	}
}

// Sizes of the runs that the design page requires.
const (
	ordersCount      = 100_000
	presetsHistories = 1000
)

func allOrders(seed uint64) Report  { return Orders(seed, ordersCount) }
func allPresets(seed uint64) Report { return Presets(seed, presetsHistories) }

// timedControl and timedCapacity measure processor time with the monotonic clock.
// Apart from memory, it is the only figure that differs between runs of one seed.
func timedControl(seed uint64) Report  { return Control(seed, nanoseconds) }
func timedCapacity(seed uint64) Report { return Capacity(seed, nanoseconds) }

// Find returns the experiment with the given name.
func Find(name string) (Entry, bool) {
	for _, e := range All() {
		if e.Name == name {
			return e, true
		}
	}
	return Entry{}, false
}
