package fleet

import (
	"math/rand/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/upstream"
)

const (
	maxMembers                  = 8192
	pauseThreshold clock.Millis = 5 * clock.Second  // a gap between updates this long means that the VM was paused
	deadRetention  clock.Millis = 10 * clock.Minute // dead members are deleted after this time
	liveInterval   clock.Millis = 500               // minimum interval between LiveCmds, each of which copies the member list
	pruneInterval  clock.Millis = 10 * clock.Second
)

// Model is the membership state machine of one VM. It is not safe for concurrent use.
type Model struct {
	cfg  config
	rng  *rand.Rand
	cmds []Cmd

	self     *member
	byID     map[string]*member
	byAddr   map[string]*member
	members  []*member // all members except this VM, in probe order
	suspects []*member
	digest   [buckets]uint32

	eligible        []*member // alive, including this VM
	eligibleHashes  []uint64  // hashes of eligible, in a separate slice so that a scan is cache-friendly
	eligibleVersion uint64
	reportedVersion uint64 // eligibleVersion at the last LiveCmd
	watchers        []string

	started     bool
	stopping    bool
	lastUpdate  clock.Millis // time of the current or last Update
	lastPeerMsg clock.Millis // time of the last message from a peer
	nextLive    clock.Millis
	nextPrune   clock.Millis

	probes     probeState
	gossip     gossipState
	sync       syncState
	record     preset.Record
	compressed compressedRecord
	pull       pullState
	store      storeState
	reports    reportState
}

// New returns a Model. The option WithSelf is required.
func New(opts ...Option) *Model {
	cfg := config{initialRecord: preset.Default(), readInterval: clock.Minute, burstRounds: defaultBurstRounds}
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
	m.probes.stopAcks = make(map[string]bool)
	m.gossip.memberQueue.index = make(map[string]*queueItem)
	m.gossip.reportQueue.index = make(map[string]*queueItem)
	m.reports.byUpstream = make(map[upstream.ID]Report)
	m.sync.hints = cfg.seedVMs
	m.self = newMember(cfg.self)
	m.self.State = Alive
	m.index(m.self)
	return m
}

// Update handles one message, then runs all work that is due.
func (m *Model) Update(now clock.Millis, msg Msg) []Cmd {
	m.cmds = nil
	m.startOrResume(now)
	switch msg := msg.(type) {
	case PeerMsg:
		m.handlePeer(now, msg)
	case ListedVMsMsg:
		m.sync.hints, m.sync.vmListReceived = msg.VMs[:min(len(msg.VMs), maxMembers)], true
	case RecordMsg:
		m.applyRecord(now, msg.Record, compressedRecord{})
	case StoreMsg:
		m.handleStoreReply(now, msg.Reply)
	case UpstreamLeavingMsg:
		m.observeUpstream(now, msg)
	case StopMsg:
		m.announceStop(now)
	}
	m.runDue(now)
	return m.cmds
}

// startOrResume starts the timers, and restarts them after a pause of this VM:
// replies missed during the pause are no evidence that other members failed.
func (m *Model) startOrResume(now clock.Millis) {
	switch {
	case !m.started:
		m.started = true
		m.lastPeerMsg = now
		m.resetTimers(now)
		m.gossip.memberQueue.push(m.self.ID)
	case now >= m.lastUpdate+pauseThreshold:
		for _, s := range m.suspects {
			s.suspectUntil += now - m.lastUpdate
		}
		m.resetTimers(now)
	}
	m.lastUpdate = now
}

func (m *Model) resetTimers(now clock.Millis) {
	m.probes.current = probe{}
	m.probes.nextProbe = now + m.jitter(probeInterval)
	m.sync.nextSync, m.sync.nextContact = now, now
	m.pull.requestedAt = 0
	m.resetStore(now)
}

// runDue runs all work whose time has been reached.
func (m *Model) runDue(now clock.Millis) {
	m.runProbe(now)
	m.runSync(now)
	m.retryPull(now)
	m.runBurst(now)
	if now >= m.nextPrune {
		m.nextPrune = now + pruneInterval
		m.pruneDead(now)
	}
	m.expireReports(now)
	if m.reportedVersion != m.eligibleVersion && now >= m.nextLive {
		m.reportedVersion = m.eligibleVersion
		m.nextLive = now + liveInterval
		m.watchers = m.selectWatchers()
		m.emit(LiveCmd{m.Live()})
	}
	m.runStoreCalls(now)
}

// handlePeer handles a payload from a peer.
func (m *Model) handlePeer(now clock.Millis, p PeerMsg) {
	msg, err := decode(p.Payload)
	if err != nil || p.From == m.self.ID {
		return
	}
	m.lastPeerMsg = now
	if msg.sender.ID == p.From {
		m.mergeUpdate(now, msg.sender)
	}
	newer := m.mergeUpdates(now, msg)
	for _, r := range msg.reports {
		m.mergeReport(now, r)
	}
	m.checkRevision(now, p.From, msg.revision)
	switch msg.kind {
	case kindPing:
		m.handlePing(p.From, msg)
	case kindAck:
		m.handleAck(p.From, msg)
	case kindPingReq:
		m.handlePingReq(now, p.From, msg)
	case kindDigest:
		m.handleDigest(p.From, msg)
	case kindState:
		m.handleState(now, p.From, msg, newer)
	case kindPull:
		m.handlePull(p.From, msg)
	case kindChunk:
		m.handleChunk(now, p.From, msg)
	}
}

func (m *Model) emit(c Cmd) { m.cmds = append(m.cmds, c) }

func (m *Model) emitEvent(e timeline.Event) { m.emit(EventCmd{e}) }

func (m *Model) jitter(d clock.Millis) clock.Millis {
	return clock.Millis(m.rng.Int64N(int64(max(d, 1))))
}

// send encodes and sends a message. Every message carries the revision of the local record.
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
