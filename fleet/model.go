package fleet

import (
	"math/rand/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/upstream"
)

const (
	maxMembers              = 8192
	pauseMs    clock.Millis = 5 * clock.Second  // no update for this long means that the VM was paused
	forgetMs   clock.Millis = 10 * clock.Minute // dead members are forgotten after this time
	liveEvery  clock.Millis = 500               // bounds how often LiveCmd copies the member list
	pruneEvery clock.Millis = 10 * clock.Second
)

// Model is the membership state machine of one VM. It is not safe for concurrent use.
type Model struct {
	cfg config
	rng *rand.Rand
	out []Cmd

	self     *member
	byID     map[string]*member
	byAddr   map[string]*member
	members  []*member // the others, in probe order
	suspects []*member
	digest   [buckets]uint32

	eligible   []*member // alive, including this VM
	hashes     []uint64  // of eligible, kept apart so that a scan stays in cache
	generation uint64
	flushed    uint64 // generation of the last LiveCmd
	watchers   []string

	started  bool
	stopping bool
	last     clock.Millis // time of the current or last Update
	lastPeer clock.Millis // time of the last message from a peer
	nextLive clock.Millis
	nextTidy clock.Millis

	probes  probing
	gossip  gossiping
	sync    syncing
	record  preset.Record
	blob    blob
	pull    pulling
	store   storing
	reports reporting
}

// New returns a Model. WithSelf is required.
func New(opts ...Option) *Model {
	cfg := config{initial: preset.Default(), read: clock.Minute, bursts: defaultBursts}
	for _, opt := range opts {
		opt(&cfg)
	}
	m := &Model{
		cfg:    cfg,
		rng:    rand.New(rand.NewPCG(cfg.seed, cfg.self.Incarnation)),
		byID:   make(map[string]*member),
		byAddr: make(map[string]*member),
	}
	m.probes.pings = make(map[uint64]ping)
	m.probes.announced = make(map[string]bool)
	m.gossip.members.index = make(map[string]*item)
	m.gossip.reports.index = make(map[string]*item)
	m.reports.table = make(map[upstream.ID]Report)
	m.sync.hints = cfg.seeds
	m.self = newMember(cfg.self)
	m.self.State = Alive
	m.index(m.self)
	return m
}

// Update handles one message, then all work that is due.
func (m *Model) Update(now clock.Millis, msg Msg) []Cmd {
	m.out = nil
	m.begin(now)
	switch msg := msg.(type) {
	case PeerMsg:
		m.receive(now, msg)
	case VMListMsg:
		m.sync.hints, m.sync.roster = msg.VMs[:min(len(msg.VMs), maxMembers)], true
	case RecordMsg:
		m.adopt(now, msg.Record, blob{})
	case StoreMsg:
		m.storeReply(now, msg.Reply)
	case UpstreamLeavingMsg:
		m.observe(now, msg)
	case StopMsg:
		m.stop(now)
	}
	m.due(now)
	return m.out
}

// begin starts the timers, and restarts them after a pause: answers that were
// due during the pause prove nothing about other members.
func (m *Model) begin(now clock.Millis) {
	switch {
	case !m.started:
		m.started = true
		m.lastPeer = now
		m.startTimers(now)
		m.gossip.members.push(m.self.ID)
	case now >= m.last+pauseMs:
		for _, s := range m.suspects {
			s.suspectUntil += now - m.last
		}
		m.startTimers(now)
	}
	m.last = now
}

func (m *Model) startTimers(now clock.Millis) {
	m.probes.current = probe{}
	m.probes.next = now + m.jitter(probeEvery)
	m.sync.next, m.sync.contact = now, now
	m.pull.at = 0
	m.startStore(now)
}

// due performs everything whose time has come.
func (m *Model) due(now clock.Millis) {
	m.probeDue(now)
	m.syncDue(now)
	m.pullDue(now)
	m.burstDue(now)
	if now >= m.nextTidy {
		m.nextTidy = now + pruneEvery
		m.prune(now)
	}
	m.expireReports(now)
	if m.flushed != m.generation && now >= m.nextLive {
		m.flushed = m.generation
		m.nextLive = now + liveEvery
		m.watchers = m.pickWatchers()
		m.emit(LiveCmd{m.Live()})
	}
	m.storeDue(now)
}

// receive handles a payload from a peer.
func (m *Model) receive(now clock.Millis, p PeerMsg) {
	msg, err := decode(p.Payload)
	if err != nil || p.From == m.self.ID {
		return
	}
	m.lastPeer = now
	if msg.self.ID == p.From {
		m.merge(now, msg.self)
	}
	newer := m.mergeAll(now, msg)
	for _, r := range msg.reports {
		m.mergeReport(now, r)
	}
	m.noticeRevision(now, p.From, msg.revision)
	switch msg.kind {
	case kindPing:
		m.answerPing(p.From, msg)
	case kindAck:
		m.acked(p.From, msg)
	case kindPingReq:
		m.relayPing(now, p.From, msg)
	case kindDigest:
		m.answerDigest(p.From, msg)
	case kindState:
		m.synced(now, p.From, msg, newer)
	case kindPull:
		m.answerPull(p.From, msg)
	case kindChunk:
		m.takeChunk(now, p.From, msg)
	}
}

func (m *Model) emit(c Cmd) { m.out = append(m.out, c) }

func (m *Model) event(e timeline.Event) { m.emit(EventCmd{e}) }

func (m *Model) jitter(d clock.Millis) clock.Millis {
	return clock.Millis(m.rng.Int64N(int64(max(d, 1))))
}

// send encodes and sends a message; the record's revision is on every one.
func (m *Model) send(to string, msg *message) {
	msg.revision = m.record.Revision
	m.emit(SendCmd{To: to, Address: m.Address(to), Payload: msg.encode()})
}

// Address returns the address of a member or of a VM on the VM list, or "".
func (m *Model) Address(id string) string {
	if mem := m.byID[id]; mem != nil {
		return mem.Address
	}
	return m.sync.addresses[id]
}
