package order

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/timeline"
)

// Model decides on orders. It is not safe for concurrent use.
type Model struct {
	cfg      config
	live     []string
	ranked   [NumPartitions][]string // live VMs by rendezvous weight, owner first
	open     map[uint64]*submission
	attempts map[attempt.ID]*submission
	releases map[uint64]*release
	oldest   []uint64 // keys of releases by age
	parts    [NumPartitions]partition
	calls    map[uint64]storeCall // outstanding store calls by tag
	timers   timerHeap
	cmds     []Cmd
	lastSeq  uint64
	lastTag  uint64
	stopping bool
	stats    Stats
}

// New returns a Model without open orders that owns every partition until it
// hears of other VMs.
func New(opts ...Option) *Model {
	m := &Model{
		cfg:      defaults(),
		open:     make(map[uint64]*submission),
		attempts: make(map[attempt.ID]*submission),
		releases: make(map[uint64]*release),
		calls:    make(map[uint64]storeCall),
	}
	for _, opt := range opts {
		opt(&m.cfg)
	}
	if m.cfg.attemptID == nil {
		m.cfg.attemptID = m.nextAttemptID()
	}
	for i := range m.parts {
		m.parts[i].init(i)
	}
	m.rankOwners()
	return m
}

func (m *Model) nextAttemptID() func() attempt.ID {
	id := attempt.ID{VM: m.cfg.self, Incarnation: m.cfg.incarnation}
	return func() attempt.ID {
		id.Seq++
		return id
	}
}

// Update handles one message. Timers that are due run first, so that a VM that
// wakes from a pause refuses what is past its deadline before it reads answers.
func (m *Model) Update(now clock.Millis, msg Msg) []Cmd {
	m.cmds = nil
	m.runTimers(now)
	switch msg := msg.(type) {
	case SubmitMsg:
		m.submit(now, msg)
	case ClaimRequestMsg:
		m.enqueue(now, msg)
	case ClaimResponseMsg:
		m.claimed(now, msg)
	case StoreMsg:
		m.stored(now, msg.Reply)
	case AttemptReplyMsg:
		m.replied(now, msg.Reply)
	case LiveVMsMsg:
		m.owners(now, msg.VMs)
	case StopMsg:
		m.stop(now)
	case TickMsg:
	}
	return m.cmds
}

// stop starts the drain. Queued done marks no longer wait for a claim to share a write with.
func (m *Model) stop(now clock.Millis) {
	m.stopping = true
	m.cfg.doneDelay = 0
	for i := range m.parts {
		p := &m.parts[i]
		for _, op := range p.queue {
			op.due = min(op.due, now)
		}
		m.advance(now, p)
	}
}

func (m *Model) emit(cmd Cmd) { m.cmds = append(m.cmds, cmd) }

func (m *Model) event(e timeline.Event) { m.emit(EventCmd{Event: e}) }

// owners takes over a new list of live VMs. Open claims whose owner changed are
// asked for again at once, under the same token.
func (m *Model) owners(now clock.Millis, live []string) {
	before := m.ranked
	m.live = slices.Clone(live)
	m.rankOwners()
	for _, seq := range sortedKeys(m.open) {
		o := m.open[seq]
		if o == nil {
			continue
		}
		n := o.hash.Partition()
		if o.state == claiming && before[n][0] != m.ranked[n][0] {
			o.asks = 0
			o.reasked = true
			m.ask(now, o)
		}
	}
	for i := range m.parts {
		p := &m.parts[i]
		p.dropClaims(func(t Token) bool { return t.VM != m.cfg.self && !slices.Contains(m.live, t.VM) })
		if m.ranked[i][0] != m.cfg.self && p.phase == phaseIdle && len(p.queue) == 0 {
			p.init(i)
		}
	}
}

// rankedOwners is how many VMs are kept per partition. A claim asks each twice,
// 300 ms apart, so that more are not reached within the longest usual deadline.
const rankedOwners = 8

// weighted is a VM with its rendezvous weight for one partition.
type weighted struct {
	vm     string
	weight uint64
}

// heavierFirst sorts higher weights first.
func heavierFirst(a, b weighted) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.vm, b.vm))
}

// rankOwners finds the first live VMs of each partition by rendezvous hashing. A
// VM that knows of no live VM owns every partition itself.
func (m *Model) rankOwners() {
	live := m.live
	if len(live) == 0 {
		live = []string{m.cfg.self}
	}
	best := make([]weighted, 0, rankedOwners+1)
	for i := range m.ranked {
		key := string(rune('a'+i)) + "/"
		best = best[:0]
		for _, vm := range live {
			w := weighted{vm: vm, weight: xxhash.Sum64String(key + vm)}
			at, _ := slices.BinarySearchFunc(best, w, heavierFirst)
			if at < rankedOwners {
				best = slices.Insert(best, at, w)
				best = best[:min(len(best), rankedOwners)]
			}
		}
		m.ranked[i] = make([]string, len(best))
		for n, w := range best {
			m.ranked[i][n] = w.vm
		}
	}
}

func sortedKeys[V any](in map[uint64]V) []uint64 {
	keys := make([]uint64, 0, len(in))
	for k := range in {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
