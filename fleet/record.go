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
	pullTimeout    clock.Millis = 300 // allows several round trips between regions
	maxPullSources int          = 4   // peers tried in turn
)

// compressedRecord is the compressed encoding of a record, as sent between VMs. A
// VM forwards the bytes that it received unchanged, so that chunks from different
// VMs can be combined.
type compressedRecord struct {
	bytes []byte
	hash  uint64
}

// pullState is the state of a transfer of a newer record from peers.
type pullState struct {
	revision    uint64 // 0 if no transfer is in progress
	sources     []string
	requestedAt clock.Millis // time of the last request
	hash        uint64
	total       uint64
	received    []byte
}

// applyRecord puts a committed record in force if its revision is higher than that of the current one.
func (m *Model) applyRecord(now clock.Millis, rec preset.Record, b compressedRecord) bool {
	if rec.Revision <= m.record.Revision {
		return false
	}
	m.record, m.compressed = rec, b
	if m.pull.revision <= rec.Revision {
		m.pull = pullState{}
	}
	m.emit(RecordCmd{rec})
	m.emitEvent(timeline.Event{Kind: timeline.PresetApplied, Revision: rec.Revision, Detail: rec.InForce})
	m.startBurst(now)
	return true
}

// checkRevision starts a transfer if a peer has a newer record.
func (m *Model) checkRevision(now clock.Millis, from string, revision uint64) {
	if revision <= m.record.Revision || revision < m.pull.revision {
		return
	}
	if revision > m.pull.revision {
		m.pull = pullState{revision: revision}
	}
	if !slices.Contains(m.pull.sources, from) && len(m.pull.sources) < maxPullSources {
		m.pull.sources = append(m.pull.sources, from)
	}
	if m.pull.requestedAt == 0 {
		m.requestChunk(now)
	}
}

// retryPull sends the request to the next source after pullTimeout without an answer.
func (m *Model) retryPull(now clock.Millis) {
	p := &m.pull
	if p.revision == 0 || now < p.requestedAt+pullTimeout {
		return
	}
	if len(p.sources) > 1 {
		p.sources = append(p.sources[1:], p.sources[0])
	}
	m.requestChunk(now)
}

func (m *Model) requestChunk(now clock.Millis) {
	if len(m.pull.sources) == 0 {
		m.pull = pullState{}
		return
	}
	m.pull.requestedAt = now
	m.send(m.pull.sources[0], &message{kind: kindPull, sender: m.self.VM, chunk: chunk{offset: uint64(len(m.pull.received))}})
}

func (m *Model) handlePull(from string, msg *message) {
	if m.record.Revision == 0 || !m.compressRecord() {
		return
	}
	offset := min(int(msg.chunk.offset), len(m.compressed.bytes))
	end := min(offset+maxChunkBytes, len(m.compressed.bytes))
	m.send(from, &message{kind: kindChunk, chunk: chunk{
		hash: m.compressed.hash, total: uint64(len(m.compressed.bytes)), offset: uint64(offset), data: m.compressed.bytes[offset:end],
	}})
}

// compressRecord compresses the record, once per revision. It reports whether m.compressed is usable.
func (m *Model) compressRecord() bool {
	if m.compressed.bytes != nil {
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
	if _, err := w.Write(doc); err != nil || w.Close() != nil || buf.Len() > maxCompressedBytes {
		return false
	}
	m.compressed = compressedRecord{bytes: buf.Bytes(), hash: xxhash.Sum64(buf.Bytes())}
	return true
}

// handleChunk appends one chunk of the record. A chunk of a different encoding restarts the transfer.
func (m *Model) handleChunk(now clock.Millis, from string, msg *message) {
	p, c := &m.pull, msg.chunk
	if p.revision == 0 || msg.revision < p.revision {
		return
	}
	if c.hash != p.hash || c.total != p.total {
		p.hash, p.total, p.received = c.hash, c.total, nil
	}
	if c.offset != uint64(len(p.received)) || len(c.data) == 0 {
		return
	}
	p.received = append(p.received, c.data...)
	if uint64(len(p.received)) < p.total {
		p.sources = append([]string{from}, slices.DeleteFunc(p.sources, func(s string) bool { return s == from })...)
		m.requestChunk(now)
		return
	}
	compressed := p.received
	p.received = nil
	rec, err := decompressRecord(compressed, p.hash)
	if err == nil {
		m.applyRecord(now, rec, compressedRecord{bytes: compressed, hash: p.hash})
	}
}

func decompressRecord(b []byte, hash uint64) (preset.Record, error) {
	if xxhash.Sum64(b) != hash {
		return preset.Record{}, decodeErrorf(KindMalformed, "compressed record does not match its hash")
	}
	limited := io.LimitReader(flate.NewReader(bytes.NewReader(b)), preset.MaxRecordBytes+1)
	doc, err := io.ReadAll(limited)
	if err != nil {
		return preset.Record{}, decodeErrorf(KindMalformed, "decompress record: %w", err)
	}
	return preset.Decode(doc)
}
