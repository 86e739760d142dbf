package httpcall_test

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"lentillink.example/lentillink/httpcall"
)

// TestStatus guards against a reply without a valid status that counts as a success: of an
// upstream, of its health check or of the store.
func TestStatus(t *testing.T) {
	const rest = "\r\nContent-Length: 2\r\n\r\n{}"
	for _, tt := range []struct {
		name, reply string
		want        int // 0 if it is no reply
	}{
		{"success", "HTTP/1.1 200 OK" + rest, 200},
		{"no reason", "HTTP/1.1 503" + rest, 503},
		{"of no class", "HTTP/1.1 999 Odd" + rest, 999},
		{"000", "HTTP/1.1 000 OK" + rest, 0},
		{"000 after two blanks", "HTTP/1.1  000 OK" + rest, 0},
		{"000 after an empty line", "\r\nHTTP/1.1 000 OK" + rest, 0},
		{"007", "HTTP/1.1 007 OK" + rest, 0},
		{"099", "HTTP/1.1 099 OK" + rest, 0},
		{"two digits", "HTTP/1.1 20 OK" + rest, 0},
		{"four digits", "HTTP/1.1 2000 OK" + rest, 0},
		{"plus", "HTTP/1.1 +20 OK" + rest, 0},
		{"none", "HTTP/1.1" + rest, 0},
		{"interim", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK" + rest, 200},
		{"000 after an interim", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK" + rest, 0},
		{"two digits after an interim", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 20  OK" + rest, 0},
		{"ten interim", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 10) + "HTTP/1.1 200 OK" + rest, 0},
		{"another protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n", 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			address, _ := startServer(t, always(tt.reply), never)
			h := newHost(t, address)
			for range 2 {
				reply, err := h.Do(t.Context(), httpcall.Call{Method: http.MethodGet, Path: "/x", Timeout: longTimeout}, nil)
				if reply.Status != tt.want || (err == nil) != (tt.want != 0) {
					t.Errorf("got status %d, %v, want %d", reply.Status, err, tt.want)
				}
				var callErr *httpcall.Error
				if errors.As(err, &callErr) && (!callErr.Kind().Sent() || callErr.Kind() == httpcall.KindTimeout) {
					t.Errorf("got kind %s, want that of a broken reply that may have run", callErr.Kind())
				}
			}
			if got := h.OpenConns(); tt.want == 0 && got != 0 {
				t.Errorf("got %d open connections after a broken reply, want 0", got)
			}
		})
	}
}
