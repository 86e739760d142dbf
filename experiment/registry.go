package experiment

// Entry is one experiment that the command line offers.
type Entry struct {
	Name  string
	Short string
	Run   func(seed uint64) Report
}

// All returns every experiment in the order in which they are listed.
func All() []Entry {
	return []Entry{
		{"straggler", "one slow upstream and 2% slow sub-requests, against no hedging", Straggler},
		{"replica-loss", "one replica lost in a quarter of the groups, against no retries", ReplicaLoss},
		{"rollover", "new index versions and repartition under load, against no version choice", Rollover},
		{"connections", "carriers against static shares of each upstream's connections", Connections},
		{"flood-patient", "patient work at five times capacity, against an open gate", FloodPatient},
		{"flood-urgent", "urgent work at five times capacity, against an open gate", FloodUrgent},
		{"fanout", "sub-requests wasted under five times overload, against an open gate", Fanout},
	}
}

// Find returns the experiment with the given name.
func Find(name string) (Entry, bool) {
	for _, e := range All() {
		if e.Name == name {
			return e, true
		}
	}
	return Entry{}, false
}
