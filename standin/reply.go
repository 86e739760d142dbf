package standin

import (
	"time"

	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/upstream"
	"lentillink.example/lentillink/upstream/httpup"
)

// replyFault is a fault of one reply.
type replyFault uint8

const (
	replyIntact replyFault = iota
	replyWrongAttempt
	replyTruncated
	replyDuplicated
)

// sendReply writes a reply, with the faults that were chosen for it.
func (u *Upstream) sendReply(ctx *fasthttp.RequestCtx, doc httpup.ReplyDoc) {
	kind, delay, other := u.chooseReplyFault(doc)
	u.sleep(delay, nil)
	switch kind {
	case replyWrongAttempt:
		writeReply(ctx, fasthttp.StatusOK, other)
	case replyTruncated:
		text := rawReply(doc)
		writeRaw(ctx, text[:len(text)-len(text)/4], false)
	case replyDuplicated:
		text := rawReply(doc)
		writeRaw(ctx, append(text, text...), true)
	default:
		writeReply(ctx, fasthttp.StatusOK, doc)
	}
}

func (u *Upstream) chooseReplyFault(doc httpup.ReplyDoc) (kind replyFault, delay time.Duration, other httpup.ReplyDoc) {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	if u.rng.Float64() < u.behaviour.delayedShare {
		delay = u.behaviour.replyDelay
	}
	draw := u.rng.Float64()
	switch {
	case draw < u.behaviour.wrongAttemptShare:
		kind, other = replyWrongAttempt, u.otherReply(doc)
	case draw < u.behaviour.wrongAttemptShare+u.behaviour.truncatedShare:
		kind = replyTruncated
	case draw < u.behaviour.wrongAttemptShare+u.behaviour.truncatedShare+u.behaviour.duplicatedShare:
		kind = replyDuplicated
	}
	u.lastReply = &doc
	return kind, delay, other
}

// otherReply returns a reply that names another attempt: the last one sent, or
// doc with the next sequence number. The caller holds u.dataMu.
func (u *Upstream) otherReply(doc httpup.ReplyDoc) httpup.ReplyDoc {
	if u.lastReply != nil && u.lastReply.Attempt != doc.Attempt {
		return *u.lastReply
	}
	doc.Attempt.Seq++
	return doc
}

func (j *job) requestCancel() { j.once.Do(func() { close(j.cancel) }) }

func (j *job) cancelled() bool {
	select {
	case <-j.cancel:
		return true
	default:
		return false
	}
}

func (u *Upstream) registerJob(id attempt.ID) *job {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	j := &job{cancel: make(chan struct{})}
	u.jobs[id] = j
	return j
}

func (u *Upstream) unregisterJob(id attempt.ID, j *job) {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	if u.jobs[id] == j {
		delete(u.jobs, id)
	}
}

func (u *Upstream) serveCancel(ctx *fasthttp.RequestCtx) {
	var doc httpup.CancelDoc
	if err := decodeStrict(ctx.PostBody(), &doc); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "body is not a cancellation: %v", err)
		return
	}
	u.dataMu.Lock()
	j, found := u.jobs[doc.Attempt]
	u.dataMu.Unlock()
	if found {
		j.requestCancel()
	}
	writeReply(ctx, fasthttp.StatusOK, httpup.CancelledDoc{Attempt: doc.Attempt, Found: found})
}

// reportLoad returns the load that the load endpoint reports. The faults
// load_lag_ms and load_lies make it stale or always healthy.
func (u *Upstream) reportLoad(now time.Time) upstream.Load {
	running, queued := u.queue.lengths()
	connections := u.Connections().Open
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	if u.behaviour.alwaysHealthy {
		return upstream.Load{Healthy: true, HeldVersions: u.behaviour.heldVersions}
	}
	if u.loadReportedAt.IsZero() || now.Sub(u.loadReportedAt) >= u.behaviour.loadLag {
		u.loadReportedAt = now
		u.reportedLoad = upstream.Load{
			Healthy: !u.behaviour.leaving, Leaving: u.behaviour.leaving, Cold: now.Before(u.behaviour.coldUntil),
			Running: running, Queued: queued, Connections: connections, HeldVersions: u.behaviour.heldVersions,
		}
	}
	return u.reportedLoad
}
