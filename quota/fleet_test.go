package quota_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/quota"
	"lentillink.example/lentillink/store"
)

// event is something that happens at a time of a fleet.
type event struct {
	at  clock.Millis
	seq int
	do  func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// node is one VM.
type node struct {
	quota.VM
	m        *quota.Model
	down     bool
	paused   bool
	stopped  bool // as planned
	noStore  bool
	waiting  []quota.Msg // while paused
	tickAt   clock.Millis
	lag      clock.Millis // with which it learns of changes in the store
	starts   int
	messages int // sent to other VMs
	calls    int // of the store
}

// fleet runs Models on VMs with a store between them, in virtual time.
type fleet struct {
	t       *testing.T
	rng     *rand.Rand
	now     clock.Millis
	queue   events
	seq     int
	nodes   []*node
	byID    map[string]*node
	cut     func(from, to *node) bool
	delayMs func() clock.Millis

	storeDown bool
	era       uint64
	revision  uint64
	claims    [quota.Groups]quota.ClaimMsg
	leases    map[store.LeaseID]clock.Millis // when each one ends
	lastLease store.LeaseID
	ttl       clock.Millis  // that the store applies to leases; 0 for the one asked for
	ttlStated *clock.Millis // that it states; nil for the one that it applies

	customers map[uint64]string // of the open requests
	lastID    uint64
	runs      map[string][]clock.Millis
	refused   map[string]int
	noCredit  int            // refusals other than over the limit
	retries   []clock.Millis // that refused requests were given
	notRun    func(customer string) bool
}

// newFleet starts n VMs in three data centres.
func newFleet(t *testing.T, seed uint64, n int) *fleet {
	f := &fleet{
		t: t, rng: rand.New(rand.NewPCG(seed, seed)), now: 1000, byID: make(map[string]*node), era: 1,
		leases: make(map[store.LeaseID]clock.Millis), customers: make(map[uint64]string),
		runs: make(map[string][]clock.Millis), refused: make(map[string]int),
	}
	f.delayMs = func() clock.Millis { return 1 + clock.Millis(f.rng.Int64N(3)) }
	for g := range f.claims {
		f.claims[g].Group = g
	}
	for i := range n {
		nd := &node{VM: quota.VM{ID: fmt.Sprintf("vm-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%3), CPUMilli: 200}}
		if i%10 == 0 {
			nd.CPUMilli = 800
		}
		nd.lag = 20 + clock.Millis(f.rng.Int64N(800))
		f.nodes = append(f.nodes, nd)
		f.byID[nd.ID] = nd
	}
	for _, nd := range f.nodes {
		f.start(nd)
	}
	return f
}

// start starts a VM, or starts it again without what it knew.
func (f *fleet) start(nd *node) {
	nd.starts++
	nd.down, nd.paused, nd.waiting, nd.tickAt = false, false, nil, 0
	nd.m = quota.New(quota.WithSelf(nd.ID, nd.DataCentre), quota.WithSeed(uint64(len(nd.ID)+nd.starts)))
	f.deliver(nd, quota.LimitedMsg{Limited: true})
	f.deliver(nd, quota.EraMsg{Era: f.era})
	for _, c := range f.claims {
		if c.Claim.VM != "" {
			f.deliver(nd, c)
		}
	}
	f.list(nd)
}

// list sends a VM the list of VMs.
func (f *fleet) list(nd *node) {
	var vms []quota.VM
	for _, o := range f.nodes {
		if !o.down {
			vms = append(vms, o.VM)
		}
	}
	f.deliver(nd, quota.FleetMsg{VMs: vms})
}

func (f *fleet) after(d clock.Millis, do func()) {
	f.seq++
	heap.Push(&f.queue, event{at: f.now + d, seq: f.seq, do: do})
}

// run lets time pass.
func (f *fleet) run(d clock.Millis) {
	end := f.now + d
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// deliver passes a message to a VM and performs the commands that follow.
func (f *fleet) deliver(nd *node, msg quota.Msg) {
	if nd.down {
		return
	}
	if nd.paused {
		nd.waiting = append(nd.waiting, msg)
		return
	}
	for _, cmd := range nd.m.Update(f.now, msg) {
		f.perform(nd, cmd)
	}
	f.scheduleTick(nd)
}

func (f *fleet) scheduleTick(nd *node) {
	at, ok := nd.m.NextWake()
	if !ok || nd.tickAt > f.now && nd.tickAt <= at {
		return
	}
	nd.tickAt = max(at, f.now+1)
	starts, due := nd.starts, nd.tickAt
	f.after(nd.tickAt-f.now, func() {
		if nd.starts == starts && nd.tickAt == due {
			nd.tickAt = 0
			f.deliver(nd, quota.TickMsg{})
		}
	})
}

func (f *fleet) perform(nd *node, cmd quota.Cmd) {
	switch c := cmd.(type) {
	case quota.GrantedCmd:
		f.granted(nd, c.Request)
	case quota.RefusedCmd:
		customer, ok := f.customers[c.Request]
		if !ok {
			f.t.Fatalf("request %d was decided twice", c.Request)
		}
		delete(f.customers, c.Request)
		f.refused[customer]++
		f.retries = append(f.retries, f.now+c.RetryAfterMs)
		if !c.OverLimit {
			f.noCredit++
		}
	case quota.AskCmd:
		f.send(nd, c.To, quota.AskMsg{From: nd.ID, Ask: c.Ask})
	case quota.GrantCmd:
		f.send(nd, c.To, quota.GrantMsg{From: nd.ID, Grant: c.Grant})
	case quota.LeaseCmd, quota.ClaimCmd, quota.RenewCmd, quota.ReleaseCmd:
		f.call(nd, cmd)
	}
}

func (f *fleet) granted(nd *node, request uint64) {
	customer, ok := f.customers[request]
	if !ok {
		f.t.Fatalf("request %d was decided twice", request)
	}
	delete(f.customers, request)
	if f.notRun != nil && f.notRun(customer) {
		f.after(10, func() { f.deliver(nd, quota.ReturnMsg{Customer: customer}) })
		return
	}
	f.runs[customer] = append(f.runs[customer], f.now)
}

// send delivers a message, unless the VMs cannot reach each other. A lost process is
// noticed, a paused or unreachable one is not.
func (f *fleet) send(from *node, to string, msg quota.Msg) {
	from.messages++
	nd := f.byID[to]
	if f.cut != nil && f.cut(from, nd) {
		return
	}
	f.after(f.delayMs(), func() {
		if nd.down {
			f.after(f.delayMs(), func() { f.deliver(from, quota.UnreachableMsg{VM: to}) })
			return
		}
		f.deliver(nd, msg)
	})
}

// call makes a call of the store.
func (f *fleet) call(nd *node, cmd quota.Cmd) {
	nd.calls++
	starts := nd.starts
	f.after(2, func() {
		if f.storeDown || nd.noStore {
			f.after(2, func() { f.reply(nd, starts, quota.FailedMsg{Kind: store.KindUnavailable}) })
			return
		}
		result, era := f.handle(cmd), f.era
		f.after(2, func() { f.reply(nd, starts, quota.EraMsg{Era: era}, result) })
	})
}

// reply delivers the result of a call to the process that made it.
func (f *fleet) reply(nd *node, starts int, msgs ...quota.Msg) {
	if nd.starts != starts {
		return
	}
	for _, msg := range msgs {
		f.deliver(nd, msg)
	}
}

// handle applies a call in the store.
func (f *fleet) handle(cmd quota.Cmd) quota.Msg {
	conflict := quota.FailedMsg{Kind: store.KindConflict}
	switch c := cmd.(type) {
	case quota.LeaseCmd:
		f.lastLease++
		f.extend(f.lastLease, f.appliedTTL(c.TTL))
		return quota.LeasedMsg{Lease: f.lastLease, TTL: store.CountedTTL(c.TTL, f.stated(c.TTL))}
	case quota.RenewCmd:
		if f.leases[c.Lease] <= f.now {
			return conflict
		}
		f.extend(c.Lease, f.appliedTTL(quota.LeaseTTL))
		return quota.RenewedMsg{TTL: store.CountedTTL(quota.LeaseTTL, f.stated(quota.LeaseTTL))}
	case quota.ReleaseCmd:
		f.leases[c.Lease] = f.now
		f.expire()
		return quota.RenewedMsg{}
	case quota.ClaimCmd:
		if f.leases[c.Claim.Lease] <= f.now || f.claims[c.Group].Revision != c.Revision {
			return conflict
		}
		f.put(c.Group, c.Claim)
		return quota.ClaimedMsg{}
	}
	return nil
}

// appliedTTL returns the time to live that the store applies to a lease that was asked for
// with another one.
func (f *fleet) appliedTTL(asked clock.Millis) clock.Millis {
	if f.ttl > 0 {
		return f.ttl
	}
	return asked
}

// stated returns the time to live that the store states.
func (f *fleet) stated(asked clock.Millis) clock.Millis {
	if f.ttlStated != nil {
		return *f.ttlStated
	}
	return f.appliedTTL(asked)
}

func (f *fleet) extend(id store.LeaseID, ttl clock.Millis) {
	f.leases[id] = f.now + ttl
	f.after(ttl, f.expire)
}

// expire removes the claims whose lease has ended.
func (f *fleet) expire() {
	for g, c := range f.claims {
		if c.Claim.VM != "" && f.leases[c.Claim.Lease] <= f.now {
			f.put(g, quota.Claim{})
		}
	}
}

// put changes a claim and notifies the VMs that reach the store.
func (f *fleet) put(group int, c quota.Claim) {
	f.revision++
	msg := quota.ClaimMsg{Group: group, Claim: c, Revision: f.revision}
	if c.VM == "" {
		msg.Revision = 0
	}
	f.claims[group] = msg
	for _, nd := range f.nodes {
		f.tell(nd, msg)
	}
}

func (f *fleet) tell(nd *node, msg quota.Msg) {
	starts := nd.starts
	f.after(nd.lag, func() {
		if nd.starts == starts && !nd.noStore {
			f.deliver(nd, msg)
		}
	})
}

// restore makes the store come back from an older copy.
func (f *fleet) restore(claims [quota.Groups]quota.ClaimMsg) {
	f.era++
	for g := range claims {
		claims[g].Group = g
	}
	f.claims = claims
	for _, nd := range f.nodes {
		f.tell(nd, quota.EraMsg{Era: f.era})
		for _, c := range claims {
			f.tell(nd, c)
		}
	}
	f.expire()
}

// reconnect lets a VM read the store again.
func (f *fleet) reconnect(nd *node) {
	nd.noStore = false
	f.tell(nd, quota.EraMsg{Era: f.era})
	for _, c := range f.claims {
		f.tell(nd, c)
	}
}

func (f *fleet) pause(nd *node) { nd.paused = true }

func (f *fleet) resume(nd *node) {
	nd.paused = false
	waiting := nd.waiting
	nd.waiting = nil
	for _, msg := range waiting {
		f.deliver(nd, msg)
	}
	f.deliver(nd, quota.TickMsg{})
}

// kill ends the process of a VM. Its requests end with it.
func (f *fleet) kill(nd *node) { nd.down, nd.tickAt = true, 0 }

// arrive lets a request of a customer arrive at a VM.
func (f *fleet) arrive(nd *node, l quota.Limit) {
	if nd.down {
		return
	}
	f.lastID++
	if !nd.paused && nd.m.Take(f.now, l.Customer) {
		f.customers[f.lastID] = l.Customer
		f.granted(nd, f.lastID)
		return
	}
	f.customers[f.lastID] = l.Customer
	f.deliver(nd, quota.AcquireMsg{Request: f.lastID, Limit: l})
}

// load lets requests arrive at a rate for a time, at VMs that pick chooses.
func (f *fleet) load(l quota.Limit, perSecond float64, d clock.Millis, pick func() *node) {
	for at := 0.0; ; {
		at += f.rng.ExpFloat64() / perSecond * 1000
		if clock.Millis(at) >= d {
			return
		}
		f.after(clock.Millis(at), func() { f.arrive(pick(), l) })
	}
}

func (f *fleet) anyNode() *node { return f.nodes[f.rng.IntN(len(f.nodes))] }

// owner returns the VM whose claim of a customer's group stands in the store.
func (f *fleet) owner(customer string) *node {
	return f.byID[f.claims[quota.GroupOf(customer)].Claim.VM]
}

var bounds = quota.Bounds{WindowMs: quota.DefaultWindowMs, Overshoot: quota.DefaultOvershoot, Slack: quota.DefaultSlack}

// checkBound fails if too many requests of a customer ran in some window.
func (f *fleet) checkBound(l quota.Limit) {
	f.t.Helper()
	if got, want := maxInWindow(f.runs[l.Customer]), bounds.Max(l); float64(got) > want {
		f.t.Errorf("%s: got %d runs in a window, want at most %.1f", l.Customer, got, want)
	}
}

// maxInWindow returns the most runs in any window.
func maxInWindow(runs []clock.Millis) int {
	most, from := 0, 0
	for i, at := range runs {
		for runs[from] <= at-bounds.WindowMs {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// runsBetween returns how many requests of a customer ran in a time.
func (f *fleet) runsBetween(customer string, from, to clock.Millis) int {
	lower, _ := slices.BinarySearch(f.runs[customer], from)
	upper, _ := slices.BinarySearch(f.runs[customer], to)
	return upper - lower
}
