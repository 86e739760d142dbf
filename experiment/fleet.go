package experiment

import (
	"fmt"
	"math/rand/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/upstream"
)

// MessageOverheadBytes is added to each payload when traffic is counted: frame, TCP and IP headers.
const MessageOverheadBytes = 60

// Minimum one-way delays between VMs: about 1 ms within a region, and between regions that of distant sites.
const (
	sameRegionMs  clock.Millis = 1
	crossRegionMs clock.Millis = 30
)

// Fleet runs one fleet.Model per VM in virtual time, with a fake network and store.
type Fleet struct {
	Loop        *Loop
	Store       *KV
	VMs         []*FleetVM
	LossPercent float64
	LinkCut     func(from, to *FleetVM) bool // nil if no link is cut
	CPU         func() int64                 // nanoseconds of a running clock; if nil, processor time is not measured
	Options     []fleet.Option               // for the model of every VM
	OnSend      func(payload []byte)         // called with every payload sent; may be nil
	ByID        map[string]*FleetVM

	rng *rand.Rand
}

// FleetVM is one VM of a Fleet.
type FleetVM struct {
	VM             fleet.VM
	Index          int
	Region         int
	Model          *fleet.Model
	Running        bool
	SentBytes      int
	SentMessages   int
	BusyNs         int64
	Reverts        int // number of times that a lower revision came into force within one process
	OlderRevisions int // number of times that a new process got a lower revision than an earlier process had
	AppliedAt      clock.Millis
	Leaving        map[upstream.ID]bool

	revision        uint64 // in force in this process
	highestRevision uint64 // in force in any process so far
	pausedUntil     clock.Millis
	nextWake        clock.Millis
	generation      int // incremented by each start and kill, so that callbacks of earlier processes are ignored
}

// NewFleet returns n stopped VMs in 3 regions with 3 data centres each.
func NewFleet(seed uint64, n int) *Fleet {
	f := &Fleet{
		Loop: NewLoop(1_700_000_000_000), rng: rand.New(rand.NewPCG(seed, uint64(n))), ByID: make(map[string]*FleetVM, n),
	}
	f.Store = NewKV(f.Loop, rand.New(rand.NewPCG(seed, 77)))
	for i := range n {
		vm := &FleetVM{Index: i, Region: i % 3, VM: fleet.VM{
			ID: fmt.Sprintf("vm-%04d", i), Address: fmt.Sprintf("10.%d.%d.%d:7400", i%3, i/250, i%250),
			DataCentre: fmt.Sprintf("dc-%d", i%9),
		}}
		f.VMs = append(f.VMs, vm)
		f.ByID[vm.VM.ID] = vm
	}
	return f
}

// Start starts a new process on a VM that is not running.
func (f *Fleet) Start(n *FleetVM) {
	n.generation++
	n.Running, n.revision, n.nextWake, n.pausedUntil = true, 0, 0, 0
	n.VM.Incarnation = uint64(f.Loop.Now())
	n.Leaving = make(map[upstream.ID]bool)
	opts := append([]fleet.Option{fleet.WithSelf(n.VM), fleet.WithSeed(f.rng.Uint64())}, f.Options...)
	n.Model = fleet.New(opts...)
	f.Deliver(n, fleet.ListedVMsMsg{VMs: f.vmList()})
}

// StartAll starts every VM at a random time within the given duration.
func (f *Fleet) StartAll(within clock.Millis) {
	for _, n := range f.VMs {
		f.Loop.After(clock.Millis(f.rng.Int64N(int64(within)+1)), func() { f.Start(n) })
	}
}

// Kill ends the process of a VM immediately.
func (f *Fleet) Kill(n *FleetVM) {
	n.generation++
	n.Running = false
}

// Pause suspends a VM for d. Messages are delivered when it resumes.
func (f *Fleet) Pause(n *FleetVM, d clock.Millis) { n.pausedUntil = f.Loop.Now() + d }

// Paused reports whether n is paused.
func (f *Fleet) Paused(n *FleetVM) bool { return f.Loop.Now() < n.pausedUntil }

// vmList returns the platform's VM list: every VM of the fleet, whether it runs or not.
func (f *Fleet) vmList() []fleet.VM {
	list := make([]fleet.VM, len(f.VMs))
	for i, n := range f.VMs {
		list[i] = n.VM
	}
	return list
}

