package fleet_test

import (
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/fleet"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/store"
)

// timeUntilReady returns how long a model with a reachable store takes to become
// ready, at most 10 s. If peer is nil, messages to it are lost.
func timeUntilReady(t *testing.T, vmList []fleet.VM, peer *fleet.Model) clock.Millis {
	t.Helper()
	const start = clock.Millis(1_700_000_000_000)
	value, err := preset.Encode(preset.Default())
	if err != nil {
		t.Fatal(err)
	}
	m := fleet.New(fleet.WithSelf(fleet.VM{ID: "vm-1", Address: "a:1", Incarnation: 2}), fleet.WithSeed(1))
	for now := start; now < start+10*clock.Second; now += 10 {
		inbox := []fleet.Msg{fleet.ListedVMsMsg{VMs: vmList}, fleet.TickMsg{}}
		for ; len(inbox) > 0; inbox = inbox[1:] {
			for _, cmd := range m.Update(now, inbox[0]) {
				switch c := cmd.(type) {
				case fleet.StoreCmd:
					if c.Request.Op == store.OpGet {
						entry := store.Entry{Key: c.Request.Key, Value: value, Revision: 1}
						inbox = append(inbox, fleet.StoreMsg{Reply: store.Reply{Tag: c.Request.Tag, Op: c.Request.Op, Entry: entry}})
					}
				case fleet.SendCmd:
					inbox = append(inbox, peerReplies(now, peer, c)...)
				}
			}
		}
		if m.Ready() {
			return now - start
		}
	}
	return 10 * clock.Second
}

func peerReplies(now clock.Millis, peer *fleet.Model, c fleet.SendCmd) []fleet.Msg {
	var list []fleet.Msg
	if peer == nil {
		return nil
	}
	for _, cmd := range peer.Update(now, fleet.PeerMsg{From: "vm-1", Payload: c.Payload}) {
		if s, ok := cmd.(fleet.SendCmd); ok && s.To == "vm-1" {
			list = append(list, fleet.PeerMsg{From: "vm-2", Payload: s.Payload})
		}
	}
	return list
}

// TestNewVMIsNotReadyBeforeJoining guards against a new VM that has read the record
// but has received nothing from a peer, and so accepts requests as if it were the
// only VM and sends them to leaving upstreams.
func TestNewVMIsNotReadyBeforeJoining(t *testing.T) {
	twoVMs := []fleet.VM{{ID: "vm-1", Address: "a:1"}, {ID: "vm-2", Address: "b:1"}}
	peer := fleet.New(fleet.WithSelf(fleet.VM{ID: "vm-2", Address: "b:1", Incarnation: 1}), fleet.WithSeed(2))
	tests := map[string]struct {
		vmList       []fleet.VM
		peer         *fleet.Model
		minMs, maxMs clock.Millis
	}{
		"no reply from peer": {vmList: twoVMs, minMs: 3 * clock.Second, maxMs: 4 * clock.Second},
		"reply from peer":    {vmList: twoVMs, peer: peer, maxMs: 3*clock.Second - 1},
		"no other VM":        {vmList: twoVMs[:1], maxMs: 3*clock.Second - 1},
		"empty VM list":      {minMs: 0, maxMs: 4 * clock.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := timeUntilReady(t, tt.vmList, tt.peer); got < tt.minMs || got > tt.maxMs {
				t.Errorf("ready after %d ms, want %d to %d", got, tt.minMs, tt.maxMs)
			}
		})
	}
}
