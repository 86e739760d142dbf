package order

import (
	"google.golang.org/protobuf/encoding/protowire"

	"lentillink.example/lentillink/clock"
)

// ClaimState is the state of a claim.
type ClaimState uint8

// The states of a claim. A released claim is stored only to override a record of
// the same claim in an older segment.
const (
	ClaimHeld ClaimState = iota + 1
	ClaimDone
	ClaimReleased
)

// Claim records that the holder of Token may send the order with the given ID.
type Claim struct {
	ID    Hash
	Token Hash
	State ClaimState
}

// SegmentRef identifies a sealed segment and gives the newest issue time of its claims.
type SegmentRef struct {
	Number       uint64
	NewestIssued clock.Millis
}

// Head is the mutable record of one partition. A sealed segment has the same
// format, without Segments.
type Head struct {
	Claims       []Claim
	NewestIssued clock.Millis // newest issue time among Claims
	NextSegment  uint64       // lowest number for a new segment
	Segments     []SegmentRef // oldest first
	// LowWatermark is the newest issue time in any dropped segment. An id issued at
	// or before it may have been claimed there, so it is refused regardless of the
	// owner's clock. LowWatermark never decreases.
	LowWatermark clock.Millis
}

const (
	fieldClaim protowire.Number = iota + 1
	fieldNewestIssued
	fieldNextSegment
	fieldSegmentNumber
	fieldSegmentNewestIssued
	fieldLowWatermark
)

const (
	claimSize        = 2*HashSize + 1
	encodedClaimSize = claimSize + 2 // plus tag and length
)

// Encode returns the head in protobuf wire format.
func (h Head) Encode() []byte {
	b := make([]byte, 0, len(h.Claims)*encodedClaimSize+len(h.Segments)*16+24)
	for _, c := range h.Claims {
		b = protowire.AppendTag(b, fieldClaim, protowire.BytesType)
		b = protowire.AppendVarint(b, claimSize)
		b = append(b, c.ID[:]...)
		b = append(b, c.Token[:]...)
		b = append(b, byte(c.State))
	}
	b = appendUint(b, fieldNewestIssued, uint64(h.NewestIssued))
	b = appendUint(b, fieldNextSegment, h.NextSegment)
	for _, s := range h.Segments {
		b = appendUint(b, fieldSegmentNumber, s.Number)
		b = appendUint(b, fieldSegmentNewestIssued, uint64(s.NewestIssued))
	}
	if h.LowWatermark != 0 {
		b = appendUint(b, fieldLowWatermark, uint64(h.LowWatermark))
	}
	return b
}

func appendUint(b []byte, n protowire.Number, v uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, n, protowire.VarintType), v)
}

// DecodeHead decodes a head. It rejects any record with unknown or malformed
// content, so that a damaged head is never overwritten with fewer claims.
func DecodeHead(b []byte) (Head, error) {
	var h Head
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return Head{}, newDecodeError(n)
		}
		b = b[n:]
		var err error
		switch {
		case num == fieldClaim && typ == protowire.BytesType:
			b, err = h.decodeClaim(b)
		case num > fieldClaim && num <= fieldLowWatermark && typ == protowire.VarintType:
			b, err = h.decodeUint(num, b)
		default:
			err = newError("decode head", KindCorrupt, nil)
		}
		if err != nil {
			return Head{}, err
		}
	}
	return h, nil
}

func (h *Head) decodeClaim(b []byte) ([]byte, error) {
	v, n := protowire.ConsumeBytes(b)
	if n < 0 {
		return nil, newDecodeError(n)
	}
	if len(v) != claimSize {
		return nil, newError("decode claim", KindCorrupt, nil)
	}
	c := Claim{ID: Hash(v[:HashSize]), Token: Hash(v[HashSize : 2*HashSize]), State: ClaimState(v[2*HashSize])}
	if c.State < ClaimHeld || c.State > ClaimReleased {
		return nil, newError("decode claim", KindCorrupt, nil)
	}
	h.Claims = append(h.Claims, c)
	return b[n:], nil
}

func (h *Head) decodeUint(num protowire.Number, b []byte) ([]byte, error) {
	v, n := protowire.ConsumeVarint(b)
	if n < 0 {
		return nil, newDecodeError(n)
	}
	switch num {
	case fieldNewestIssued:
		h.NewestIssued = clock.Millis(v)
	case fieldNextSegment:
		h.NextSegment = v
	case fieldSegmentNumber:
		h.Segments = append(h.Segments, SegmentRef{Number: v})
	case fieldSegmentNewestIssued:
		if len(h.Segments) == 0 {
			return nil, newError("decode segment", KindCorrupt, nil)
		}
		h.Segments[len(h.Segments)-1].NewestIssued = clock.Millis(v)
	case fieldLowWatermark:
		h.LowWatermark = clock.Millis(v)
	}
	return b[n:], nil
}

func newDecodeError(n int) error {
	return newError("decode head", KindCorrupt, protowire.ParseError(n))
}
