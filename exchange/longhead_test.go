package exchange_test

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"lentillink.example/lentillink/exchange"
)

// TestLongHead guards against a sound reply that fails because its head is long, and against
// one that is longer than allowed and is taken for a broken one.
func TestLongHead(t *testing.T) {
	const limit = 32 << 10
	tests := []struct {
		name   string
		fields string
		want   bool
	}{
		{"one field of 1 KB", "A: " + strings.Repeat("x", 1<<10) + "\r\n", true},
		{"one field of 8 KB", "A: " + strings.Repeat("x", 8<<10) + "\r\n", true},
		{"cookies of 16 KB", strings.Repeat("Set-Cookie: "+strings.Repeat("c", 4000)+"\r\n", 4), true},
		{"many fields of 20 KB", strings.Repeat("Name: value\r\n", 20<<10/13), true},
		{"just below the limit", "A: " + strings.Repeat("x", limit-300) + "\r\n", true},
		{"above the limit", "A: " + strings.Repeat("x", limit) + "\r\n", false},
		{"many fields above the limit", strings.Repeat("Name: value\r\n", limit/10), false},
	}
	for _, body := range []string{"Content-Length: 5\r\n\r\nhello", "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"} {
		for _, tt := range tests {
			t.Run(tt.name+", "+strings.ToLower(body[:7]), func(t *testing.T) {
				u := startRaw(t, func(w io.Writer, id string, _ int) bool {
					_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nRequest: %s\r\nReceipt: x\r\n%s%s", id, tt.fields, body)
					return err == nil
				})
				c, results := newClient(t, exchange.WithMaxHeadBytes(limit))
				for n := range 3 { // the later ones on the same connection
					send(c, u, uint64(n+1), fmt.Sprint("id-", n))
					res := nextResult(t, results)
					switch {
					case tt.want && (res.Err != nil || string(res.Reply.Body) != "hello"):
						t.Errorf("request %d: got %q, %v, want hello", n, res.Reply.Body, res.Err)
					case !tt.want && (res.Err == nil || res.Err.Kind() != exchange.KindHeadTooLarge):
						t.Errorf("request %d: got %v, want kind %s", n, res.Err, exchange.KindHeadTooLarge)
					}
				}
				if conns, _ := u.counts(); tt.want && conns != 1 {
					t.Errorf("got %d connections, want 1", conns)
				}
			})
		}
	}
}
