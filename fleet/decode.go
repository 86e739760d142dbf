package fleet

import (
	"encoding/binary"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/upstream"
)

// field is one decoded protobuf field. Only one of varint and bytes is set, according to the wire type.
type field struct {
	num    protowire.Number
	varint uint64
	bytes  []byte
}

// forEachField calls visit for every varint and bytes field of b. It rejects other wire types.
func forEachField(b []byte, visit func(field) error) error {
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return decodeErrorf(KindMalformed, "invalid field tag")
		}
		b = b[n:]
		f := field{num: num}
		switch typ {
		case protowire.VarintType:
			f.varint, n = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			f.bytes, n = protowire.ConsumeBytes(b)
		default:
			return decodeErrorf(KindMalformed, "field %d has wire type %d, want varint or bytes", num, typ)
		}
		if n < 0 {
			return decodeErrorf(KindMalformed, "field %d has a truncated or invalid value", num)
		}
		b = b[n:]
		if err := visit(f); err != nil {
			return err
		}
	}
	return nil
}

// CheckPayload returns an error if the payload is malformed or exceeds the size limits.
func CheckPayload(payload []byte) error {
	_, err := decode(payload)
	return err
}

func decode(b []byte) (*message, error) {
	if len(b) > maxPayloadBytes {
		return nil, decodeErrorf(KindTooLarge, "payload of %d bytes exceeds the limit", len(b))
	}
	m := &message{}
	if err := forEachField(b, m.setField); err != nil {
		return nil, err
	}
	if m.kind == 0 || m.kind > kindLast {
		return nil, decodeErrorf(KindMalformed, "unknown message kind %d", m.kind)
	}
	return m, nil
}

func (m *message) setField(f field) (err error) {
	switch f.num {
	case 1:
		m.kind = messageKind(min(f.varint, math.MaxUint8))
	case 2:
		m.seq = f.varint
	case 3:
		m.target, err = decodeName(f)
	case 4:
		m.sender, err = decodeVM(f.bytes)
	case 5:
		m.revision = f.varint
	case 6:
		return m.addUpdate(f.bytes)
	case 7:
		return m.addReport(f.bytes)
	case 8:
		m.digest, err = decodeDigest(f.bytes)
	case 9:
		m.chunk.hash = f.varint
	case 10:
		m.chunk.total, err = decodeBounded(f, maxCompressedBytes)
	case 11:
		m.chunk.offset, err = decodeBounded(f, maxCompressedBytes)
	case 12:
		if len(f.bytes) > maxChunkBytes {
			return decodeErrorf(KindTooLarge, "chunk of %d bytes exceeds the limit", len(f.bytes))
		}
		m.chunk.data = f.bytes
	}
	return err
}

func (m *message) addUpdate(b []byte) error {
	if len(m.updates) == maxUpdates {
		return decodeErrorf(KindTooLarge, "message has more than %d updates", maxUpdates)
	}
	v, err := decodeVM(b)
	m.updates = append(m.updates, v)
	return err
}

func (m *message) addReport(b []byte) error {
	if len(m.reports) == maxReports {
		return decodeErrorf(KindTooLarge, "message has more than %d reports", maxReports)
	}
	r, err := decodeReport(b)
	m.reports = append(m.reports, r)
	return err
}

func decodeVM(b []byte) (VM, error) {
	var v VM
	err := forEachField(b, func(f field) (err error) {
		var n uint64
		switch f.num {
		case 1:
			v.ID, err = decodeName(f)
		case 2:
			v.Address, err = decodeName(f)
		case 3:
			v.DataCentre, err = decodeName(f)
		case 4:
			v.Incarnation = f.varint
		case 5:
			n, err = decodeBounded(f, math.MaxUint32)
			v.Refutation = uint32(n)
		case 6:
			n, err = decodeBounded(f, uint64(Dead))
			v.State = State(n)
		}
		return err
	})
	if err == nil && v.ID == "" {
		err = decodeErrorf(KindMalformed, "VM has no identifier")
	}
	return v, err
}

func decodeReport(b []byte) (wireReport, error) {
	var r wireReport
	err := forEachField(b, func(f field) (err error) {
		var s string
		var n uint64
		switch f.num {
		case 1:
			s, err = decodeName(f)
			r.Upstream = upstream.ID(s)
		case 2:
			r.Leaving = protowire.DecodeBool(f.varint)
		case 3:
			r.Version = f.varint
		case 4:
			r.Reporter, err = decodeName(f)
		case 5:
			n, err = decodeBounded(f, uint64(reportTTL/clock.Second))
			r.remaining = clock.Millis(n) * clock.Second
		}
		return err
	})
	if err == nil && r.Upstream == "" {
		err = decodeErrorf(KindMalformed, "report has no upstream identifier")
	}
	return r, err
}

func decodeDigest(b []byte) ([]uint32, error) {
	if len(b) != 4*(buckets+1) {
		return nil, decodeErrorf(KindMalformed, "digest has an invalid length of %d bytes", len(b))
	}
	d := make([]uint32, buckets+1)
	for i := range d {
		d[i] = binary.LittleEndian.Uint32(b[4*i:])
	}
	return d, nil
}

func decodeName(f field) (string, error) {
	if len(f.bytes) > maxNameBytes {
		return "", decodeErrorf(KindTooLarge, "field %d with a string of %d bytes exceeds the limit", f.num, len(f.bytes))
	}
	return string(f.bytes), nil
}

func decodeBounded(f field, limit uint64) (uint64, error) {
	if f.varint > limit {
		return 0, decodeErrorf(KindTooLarge, "field %d is %d, want at most %d", f.num, f.varint, limit)
	}
	return f.varint, nil
}
