package entry_test

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lentillink.example/lentillink/platform/standin"
)

// TestRequestFramings guards against a sound request that is refused, or whose body is taken for
// the next request, because of the form that the caller has chosen for it.
func TestRequestFramings(t *testing.T) {
	f := startFleet(t, 1)
	const query = `{"id":"q","rank":"urgent","service":"search","query":"x"}`
	for _, tt := range []struct{ name, method, target, body string }{
		{"query", http.MethodPost, "/v1/query", query},
		{"long query", http.MethodPost, "/v1/query", query + strings.Repeat(" ", 100_000)},
		{"read without a body", http.MethodGet, "/v1/status", ""},
		{"read with a body", http.MethodGet, "/v1/status", "GET /v1/none HTTP/1.1\r\nHost: a\r\n\r\n"},
	} {
		for _, form := range standin.RequestFramings {
			t.Run(tt.name+", "+form.Name, func(t *testing.T) {
				nc, err := net.Dial("tcp", f.Address(0))
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = nc.Close() }()
				_ = nc.SetDeadline(time.Now().Add(waitLimit))
				r := bufio.NewReader(nc)
				for n := range 2 {
					answer, err := standin.RoundTrip(nc, r, form.Request(tt.method, tt.target, "a", "", tt.body))
					if err != nil {
						t.Fatal(err)
					}
					if answer.Status != http.StatusOK && answer.Status != http.StatusPartialContent {
						t.Errorf("request %d: got status %d with %.200s, want 200", n, answer.Status, answer.Body)
					}
					if answer.Close {
						return
					}
				}
			})
		}
	}
}
