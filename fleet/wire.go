package fleet

import (
	"encoding/binary"

	"google.golang.org/protobuf/encoding/protowire"

	"lentillink.example/lentillink/clock"
)

type messageKind uint8

const (
	kindPing    messageKind = iota + 1
	kindAck                 // answers a ping
	kindPingReq             // requests a ping of target
	kindGossip              // carries changes; not answered
	kindDigest              // requests the members in buckets that differ
	kindState               // answers a digest
	kindPull                // requests the record from an offset on
	kindChunk               // answers a pull
	kindLast    = kindChunk
)

// Size limits of one payload. The decoder rejects a payload that exceeds them.
const (
	maxPayloadBytes    = 64 << 10
	maxUpdates         = 256
	maxReports         = 256
	maxNameBytes       = 128
	maxChunkBytes      = 16 << 10
	maxCompressedBytes = 1 << 20
	buckets            = 64
)

// message is a decoded payload.
type message struct {
	kind     messageKind
	seq      uint64
	target   string // for kindPingReq
	sender   VM     // the sending VM; the identifier is empty if absent
	revision uint64 // revision of the sender's record
	updates  []VM
	reports  []wireReport
	digest   []uint32 // one per bucket, then one for reports
	chunk    chunk
}

// wireReport is a Report with the remaining time instead of an expiry time, because the clocks of VMs differ.
type wireReport struct {
	Report
	remaining clock.Millis
}

// chunk is a part of the compressed record. A pull request sets only offset.
type chunk struct {
	hash   uint64
	total  uint64
	offset uint64
	data   []byte
}

func (m *message) encode() []byte {
	b := make([]byte, 0, 128)
	b = appendUint(b, 1, uint64(m.kind))
	b = appendUint(b, 2, m.seq)
	b = appendString(b, 3, m.target)
	if m.sender.ID != "" {
		b = appendBytes(b, 4, m.sender.encode(nil))
	}
	b = appendUint(b, 5, m.revision)
	var scratch []byte
	for i := range m.updates {
		scratch = m.updates[i].encode(scratch[:0])
		b = appendBytes(b, 6, scratch)
	}
	for i := range m.reports {
		scratch = m.reports[i].encode(scratch[:0])
		b = appendBytes(b, 7, scratch)
	}
	if len(m.digest) > 0 {
		b = appendBytes(b, 8, encodeDigest(m.digest))
	}
	b = appendUint(b, 9, m.chunk.hash)
	b = appendUint(b, 10, m.chunk.total)
	b = appendUint(b, 11, m.chunk.offset)
	if len(m.chunk.data) > 0 {
		b = appendBytes(b, 12, m.chunk.data)
	}
	return b
}

func (v *VM) encode(b []byte) []byte {
	b = appendString(b, 1, v.ID)
	b = appendString(b, 2, v.Address)
	b = appendString(b, 3, v.DataCentre)
	b = appendUint(b, 4, v.Incarnation)
	b = appendUint(b, 5, uint64(v.Refutation))
	return appendUint(b, 6, uint64(v.State))
}

func (r *wireReport) encode(b []byte) []byte {
	b = appendString(b, 1, string(r.Upstream))
	b = appendUint(b, 2, protowire.EncodeBool(r.Leaving))
	b = appendUint(b, 3, r.Version)
	b = appendString(b, 4, r.Reporter)
	return appendUint(b, 5, uint64(r.remaining/clock.Second))
}

func encodeDigest(d []uint32) []byte {
	b := make([]byte, 0, 4*len(d))
	for _, v := range d {
		b = binary.LittleEndian.AppendUint32(b, v)
	}
	return b
}

func appendUint(b []byte, num protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, num, protowire.VarintType), v)
}

func appendString(b []byte, num protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, num, protowire.BytesType), s)
}

func appendBytes(b []byte, num protowire.Number, sub []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, num, protowire.BytesType), sub)
}
