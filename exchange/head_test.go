package exchange_test

import (
	"strings"
	"testing"

	"lentillink.example/lentillink/exchange"
)

// TestRemoveFields guards against fields that another VM passes on although upstreams must
// not see them, and against the loss of others.
func TestRemoveFields(t *testing.T) {
	drop := func(name string) bool { return strings.EqualFold(name, "secret") }
	tests := []struct{ name, head, want string }{
		{"none", "GET /a HTTP/1.1\r\nHost: h\r\nA: 1\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nA: 1\r\n"},
		{"between others", "GET /a HTTP/1.1\r\nHost: h\r\nSecret: 1\r\nA: 1\r\n", "GET /a HTTP/1.1\r\nHost: h\r\nA: 1\r\n"},
		{"first, last and twice", "GET /a HTTP/1.1\r\nSECRET: 1\r\nA: 1\r\nsecret:2\r\nSecret: 3\r\n", "GET /a HTTP/1.1\r\nA: 1\r\n"},
		{"spaces around the name", "GET /a HTTP/1.1\r\n Secret : 1\r\nA: 1\r\n", "GET /a HTTP/1.1\r\nA: 1\r\n"},
		{"no line end", "GET /a HTTP/1.1\r\nA: 1\r\nSecret: 1", "GET /a HTTP/1.1\r\nA: 1\r\n"},
		{"in a value and in the URI", "GET /secret:1 HTTP/1.1\r\nA: secret: 1\r\n", "GET /secret:1 HTTP/1.1\r\nA: secret: 1\r\n"},
		{"request line alone", "secret: / HTTP/1.1\r\n", "secret: / HTTP/1.1\r\n"},
		{"empty", "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			head := tt.head
			if got := string(exchange.RemoveFields([]byte(head), drop)); got != tt.want || head != tt.head {
				t.Errorf("got %q, want %q", got, tt.want)
			}
		})
	}
}

func BenchmarkRemoveFields(b *testing.B) {
	head := []byte("GET /search/all HTTP/1.1\r\nHost: plots.example\r\n" + strings.Repeat("X-Note: some value of a header\r\n", 8))
	for b.Loop() {
		exchange.RemoveFields(head, func(name string) bool { return strings.EqualFold(name, "authorization") })
	}
}
