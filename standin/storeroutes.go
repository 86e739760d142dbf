package standin

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/store/httpstore"
)

type storeRoute struct {
	name    string
	isWrite bool
	serve   func(*Store, *fasthttp.RequestCtx)
}

var storeRoutes = map[string]storeRoute{
	"GET /kv":       {"get", false, (*Store).serveGet},
	"PUT /kv":       {"swap", true, (*Store).serveSwap},
	"DELETE /kv":    {"delete", true, (*Store).serveDelete},
	"GET /watch":    {"watch", false, (*Store).serveWatch},
	"POST /lease":   {"grant", true, (*Store).serveGrant},
	"PUT /lease":    {"keep_alive", true, (*Store).serveKeepAlive},
	"DELETE /lease": {"revoke", true, (*Store).serveRevoke},
}

func keyArg(ctx *fasthttp.RequestCtx) (string, bool) {
	k := string(ctx.QueryArgs().Peek("key"))
	if k == "" {
		writeError(ctx, fasthttp.StatusBadRequest, "key is empty, want a name")
	}
	return k, k != ""
}

func entryDoc(e store.Entry) httpstore.EntryDoc {
	return httpstore.EntryDoc{Key: e.Key, Value: e.Value, Revision: e.Revision}
}

// replyToWrite replies to a write with its result. The lose_answers fault drops
// the reply after the write was applied.
func (s *Store) replyToWrite(ctx *fasthttp.RequestCtx, err error, doc any) {
	switch {
	case errors.Is(err, errConflict), errors.Is(err, errLeaseExpired):
		writeError(ctx, fasthttp.StatusConflict, "%v", err)
	case err != nil:
		writeError(ctx, fasthttp.StatusBadRequest, "%v", err)
	case s.dropsReply():
		dropReply(ctx)
	default:
		writeReply(ctx, fasthttp.StatusOK, doc)
	}
}

func (s *Store) serveGet(ctx *fasthttp.RequestCtx) {
	k, ok := keyArg(ctx)
	if !ok {
		return
	}
	e, _ := s.get(k)
	writeReply(ctx, fasthttp.StatusOK, entryDoc(e))
}

func (s *Store) serveSwap(ctx *fasthttp.RequestCtx) {
	k, ok := keyArg(ctx)
	if !ok {
		return
	}
	expect, ok := numberArg(ctx, "expect")
	if !ok {
		return
	}
	var doc httpstore.ValueDoc
	if err := decodeStrict(ctx.PostBody(), &doc); err != nil {
		writeError(ctx, fasthttp.StatusBadRequest, "body is not a value: %v", err)
		return
	}
	if len(doc.Value) > MaxValueBytes {
		writeError(ctx, fasthttp.StatusRequestEntityTooLarge, "value has %d bytes, want at most %d", len(doc.Value), MaxValueBytes)
		return
	}
	e, err := s.put(k, doc.Value, expect)
	e.Value = nil
	s.replyToWrite(ctx, err, entryDoc(e))
}

func (s *Store) serveDelete(ctx *fasthttp.RequestCtx) {
	k, ok := keyArg(ctx)
	if !ok {
		return
	}
	expect, ok := numberArg(ctx, "expect")
	if !ok {
		return
	}
	s.replyToWrite(ctx, s.remove(k, expect), httpstore.EntryDoc{Key: k})
}

func (s *Store) serveWatch(ctx *fasthttp.RequestCtx) {
	k, ok := keyArg(ctx)
	if !ok {
		return
	}
	after, ok := numberArg(ctx, "after")
	if !ok {
		return
	}
	waitMs, ok := numberArg(ctx, "wait_ms")
	if !ok {
		return
	}
	deadline := time.Now().Add(millis(float64(min(waitMs, maxDelayMs))))
	for {
		e, changed := s.get(k)
		remaining := time.Until(deadline)
		if e.Revision > after || remaining <= 0 || s.ctx.Err() != nil {
			writeReply(ctx, fasthttp.StatusOK, entryDoc(e))
			return
		}
		s.sleep(remaining, changed)
	}
}

func (s *Store) serveGrant(ctx *fasthttp.RequestCtx) {
	ttlMs, ok := numberArg(ctx, "ttl_ms")
	if !ok {
		return
	}
	if ttlMs == 0 || ttlMs > maxDelayMs {
		writeError(ctx, fasthttp.StatusBadRequest, "ttl_ms is %d, want 1 to %d", ttlMs, maxDelayMs)
		return
	}
	s.replyToWrite(ctx, nil, httpstore.LeaseDoc{ID: s.grant(millis(float64(ttlMs)))})
}

func (s *Store) serveKeepAlive(ctx *fasthttp.RequestCtx) { s.serveUpdateLease(ctx, false) }

func (s *Store) serveRevoke(ctx *fasthttp.RequestCtx) { s.serveUpdateLease(ctx, true) }

func (s *Store) serveUpdateLease(ctx *fasthttp.RequestCtx, revoke bool) {
	id, ok := numberArg(ctx, "id")
	if !ok {
		return
	}
	s.replyToWrite(ctx, s.updateLease(store.LeaseID(id), revoke), httpstore.LeaseDoc{ID: store.LeaseID(id)})
}
