package era

import "lentillink.example/lentillink/clock"

// Msg is an input of a Guard.
type Msg interface{ eraMsg() }

// NewestMsg reports the newest era that the store has stated.
type NewestMsg struct{ Era uint64 }

// ReadMsg reports a read that shows all changes up to its beginning, in the newest era.
type ReadMsg struct {
	BegunAt clock.Millis
	// ContactSince is since when the store was reached in that era without a gap; 0 if only at
	// the read.
	ContactSince clock.Millis
}

// LostMsg reports that a store call failed, or that the VM was paused. What happened in the
// store since the last read is unknown.
type LostMsg struct{}

// ConfigMsg reports the version of the configuration in the store.
type ConfigMsg struct{ Version uint64 }

// PresetMsg reports the revision of the preset record in the store.
type PresetMsg struct{ Revision uint64 }

// VMMsg reports the entry of a VM and what was in force there when it wrote the entry.
type VMMsg struct {
	ID    string
	Facts Facts
}

// VMRemovedMsg reports that the entry of a VM is gone.
type VMRemovedMsg struct{ ID string }

// RecordMsg reports the Record in the store. The zero Record stands for none.
type RecordMsg struct{ Record Record }

// FleetMsg reports the number of VMs and the place of this one among them, from 0.
type FleetMsg struct{ VMs, Rank int }

// WrittenMsg reports that a WriteCmd succeeded, or that it was not needed any more.
type WrittenMsg struct{ Record Record }

// FailedMsg reports that a WriteCmd failed.
type FailedMsg struct{}

// TickMsg triggers the work that is due at the time returned by NextWake.
type TickMsg struct{}

func (NewestMsg) eraMsg()    {}
func (ReadMsg) eraMsg()      {}
func (LostMsg) eraMsg()      {}
func (ConfigMsg) eraMsg()    {}
func (PresetMsg) eraMsg()    {}
func (VMMsg) eraMsg()        {}
func (VMRemovedMsg) eraMsg() {}
func (RecordMsg) eraMsg()    {}
func (FleetMsg) eraMsg()     {}
func (WrittenMsg) eraMsg()   {}
func (FailedMsg) eraMsg()    {}
func (TickMsg) eraMsg()      {}

// WriteCmd writes the Record unless the store has one of the same era.
type WriteCmd struct{ Record Record }
