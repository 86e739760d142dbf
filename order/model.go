package order

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/timeline"
)

// Model is the state machine for orders. It is not safe for concurrent use.
type Model struct {
	cfg           config
	liveVMs       []string
	candidates    [NumPartitions][]string // live VMs by descending rendezvous weight, the owner first
	submissions   map[uint64]*submission
	attempts      map[attempt.ID]*submission
	releases      map[uint64]*release
	releasesByAge []uint64 // keys of releases, oldest first
	partitions    [NumPartitions]partition
	storeCalls    map[uint64]storeCall // outstanding store calls by tag
	timers        timerHeap
	cmds          []Cmd
	lastSeq       uint64
	lastStoreTag  uint64
	draining      bool
	stats         Stats
}

// New returns a Model without open orders. It owns every partition until a
// LiveVMsMsg lists other VMs.
func New(opts ...Option) *Model {
	m := &Model{
		cfg:         defaultConfig(),
		submissions: make(map[uint64]*submission),
		attempts:    make(map[attempt.ID]*submission),
		releases:    make(map[uint64]*release),
		storeCalls:  make(map[uint64]storeCall),
	}
	for _, opt := range opts {
		opt(&m.cfg)
	}
	if m.cfg.attemptID == nil {
		m.cfg.attemptID = m.nextAttemptID()
	}
	for i := range m.partitions {
		m.partitions[i].reset(i)
	}
	m.rankCandidates()
	return m
}

// nextAttemptID returns the default source of attempt identifiers.
func (m *Model) nextAttemptID() func() attempt.ID {
	id := attempt.ID{VM: m.cfg.vm, Incarnation: m.cfg.incarnation}
	return func() attempt.ID {
		id.Seq++
		return id
	}
}

// Update handles one message. It first runs the timers that are due, so that a VM
// that resumes after a pause refuses orders past their deadline before it
// processes responses.
func (m *Model) Update(now clock.Millis, msg Msg) []Cmd {
	m.cmds = nil
	m.runTimers(now)
	switch msg := msg.(type) {
	case SubmitMsg:
		m.submit(now, msg)
	case ClaimRequestMsg:
		m.enqueue(now, msg)
	case ClaimResponseMsg:
		m.handleClaimResponse(now, msg)
	case StoreMsg:
		m.handleStoreReply(now, msg.Reply)
	case AttemptReplyMsg:
		m.handleAttemptReply(now, msg.Reply)
	case LiveVMsMsg:
		m.setLiveVMs(now, msg.VMs)
	case StopMsg:
		m.drain(now)
	case TickMsg:
	}
	return m.cmds
}

// drain stops accepting orders. Queued done marks become due at once instead of
// waiting to share a write with a claim.
func (m *Model) drain(now clock.Millis) {
	m.draining = true
	m.cfg.doneMarkDelay = 0
	for i := range m.partitions {
		p := &m.partitions[i]
		for _, op := range p.queue {
			op.due = min(op.due, now)
		}
		m.advance(now, p)
	}
}

func (m *Model) emit(cmd Cmd) { m.cmds = append(m.cmds, cmd) }

func (m *Model) emitEvent(e timeline.Event) { m.emit(EventCmd{Event: e}) }

// setLiveVMs replaces the list of live VMs. Open claims whose owner changed are
// requested again at once, with the same token.
func (m *Model) setLiveVMs(now clock.Millis, live []string) {
	previous := m.candidates
	m.liveVMs = slices.Clone(live)
	m.rankCandidates()
	for _, seq := range sortedKeys(m.submissions) {
		o := m.submissions[seq]
		if o == nil {
			continue
		}
		n := o.hash.Partition()
		if o.state == stateClaiming && previous[n][0] != m.candidates[n][0] {
			o.tries = 0
			o.retried = true
			m.sendClaim(now, o)
		}
	}
	for i := range m.partitions {
		p := &m.partitions[i]
		p.dropClaims(func(t Token) bool { return t.VM != m.cfg.vm && !slices.Contains(m.liveVMs, t.VM) })
		if m.candidates[i][0] != m.cfg.vm && p.phase == phaseIdle && len(p.queue) == 0 {
			p.reset(i)
		}
	}
}

// maxCandidates is the number of VMs kept per partition. A claim request tries each
// twice, 300 ms apart, so the longest usual deadline ends before more are reached.
const maxCandidates = 8

// weightedVM is a VM with its rendezvous weight for one partition.
type weightedVM struct {
	vm     string
	weight uint64
}

// compareWeights orders higher weights first, and equal weights by VM name.
func compareWeights(a, b weightedVM) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.vm, b.vm))
}

// rankCandidates selects the candidate owners of each partition by rendezvous
// hashing. Without a list of live VMs, this VM owns every partition.
func (m *Model) rankCandidates() {
	live := m.liveVMs
	if len(live) == 0 {
		live = []string{m.cfg.vm}
	}
	topVMs := make([]weightedVM, 0, maxCandidates+1)
	for i := range m.candidates {
		key := string(rune('a'+i)) + "/"
		topVMs = topVMs[:0]
		for _, vm := range live {
			w := weightedVM{vm: vm, weight: xxhash.Sum64String(key + vm)}
			position, _ := slices.BinarySearchFunc(topVMs, w, compareWeights)
			if position < maxCandidates {
				topVMs = slices.Insert(topVMs, position, w)
				topVMs = topVMs[:min(len(topVMs), maxCandidates)]
			}
		}
		m.candidates[i] = make([]string, len(topVMs))
		for n, w := range topVMs {
			m.candidates[i][n] = w.vm
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