// Deliver passes msg to n immediately, or when n resumes if it is paused.
func (f *Fleet) Deliver(n *FleetVM, msg fleet.Msg) {
	if !n.Running {
		return
	}
	if f.Paused(n) {
		generation := n.generation
		f.Loop.At(n.pausedUntil, func() {
			if n.generation == generation {
				f.Deliver(n, msg)
			}
		})
		return
	}
	var begin int64
	if f.CPU != nil {
		begin = f.CPU()
	}
	cmds := n.Model.Update(f.Loop.Now(), msg)
	if f.CPU != nil {
		n.BusyNs += f.CPU() - begin
	}
	for _, c := range cmds {
		f.perform(n, c)
	}
	f.scheduleWake(n)
}

func (f *Fleet) scheduleWake(n *FleetVM) {
	at, ok := n.Model.NextWake()
	if !ok || n.nextWake != 0 && n.nextWake <= at && n.nextWake > f.Loop.Now() {
		return
	}
	n.nextWake = max(at, f.Loop.Now()+1)
	due, generation := n.nextWake, n.generation
	f.Loop.At(due, func() {
		if n.generation == generation && n.nextWake == due {
			n.nextWake = 0
			f.Deliver(n, fleet.TickMsg{})
		}
	})
}

func (f *Fleet) perform(n *FleetVM, c fleet.Cmd) {
	switch c := c.(type) {
	case fleet.SendCmd:
		f.send(n, c)
	case fleet.StoreCmd:
		generation := n.generation
		f.Store.Call(n, c.Request, func(r store.Reply) {
			if n.generation == generation {
				f.Deliver(n, fleet.StoreMsg{Reply: r})
			}
		})
	case fleet.RecordCmd:
		n.apply(f.Loop.Now(), c.Record)
	case fleet.UpstreamLeavingCmd:
		n.Leaving[c.Upstream] = c.Leaving
	}
}

func (n *FleetVM) apply(now clock.Millis, rec preset.Record) {
	if rec.Revision < n.revision {
		n.Reverts++
	} else if rec.Revision < n.highestRevision {
		n.OlderRevisions++
	}
	n.highestRevision = max(n.highestRevision, rec.Revision)
	n.revision, n.AppliedAt = rec.Revision, now
}

func (f *Fleet) send(from *FleetVM, c fleet.SendCmd) {
	from.SentMessages++
	from.SentBytes += len(c.Payload) + MessageOverheadBytes
	if f.OnSend != nil {
		f.OnSend(c.Payload)
	}
	to := f.ByID[c.To]
	if to == nil || f.rng.Float64()*100 < f.LossPercent || f.LinkCut != nil && f.LinkCut(from, to) {
		return
	}
	delay := sameRegionMs
	if from.Region != to.Region {
		delay = crossRegionMs
	}
	f.Loop.After(delay+clock.Millis(f.rng.Int64N(int64(delay)+1)), func() {
		f.Deliver(to, fleet.PeerMsg{From: from.VM.ID, Payload: c.Payload})
	})
}

// RunFor advances virtual time by d.
func (f *Fleet) RunFor(d clock.Millis) { f.Loop.RunUntil(f.Loop.Now() + d) }

// All reports whether ok holds for every running VM that is not paused.
func (f *Fleet) All(ok func(*FleetVM) bool) bool {
	for _, n := range f.VMs {
		if n.Running && !f.Paused(n) && !ok(n) {
			return false
		}
	}
	return true
}

// RunUntil advances virtual time in increments of step until ok holds, up to limit.
// It returns the elapsed time and whether ok holds.
func (f *Fleet) RunUntil(step, limit clock.Millis, ok func() bool) (clock.Millis, bool) {
	begin := f.Loop.Now()
	for !ok() {
		if f.Loop.Now() >= begin+limit {
			return limit, false
		}
		f.RunFor(step)
	}
	return f.Loop.Now() - begin, true
}

// Converged reports whether every running VM sees exactly the running VMs as live.
func (f *Fleet) Converged() bool {
	running := 0
	for _, n := range f.VMs {
		if n.Running {
			running++
		}
	}
	return f.All(func(n *FleetVM) bool {
		if n.Model.LiveCount() != running {
			return false
		}
		for _, other := range f.VMs {
			if other.Running && !n.Model.IsLive(other.VM.ID) {
				return false
			}
		}
		return true
	})
}

func upstreamID(i int) upstream.ID { return upstream.ID(fmt.Sprintf("search/group-%d/a", i)) }
