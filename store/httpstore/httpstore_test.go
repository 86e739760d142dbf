package httpstore_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/store"
	"lentillink.example/lentillink/store/httpstore"
)

func respond(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}
}

func writeAndClose(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		c, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_, _ = io.WriteString(c, text)
			_ = c.Close()
		}
	}
}

func hang(_ http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
}

// refusedAddress returns an address that refuses connections. It is the local
// address of an open connection, so no other process can listen on it meanwhile.
func refusedAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close(); _ = ln.Close() })
	return c.LocalAddr().String()
}

// TestKinds guards against a write that may have taken effect but is reported as
// unavailable or conflict, and against a write that had no effect but is
// reported as unknown.
func TestKinds(t *testing.T) {
	refused := refusedAddress(t)
	tests := []struct {
		name        string
		handler     http.HandlerFunc // nil if the connection is refused
		write, read store.Kind
	}{
		{"ok", respond(200, `{"key":"k","revision":3,"id":1}`), store.KindOK, store.KindOK},
		{"conflict", respond(409, `{}`), store.KindConflict, store.KindUnavailable},
		{"too large", respond(413, `{}`), store.KindTooLarge, store.KindUnavailable},
		{"rate limit", respond(429, `{}`), store.KindUnavailable, store.KindUnavailable},
		{"down", respond(503, `{}`), store.KindUnavailable, store.KindUnavailable},
		{"server error", respond(500, `{}`), store.KindUnknown, store.KindUnavailable},
		{"refused", nil, store.KindUnavailable, store.KindUnavailable},
		{"timeout", hang, store.KindUnknown, store.KindUnavailable},
		{"broken", writeAndClose(""), store.KindUnknown, store.KindUnavailable},
		{"cut", writeAndClose("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"), store.KindUnknown, store.KindUnavailable},
		{"not JSON", respond(200, `{`), store.KindUnknown, store.KindUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			address := refused
			if tt.handler != nil {
				srv := httptest.NewServer(tt.handler)
				t.Cleanup(srv.Close)
				address = strings.TrimPrefix(srv.URL, "http://")
			}
			timeout := 10 * clock.Second // never reached unless a test hangs
			if tt.name == "timeout" {
				timeout = clock.Second / 2 // long enough to connect and write on a busy machine
			}
			c := httpstore.New(address, httpstore.WithTimeout(timeout), httpstore.WithWatchTimeout(10))
			t.Cleanup(c.Close)
			ctx := t.Context()
			calls := []struct {
				name string
				err  error
				want store.Kind
			}{
				{"get", errOnly(c.Get(ctx, "k")), tt.read},
				{"watch", errOnly(c.Watch(ctx, "k", 2)), tt.read},
				{"swap", errOnly(c.Swap(ctx, "k", []byte("v"), 2)), tt.write},
				{"delete", c.Delete(ctx, "k", 2), tt.write},
				{"grant", errOnly(c.Grant(ctx, 1000)), tt.write},
				{"keep_alive", c.KeepAlive(ctx, 1), tt.write},
				{"revoke", c.Revoke(ctx, 1), tt.write},
			}
			for _, call := range calls {
				if got := errorKind(t, call.name, call.err); got != call.want {
					t.Errorf("%s = %v, want kind %v", call.name, call.err, call.want)
				}
			}
		})
	}
}

func errOnly[T any](_ T, err error) error { return err }

func errorKind(t *testing.T, op string, err error) store.Kind {
	t.Helper()
	if err == nil {
		return store.KindOK
	}
	var storeErr *store.Error
	if !errors.As(err, &storeErr) || storeErr.Op() != op {
		t.Fatalf("%s returned %v, want a *store.Error with that operation", op, err)
	}
	return storeErr.Kind()
}

// TestOtherKey guards against acceptance of a reply for another key.
func TestOtherKey(t *testing.T) {
	srv := httptest.NewServer(respond(200, `{"key":"other","revision":3}`))
	defer srv.Close()
	c := httpstore.New(strings.TrimPrefix(srv.URL, "http://"))
	defer c.Close()
	if e, err := c.Get(t.Context(), "k"); errorKind(t, "get", err) != store.KindUnavailable {
		t.Errorf("Get = %v, %v, want kind unavailable", e, err)
	}
	if e, err := c.Swap(t.Context(), "k", nil, 0); errorKind(t, "swap", err) != store.KindUnknown {
		t.Errorf("Swap = %v, %v, want kind unknown", e, err)
	}
}

// TestWatchEnds guards against a watch that outlives its context or its client.
func TestWatchEnds(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0") // accepts and never answers
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	for _, name := range []string{"context", "client"} {
		t.Run(name, func(t *testing.T) {
			c := httpstore.New(ln.Addr().String(), httpstore.WithWatchTimeout(600_000))
			ctx, cancel := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() { ended <- errOnly(c.Watch(ctx, "k", 0)) }()
			conn, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			if name == "context" {
				cancel()
			}
			if name == "client" {
				c.Close()
			}
			if err := <-ended; errorKind(t, "watch", err) != store.KindUnavailable {
				t.Errorf("Watch = %v, want kind unavailable", err)
			}
			cancel()
			c.Close()
		})
	}
}
