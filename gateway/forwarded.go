package gateway

import (
	"net/http"
	"strings"

	"lentillink.example/lentillink/customer"
	"lentillink.example/lentillink/exchange"
)

// forwardedFields returns the headers that are forwarded unchanged.
func (g *Gateway) forwardedFields(h http.Header) []exchange.Field {
	dropped := make(map[string]bool)
	for _, line := range h["Connection"] {
		for _, name := range strings.Split(line, ",") {
			dropped[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	var out []exchange.Field
	for name, values := range h {
		if dropped[name] || exchange.IsHopByHop(name) || g.setsHeader(name) || g.isIdentity(name) {
			continue
		}
		for _, v := range values {
			out = append(out, exchange.Field{Name: name, Value: v})
		}
	}
	return out
}

// setsHeader reports whether the header is not forwarded because this VM sets it itself
// or answers it (Expect).
func (g *Gateway) setsHeader(name string) bool {
	h := g.headers.Headers
	return name == h.RequestID || name == h.DeadlineMs || name == h.ExpectInstance || name == "Expect"
}

// isIdentity reports whether the header says who the caller is: its credentials, or a
// customer that it claims to be. Some upstreams read an underscore in a name as a hyphen.
func (g *Gateway) isIdentity(name string) bool {
	name = strings.ReplaceAll(name, "_", "-")
	return strings.EqualFold(name, g.headers.Customer) || strings.EqualFold(name, g.headers.Credential)
}

// keyOf returns the key that a caller sent, "" if none.
func (g *Gateway) keyOf(r *http.Request) string {
	return customer.KeyIn(g.headers.CredentialScheme, r.Header[g.headers.Credential])
}
