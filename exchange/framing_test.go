package exchange_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"lentillink.example/lentillink/platform/standin"
)

// TestFramings guards against a sound reply of an upstream, or of its health check, that is
// refused or changed because of the form that the upstream has chosen for it.
func TestFramings(t *testing.T) {
	for _, f := range standin.Framings {
		for name, body := range map[string]string{"empty": "", "short": "ok", "long": strings.Repeat("0123456789", 30_000)} {
			t.Run(f.Name+", "+name, func(t *testing.T) {
				t.Parallel()
				u := startRaw(t, func(w io.Writer, id string, _ int) bool {
					_, err := io.WriteString(w, f.Reply(http.StatusOK, fmt.Sprintf("Request: %s\r\nReceipt: x\r\n", id), body))
					return err == nil && !f.Ends
				})
				c, results := newClient(t)
				for n := range uint64(3) {
					send(c, u, n+1, fmt.Sprint("id-", n))
					res := nextResult(t, results)
					if res.Err != nil || res.Reply.Status != http.StatusOK || string(res.Reply.Body) != body {
						t.Fatalf("got status %d, %d bytes, %v, want 200 and %d bytes", res.Reply.Status, len(res.Reply.Body), res.Err, len(body))
					}
				}
				if conns, _ := u.counts(); !f.Ends && conns != 1 {
					t.Errorf("got %d connections for three requests, want 1", conns)
				}
			})
		}
	}
}
