package fleet

import (
	"encoding/binary"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/upstream"
)

// field is one decoded protobuf field. Exactly one of num64 and bytes is meaningful.
type field struct {
	num   protowire.Number
	num64 uint64
	bytes []byte
}

// eachField calls use for every varint and bytes field of b. Other wire types are refused.
func eachField(b []byte, use func(field) error) error {
	for len(b) > 0 {
		num, typ, n := protowire.ConsumeTag(b)
		if n < 0 {
			return refuse(KindMalformed, "bad tag")
		}
		b = b[n:]
		f := field{num: num}
		switch typ {
		case protowire.VarintType:
			f.num64, n = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			f.bytes, n = protowire.ConsumeBytes(b)
		default:
			return refuse(KindMalformed, "field %d has wire type %d", num, typ)
		}
		if n < 0 {
			return refuse(KindMalformed, "field %d is cut", num)
		}
		b = b[n:]
		if err := use(f); err != nil {
			return err
		}
	}
	return nil
}

// CheckPayload reports whether a payload decodes within the bounds.
func CheckPayload(payload []byte) error {
	_, err := decode(payload)
	return err
}

func decode(b []byte) (*message, error) {
	if len(b) > maxPayloadBytes {
		return nil, refuse(KindTooLarge, "payload has %d bytes", len(b))
	}
	m := &message{}
	if err := eachField(b, m.setField); err != nil {
		return nil, err
	}
	if m.kind == 0 || m.kind > kindLast {
		return nil, refuse(KindMalformed, "unknown kind %d", m.kind)
	}
	return m, nil
}

func (m *message) setField(f field) (err error) {
	switch f.num {
	case 1:
		m.kind = kind(min(f.num64, math.MaxUint8))
	case 2:
		m.seq = f.num64
	case 3:
		m.target, err = name(f)
	case 4:
		m.self, err = decodeVM(f.bytes)
	case 5:
		m.revision = f.num64
	case 6:
		return m.addUpdate(f.bytes)
	case 7:
		return m.addReport(f.bytes)
	case 8:
		m.digest, err = decodeDigest(f.bytes)
	case 9:
		m.chunk.hash = f.num64
	case 10:
		m.chunk.total, err = bounded(f, maxBlobBytes)
	case 11:
		m.chunk.offset, err = bounded(f, maxBlobBytes)
	case 12:
		if len(f.bytes) > maxChunkBytes {
			return refuse(KindTooLarge, "chunk has %d bytes", len(f.bytes))
		}
		m.chunk.data = f.bytes
	}
	return err
}

func (m *message) addUpdate(b []byte) error {
	if len(m.updates) == maxUpdates {
		return refuse(KindTooLarge, "more than %d updates", maxUpdates)
	}
	v, err := decodeVM(b)
	m.updates = append(m.updates, v)
	return err
}

func (m *message) addReport(b []byte) error {
	if len(m.reports) == maxReports {
		return refuse(KindTooLarge, "more than %d reports", maxReports)
	}
	r, err := decodeReport(b)
	m.reports = append(m.reports, r)
	return err
}

func decodeVM(b []byte) (VM, error) {
	var v VM
	err := eachField(b, func(f field) (err error) {
		var n uint64
		switch f.num {
		case 1:
			v.ID, err = name(f)
		case 2:
			v.Address, err = name(f)
		case 3:
			v.DataCentre, err = name(f)
		case 4:
			v.Incarnation = f.num64
		case 5:
			n, err = bounded(f, math.MaxUint32)
			v.Refutation = uint32(n)
		case 6:
			n, err = bounded(f, uint64(Dead))
			v.State = State(n)
		}
		return err
	})
	if err == nil && v.ID == "" {
		err = refuse(KindMalformed, "VM without identifier")
	}
	return v, err
}

func decodeReport(b []byte) (wireReport, error) {
	var r wireReport
	err := eachField(b, func(f field) (err error) {
		var s string
		var n uint64
		switch f.num {
		case 1:
			s, err = name(f)
			r.Upstream = upstream.ID(s)
		case 2:
			r.Leaving = protowire.DecodeBool(f.num64)
		case 3:
			r.Version = f.num64
		case 4:
			r.Reporter, err = name(f)
		case 5:
			n, err = bounded(f, uint64(reportTTL/clock.Second))
			r.remaining = clock.Millis(n) * clock.Second
		}
		return err
	})
	if err == nil && r.Upstream == "" {
		err = refuse(KindMalformed, "report without upstream")
	}
	return r, err
}

func decodeDigest(b []byte) ([]uint32, error) {
	if len(b) != 4*(buckets+1) {
		return nil, refuse(KindMalformed, "digest has %d bytes", len(b))
	}
	d := make([]uint32, buckets+1)
	for i := range d {
		d[i] = binary.LittleEndian.Uint32(b[4*i:])
	}
	return d, nil
}

func name(f field) (string, error) {
	if len(f.bytes) > maxNameBytes {
		return "", refuse(KindTooLarge, "field %d has %d bytes", f.num, len(f.bytes))
	}
	return string(f.bytes), nil
}

func bounded(f field, limit uint64) (uint64, error) {
	if f.num64 > limit {
		return 0, refuse(KindTooLarge, "field %d is %d, at most %d", f.num, f.num64, limit)
	}
	return f.num64, nil
}
