package httpcall_test

import (
	"net/http"
	"strings"
	"testing"

	"lentillink.example/lentillink/httpcall"
	"lentillink.example/lentillink/platform/standin"
)

// TestFramings guards against a sound reply that is refused because of the form that the host
// has chosen for it: the store, an upstream's health check or the VM list would look lost.
func TestFramings(t *testing.T) {
	for _, f := range standin.Framings {
		for name, body := range map[string]string{"empty": "", "short": "{}", "long": strings.Repeat("0123456789", 30_000)} {
			t.Run(f.Name+", "+name, func(t *testing.T) {
				t.Parallel()
				address, _ := startServer(t, always(f.Reply(http.StatusOK, "X-Era: 7\r\n", body)), func(int64) bool { return f.Ends })
				h := newHost(t, address)
				for range 3 {
					reply, err := h.Do(t.Context(), httpcall.Call{Method: http.MethodGet, Path: "/x", Timeout: longTimeout, Header: "X-Era"}, nil)
					if err != nil {
						t.Fatalf("got %v, want a reply", err)
					}
					if reply.Status != http.StatusOK || string(reply.Body) != body || reply.Header != "7" {
						t.Errorf("got status %d, %d bytes and %q, want 200, %d bytes and 7", reply.Status, len(reply.Body), reply.Header, len(body))
					}
				}
				if got := h.OpenedConns(); !f.Ends && got != 1 {
					t.Errorf("got %d connections for three calls, want 1", got)
				}
			})
		}
	}
}

// TestRepliesWithoutBody guards against a reply that has no body by its status or its request,
// and is refused or waited for.
func TestRepliesWithoutBody(t *testing.T) {
	for _, tt := range []struct {
		name, method, reply string
		want                int
	}{
		{"no content", http.MethodDelete, "HTTP/1.1 204 No Content\r\n\r\n", 204},
		{"no content, with a length", http.MethodDelete, "HTTP/1.1 204 No Content\r\nContent-Length: 7\r\n\r\n", 204},
		{"not modified", http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n", 304},
		{"to a HEAD", http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n", 200},
		{"to a HEAD, in chunks", http.MethodHead, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", 200},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			address, _ := startServer(t, always(tt.reply), never)
			h := newHost(t, address)
			for range 3 {
				reply, err := h.Do(t.Context(), httpcall.Call{Method: tt.method, Path: "/x", Timeout: longTimeout}, nil)
				if err != nil || reply.Status != tt.want || len(reply.Body) != 0 {
					t.Errorf("got status %d with %q, %v, want %d without a body", reply.Status, reply.Body, err, tt.want)
				}
			}
			if got := h.OpenedConns(); got != 1 {
				t.Errorf("got %d connections for three calls, want 1", got)
			}
		})
	}
}

// TestUnsoundFramings guards against the rest of a reply that is taken for the next one, and
// against a reply that ends early and is taken for a whole one.
func TestUnsoundFramings(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, tt := range []struct{ name, reply string }{
		{"no last chunk", chunked + "2\r\n{}\r\n"},
		{"cut in a chunk", chunked + "9\r\n{}"},
		{"no end of the trailers", chunked + "2\r\n{}\r\n0\r\nX-Note: n\r\n"},
		{"odd size of a chunk", chunked + "2x\r\n{}\r\n0\r\n\r\n"},
		{"negative size of a chunk", chunked + "-2\r\n{}\r\n0\r\n\r\n"},
		{"huge size of a chunk", chunked + "fffffffffffffffff\r\n{}\r\n0\r\n\r\n"},
		{"chunk without an end", chunked + "2\r\n{}0\r\n\r\n"},
		{"bytes after the last chunk", chunked + "2\r\n{}\r\n0\r\n\r\nx"},
		{"another reply after the last chunk", chunked + "2\r\n{}\r\n0\r\n\r\n" + completeReply},
		{"unknown coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"},
		{"chunked twice", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n"},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}x"},
		{"length with a sign", "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\n{}"},
		{"short body", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{}"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			address, _ := startServer(t, always(tt.reply), func(int64) bool { return true })
			h := newHost(t, address)
			if err := doCall(t, h, nil); err == nil {
				t.Error("got a reply, want an error")
			}
			if got := h.OpenConns(); got != 0 {
				t.Errorf("got %d open connections, want 0", got)
			}
		})
	}
}
