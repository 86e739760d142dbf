package query

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/upstream"
)

// slotBits is the number of low bits of a sequence number that hold the slot
// index. It limits a VM to 16 million open attempts.
const slotBits = 24

type attemptKind uint8

const (
	kindFirst attemptKind = iota
	kindHedge
	kindRetry
	kindRestart
	kindEpochRetry
)

// openAttempt is an attempt that was sent and has neither ended nor been cancelled.
type openAttempt struct {
	seq     uint64 // 0 if the slot is free
	q       *openQuery
	group   int
	up      upstream.ID
	kind    attemptKind
	version uint64
	sentAt  clock.Millis
	// lastCancelled is the sequence number of the last attempt in this slot
	// that the model cancelled.
	lastCancelled uint64
}

// attemptTable holds the open attempts. A sequence number contains its slot
// index, so a lookup needs no map.
type attemptTable struct {
	slots  []openAttempt
	free   []uint32
	issued uint64
}

func (s *attemptTable) add(a openAttempt) *openAttempt {
	var i uint32
	if n := len(s.free); n > 0 {
		i = s.free[n-1]
		s.free = s.free[:n-1]
	} else {
		i = uint32(len(s.slots))
		s.slots = append(s.slots, openAttempt{})
	}
	s.issued++
	a.seq = s.issued<<slotBits | uint64(i)
	a.lastCancelled = s.slots[i].lastCancelled
	s.slots[i] = a
	return &s.slots[i]
}

func (s *attemptTable) get(seq uint64) *openAttempt {
	i := seq & (1<<slotBits - 1)
	if seq == 0 || i >= uint64(len(s.slots)) || s.slots[i].seq != seq {
		return nil
	}
	return &s.slots[i]
}

// wasIssued reports whether seq may have been issued by this table.
func (s *attemptTable) wasIssued(seq uint64) bool {
	n := seq >> slotBits
	return n > 0 && n <= s.issued && seq&(1<<slotBits-1) < uint64(len(s.slots))
}

func (s *attemptTable) remove(seq uint64) {
	i := uint32(seq & (1<<slotBits - 1))
	s.slots[i] = openAttempt{lastCancelled: s.slots[i].lastCancelled}
	s.free = append(s.free, i)
}

// cancel removes an attempt and records it in its slot, because its reply may still arrive.
func (s *attemptTable) cancel(seq uint64) {
	s.get(seq).lastCancelled = seq
	s.remove(seq)
}

// wasCancelled reports whether seq is the last cancelled attempt of its slot.
func (s *attemptTable) wasCancelled(seq uint64) bool {
	i := seq & (1<<slotBits - 1)
	return i < uint64(len(s.slots)) && s.slots[i].lastCancelled == seq
}
