package httproster_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"lentillink.example/lentillink/roster"
	"lentillink.example/lentillink/roster/httproster"
)

// TestVMs guards against an invalid list that is treated as a list without VMs.
func TestVMs(t *testing.T) {
	entry := `{"id":"vm-1","address":"127.0.0.1:1","data_centre":"dc-1","leaving":true}`
	tests := []struct {
		name, body string
		status     int
		want       int // VMs, -1 for an error
		kind       roster.Kind
	}{
		{"one", `{"vms":[` + entry + `]}`, 200, 1, 0},
		{"none", `{"vms":[]}`, 200, 0, 0},
		{"no list", `{}`, 200, -1, roster.KindInvalid},
		{"not JSON", `{`, 200, -1, roster.KindInvalid},
		{"repeated id", `{"vms":[` + entry + `,` + entry + `]}`, 200, -1, roster.KindInvalid},
		{"host name", `{"vms":[{"id":"vm-1","address":"vm-1:1"}]}`, 200, -1, roster.KindInvalid},
		{"down", `{"vms":[]}`, 503, -1, roster.KindUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				_, _ = io.WriteString(w, tt.body)
			}))
			c := httproster.New(strings.TrimPrefix(srv.URL, "http://"))
			defer c.Close()
			got, err := c.VMs(t.Context())
			srv.CloseClientConnections()
			srv.Close()
			var rosterErr *roster.Error
			if tt.want < 0 {
				if !errors.As(err, &rosterErr) || rosterErr.Kind() != tt.kind {
					t.Errorf("VMs = %v, %v, want kind %v", got, err, tt.kind)
				}
				return
			}
			if err != nil || len(got) != tt.want {
				t.Errorf("VMs = %v, %v, want %d VMs", got, err, tt.want)
			}
			if _, err := c.VMs(t.Context()); !errors.As(err, &rosterErr) || rosterErr.Kind() != roster.KindUnavailable {
				t.Errorf("VMs of a closed server = %v, want kind unavailable", err)
			}
		})
	}
}
