package standin

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/store/httpstore"
)

type storeRoute struct {
	name   string
	writes bool
	serve  func(*Store, *fasthttp.RequestCtx)
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

func key(ctx *fasthttp.RequestCtx) (string, bool) {
	k := string(ctx.QueryArgs().Peek("key"))
	if k == "" {
		answerError(ctx, fasthttp.StatusBadRequest, "key is empty, want a name")
	}
	return k, k != ""
}

func entryDoc(e store.Entry) httpstore.EntryDoc {
	return httpstore.EntryDoc{Key: e.Key, Value: e.Value, Revision: e.Revision}
}

// answerWrite answers a write: lost after it took effect, a conflict, or done.
func (s *Store) answerWrite(ctx *fasthttp.RequestCtx, err error, doc any) {
	switch {
	case errors.Is(err, errConflict), errors.Is(err, errLapsed):
		answerError(ctx, fasthttp.StatusConflict, "%v", err)
	case err != nil:
		answerError(ctx, fasthttp.StatusBadRequest, "%v", err)
	case s.losesAnswer():
		dropAnswer(ctx)
	default:
		answer(ctx, fasthttp.StatusOK, doc)
	}
}

func (s *Store) serveGet(ctx *fasthttp.RequestCtx) {
	k, ok := key(ctx)
	if !ok {
		return
	}
	e, _ := s.get(k)
	answer(ctx, fasthttp.StatusOK, entryDoc(e))
}

func (s *Store) serveSwap(ctx *fasthttp.RequestCtx) {
	k, ok := key(ctx)
	if !ok {
		return
	}
	expect, ok := number(ctx, "expect")
	if !ok {
		return
	}
	var doc httpstore.ValueDoc
	if err := decodeStrict(ctx.PostBody(), &doc); err != nil {
		answerError(ctx, fasthttp.StatusBadRequest, "body is not a value: %v", err)
		return
	}
	if len(doc.Value) > MaxValueBytes {
		answerError(ctx, fasthttp.StatusRequestEntityTooLarge, "value has %d bytes, want at most %d", len(doc.Value), MaxValueBytes)
		return
	}
	e, err := s.put(k, doc.Value, expect)
	e.Value = nil
	s.answerWrite(ctx, err, entryDoc(e))
}

func (s *Store) serveDelete(ctx *fasthttp.RequestCtx) {
	k, ok := key(ctx)
	if !ok {
		return
	}
	expect, ok := number(ctx, "expect")
	if !ok {
		return
	}
	s.answerWrite(ctx, s.remove(k, expect), httpstore.EntryDoc{Key: k})
}

func (s *Store) serveWatch(ctx *fasthttp.RequestCtx) {
	k, ok := key(ctx)
	if !ok {
		return
	}
	after, ok := number(ctx, "after")
	if !ok {
		return
	}
	waitMs, ok := number(ctx, "wait_ms")
	if !ok {
		return
	}
	deadline := time.Now().Add(millis(float64(min(waitMs, maxDelayMs))))
	for {
		e, changed := s.get(k)
		left := time.Until(deadline)
		if e.Revision > after || left <= 0 || s.ctx.Err() != nil {
			answer(ctx, fasthttp.StatusOK, entryDoc(e))
			return
		}
		s.sleep(left, changed)
	}
}

func (s *Store) serveGrant(ctx *fasthttp.RequestCtx) {
	ttlMs, ok := number(ctx, "ttl_ms")
	if !ok {
		return
	}
	if ttlMs == 0 || ttlMs > maxDelayMs {
		answerError(ctx, fasthttp.StatusBadRequest, "ttl_ms is %d, want 1 to %d", ttlMs, maxDelayMs)
		return
	}
	s.answerWrite(ctx, nil, httpstore.LeaseDoc{ID: s.grant(millis(float64(ttlMs)))})
}

func (s *Store) serveKeepAlive(ctx *fasthttp.RequestCtx) { s.serveExtend(ctx, false) }

func (s *Store) serveRevoke(ctx *fasthttp.RequestCtx) { s.serveExtend(ctx, true) }

func (s *Store) serveExtend(ctx *fasthttp.RequestCtx, ends bool) {
	id, ok := number(ctx, "id")
	if !ok {
		return
	}
	s.answerWrite(ctx, s.extend(store.LeaseID(id), ends), httpstore.LeaseDoc{ID: store.LeaseID(id)})
}
