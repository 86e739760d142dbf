package standin

import (
	"time"

	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/upstream"
	"lentillink.example/lentillink/upstream/httpup"
)

// replyFault is how one reply is broken.
type replyFault uint8

const (
	replyWhole replyFault = iota
	replyCrossed
	replyCut
	replyDoubled
)

// reply writes a reply, or what a reply fault makes of it.
func (u *Upstream) reply(ctx *fasthttp.RequestCtx, doc httpup.ReplyDoc) {
	broken, late, other := u.drawFault(doc)
	u.sleep(late, nil)
	switch broken {
	case replyCrossed:
		answer(ctx, fasthttp.StatusOK, other)
	case replyCut:
		text := rawAnswer(doc)
		writeRaw(ctx, text[:len(text)-len(text)/4], false)
	case replyDoubled:
		text := rawAnswer(doc)
		writeRaw(ctx, append(text, text...), true)
	default:
		answer(ctx, fasthttp.StatusOK, doc)
	}
}

func (u *Upstream) drawFault(doc httpup.ReplyDoc) (broken replyFault, late time.Duration, other httpup.ReplyDoc) {
	u.data.Lock()
	defer u.data.Unlock()
	if u.rng.Float64() < u.b.lateShare {
		late = u.b.late
	}
	draw := u.rng.Float64()
	switch {
	case draw < u.b.crossedShare:
		broken, other = replyCrossed, u.otherReply(doc)
	case draw < u.b.crossedShare+u.b.cutShare:
		broken = replyCut
	case draw < u.b.crossedShare+u.b.cutShare+u.b.doubledShare:
		broken = replyDoubled
	}
	u.prior = &doc
	return broken, late, other
}

// otherReply returns the reply to another attempt. The caller holds u.data.
func (u *Upstream) otherReply(doc httpup.ReplyDoc) httpup.ReplyDoc {
	if u.prior != nil && u.prior.Attempt != doc.Attempt {
		return *u.prior
	}
	doc.Attempt.Seq++
	return doc
}

func (j *job) stop() { j.once.Do(func() { close(j.cancel) }) }

func (j *job) cancelled() bool {
	select {
	case <-j.cancel:
		return true
	default:
		return false
	}
}

func (u *Upstream) register(id attempt.ID) *job {
	u.data.Lock()
	defer u.data.Unlock()
	j := &job{cancel: make(chan struct{})}
	u.open[id] = j
	return j
}

func (u *Upstream) unregister(id attempt.ID, j *job) {
	u.data.Lock()
	defer u.data.Unlock()
	if u.open[id] == j {
		delete(u.open, id)
	}
}

func (u *Upstream) serveCancel(ctx *fasthttp.RequestCtx) {
	var doc httpup.CancelDoc
	if err := decodeStrict(ctx.PostBody(), &doc); err != nil {
		answerError(ctx, fasthttp.StatusBadRequest, "body is not a cancellation: %v", err)
		return
	}
	u.data.Lock()
	j, found := u.open[doc.Attempt]
	u.data.Unlock()
	if found {
		j.stop()
	}
	answer(ctx, fasthttp.StatusOK, httpup.CancelledDoc{Attempt: doc.Attempt, Found: found})
}

// shownLoad returns what the load endpoint tells, which may lag or lie.
func (u *Upstream) shownLoad(now time.Time) upstream.Load {
	running, queued := u.slots.lengths()
	connections := u.Connections().Open
	u.data.Lock()
	defer u.data.Unlock()
	if u.b.loadLies {
		return upstream.Load{Healthy: true, HeldVersions: u.b.held}
	}
	if u.shownAt.IsZero() || now.Sub(u.shownAt) >= u.b.loadLag {
		u.shownAt = now
		u.load = upstream.Load{
			Healthy: !u.b.leaving, Leaving: u.b.leaving, Cold: now.Before(u.b.coldUntil),
			Running: running, Queued: queued, Connections: connections, HeldVersions: u.b.held,
		}
	}
	return u.load
}
