package era

// StoreKey is the key of the Record.
const StoreKey = "era"

// Record is the entry by which the VMs state that the store holds again what it had lost when
// an era began. A copy of the store has the record of an earlier era, or none.
type Record struct {
	Era uint64 `json:"era"`
	VMs int    `json:"vms"` // size of the fleet
}

// Facts are numbers that only rise in a store that loses nothing.
type Facts struct {
	ConfigVersion  uint64
	PresetRevision uint64
}

func (f Facts) isBehind(o Facts) bool {
	return f.ConfigVersion < o.ConfigVersion || f.PresetRevision < o.PresetRevision
}

func (f Facts) max(o Facts) Facts {
	return Facts{ConfigVersion: max(f.ConfigVersion, o.ConfigVersion), PresetRevision: max(f.PresetRevision, o.PresetRevision)}
}
