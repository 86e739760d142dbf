package fleet

import (
	"bytes"
	"compress/flate"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/timeline"
)

const (
	pullTimeout clock.Millis = 300 // several round trips between regions
	maxSources  int          = 4   // peers to ask in turn
)

// blob is the compressed record as it travels between VMs. VMs pass on the
// bytes that they received, so that parts from different VMs fit together.
type blob struct {
	bytes []byte
	hash  uint64
}

// pulling is the transfer of a newer record from a peer.
type pulling struct {
	revision uint64 // 0 if there is no transfer
	sources  []string
	at       clock.Millis // time of the last request
	hash     uint64
	total    uint64
	got      []byte
}

// adopt puts a committed record in force if its revision is higher.
func (m *Model) adopt(now clock.Millis, rec preset.Record, b blob) bool {
	if rec.Revision <= m.record.Revision {
		return false
	}
	m.record, m.blob = rec, b
	if m.pull.revision <= rec.Revision {
		m.pull = pulling{}
	}
	m.emit(RecordCmd{rec})
	m.event(timeline.Event{Kind: timeline.PresetApplied, Revision: rec.Revision, Detail: rec.InForce})
	m.burst(now)
	return true
}

// noticeRevision starts a transfer when a peer has a newer record.
func (m *Model) noticeRevision(now clock.Millis, from string, revision uint64) {
	if revision <= m.record.Revision || revision < m.pull.revision {
		return
	}
	if revision > m.pull.revision {
		m.pull = pulling{revision: revision}
	}
	if !slices.Contains(m.pull.sources, from) && len(m.pull.sources) < maxSources {
		m.pull.sources = append(m.pull.sources, from)
	}
	if m.pull.at == 0 {
		m.requestChunk(now)
	}
}

// pullDue asks the next source after a request without an answer.
func (m *Model) pullDue(now clock.Millis) {
	p := &m.pull
	if p.revision == 0 || now < p.at+pullTimeout {
		return
	}
	if len(p.sources) > 1 {
		p.sources = append(p.sources[1:], p.sources[0])
	}
	m.requestChunk(now)
}

func (m *Model) requestChunk(now clock.Millis) {
	if len(m.pull.sources) == 0 {
		m.pull = pulling{}
		return
	}
	m.pull.at = now
	m.send(m.pull.sources[0], &message{kind: kindPull, self: m.self.VM, chunk: chunk{offset: uint64(len(m.pull.got))}})
}

func (m *Model) answerPull(from string, msg *message) {
	if m.record.Revision == 0 || !m.pack() {
		return
	}
	offset := min(int(msg.chunk.offset), len(m.blob.bytes))
	end := min(offset+maxChunkBytes, len(m.blob.bytes))
	m.send(from, &message{kind: kindChunk, chunk: chunk{
		hash: m.blob.hash, total: uint64(len(m.blob.bytes)), offset: uint64(offset), data: m.blob.bytes[offset:end],
	}})
}

// pack compresses the record once per revision.
func (m *Model) pack() bool {
	if m.blob.bytes != nil {
		return true
	}
	doc, err := preset.Encode(m.record)
	if err != nil {
		return false
	}
	var buf bytes.Buffer
	w, err := flate.NewWriter(&buf, flate.BestSpeed)
	if err != nil {
		return false
	}
	if _, err := w.Write(doc); err != nil || w.Close() != nil || buf.Len() > maxBlobBytes {
		return false
	}
	m.blob = blob{bytes: buf.Bytes(), hash: xxhash.Sum64(buf.Bytes())}
	return true
}

// takeChunk appends one part. A part of another blob starts the transfer again.
func (m *Model) takeChunk(now clock.Millis, from string, msg *message) {
	p, c := &m.pull, msg.chunk
	if p.revision == 0 || msg.revision < p.revision {
		return
	}
	if c.hash != p.hash || c.total != p.total {
		p.hash, p.total, p.got = c.hash, c.total, nil
	}
	if c.offset != uint64(len(p.got)) || len(c.data) == 0 {
		return
	}
	p.got = append(p.got, c.data...)
	if uint64(len(p.got)) < p.total {
		p.sources = append([]string{from}, slices.DeleteFunc(p.sources, func(s string) bool { return s == from })...)
		m.requestChunk(now)
		return
	}
	got := p.got
	p.got = nil
	rec, err := unpack(got, p.hash)
	if err == nil {
		m.adopt(now, rec, blob{bytes: got, hash: p.hash})
	}
}

func unpack(b []byte, hash uint64) (preset.Record, error) {
	if xxhash.Sum64(b) != hash {
		return preset.Record{}, refuse(KindMalformed, "record has another hash")
	}
	limit := io.LimitReader(flate.NewReader(bytes.NewReader(b)), preset.MaxRecordBytes+1)
	doc, err := io.ReadAll(limit)
	if err != nil {
		return preset.Record{}, refuse(KindMalformed, "record: %w", err)
	}
	return preset.Decode(doc)
}
