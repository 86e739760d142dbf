package query

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/upstream"
)

// slotBits is the part of a sequence number that names the slot. It bounds
// the open attempts of a VM to 16 million.
const slotBits = 24

type tryKind uint8

const (
	tryNeeded tryKind = iota
	tryHedge
	tryRetry
	tryRestart
	tryReask
)

// try is one open attempt.
type try struct {
	seq     uint64 // 0 for a free slot
	q       *openQuery
	group   int
	up      upstream.ID
	kind    tryKind
	version uint64
	sentAt  clock.Millis
	// cancelled is the last attempt in this slot that the model cancelled.
	cancelled uint64
}

// slots holds the open attempts. A sequence number contains its slot, so
// finding an attempt takes no map.
type slots struct {
	list   []try
	free   []uint32
	issued uint64
}

func (s *slots) add(t try) *try {
	var i uint32
	if n := len(s.free); n > 0 {
		i = s.free[n-1]
		s.free = s.free[:n-1]
	} else {
		i = uint32(len(s.list))
		s.list = append(s.list, try{})
	}
	s.issued++
	t.seq = s.issued<<slotBits | uint64(i)
	t.cancelled = s.list[i].cancelled
	s.list[i] = t
	return &s.list[i]
}

func (s *slots) get(seq uint64) *try {
	i := seq & (1<<slotBits - 1)
	if seq == 0 || i >= uint64(len(s.list)) || s.list[i].seq != seq {
		return nil
	}
	return &s.list[i]
}

// wasIssued reports whether seq may have been issued before.
func (s *slots) wasIssued(seq uint64) bool {
	n := seq >> slotBits
	return n > 0 && n <= s.issued && seq&(1<<slotBits-1) < uint64(len(s.list))
}

func (s *slots) remove(seq uint64) {
	i := uint32(seq & (1<<slotBits - 1))
	s.list[i] = try{cancelled: s.list[i].cancelled}
	s.free = append(s.free, i)
}

// cancel removes an attempt and remembers that its reply may still come.
func (s *slots) cancel(seq uint64) {
	s.get(seq).cancelled = seq
	s.remove(seq)
}

// wasCancelled reports whether seq is the last cancelled attempt of its slot.
func (s *slots) wasCancelled(seq uint64) bool {
	i := seq & (1<<slotBits - 1)
	return i < uint64(len(s.list)) && s.list[i].cancelled == seq
}
