package entry_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/go-kit/log"

	"lentillink.example/lentillink/caller"
	"lentillink.example/lentillink/demo"
	"lentillink.example/lentillink/entry"
	"lentillink.example/lentillink/settings"
)

// syncBuffer is a buffer that several goroutines may write to.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write implements io.Writer.
func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns what was written.
func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// namedCustomers returns the number of attempts at all upstreams by customer.
func namedCustomers(f *demo.Fleet) map[string]int {
	out := make(map[string]int)
	for _, up := range f.Standins.Upstreams() {
		for name, n := range f.Standins.Upstream(up).Customers() {
			out[name] += n
		}
	}
	return out
}

// postWith sends a request with values of the Authorization header and returns the status
// and the document, which must not hold a key.
func postWith(t *testing.T, address, path string, in any, credentials ...string) (int, entry.ErrorDocument) {
	t.Helper()
	body, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header["Authorization"] = credentials
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	var doc entry.ErrorDocument
	if err != nil || json.Unmarshal(data, &doc) != nil || strings.Contains(string(data), "q7secret") {
		t.Fatalf("got %q, %v, want a document without a key", data, err)
	}
	return resp.StatusCode, doc
}

// TestCustomers guards against requests that run without the key of a customer, for another
// one, or that pass a key on; queries and orders reach upstreams through several VMs.
func TestCustomers(t *testing.T) {
	t.Parallel()
	var logs syncBuffer
	f := startFleetOf(t, 3, []settings.Customer{
		{Name: "nyla", Keys: []settings.Key{"q7secret1", "q7secret2"}}, {Name: "fuge", Keys: []settings.Key{"q7secret3"}},
	}, entry.WithLogger(log.NewLogfmtLogger(&logs)))
	tests := []struct {
		name        string
		credentials []string
		want        string // customer, empty if rejected
	}{
		{"no key", nil, ""},
		{"unknown key", []string{"Bearer q7secret9"}, ""},
		{"other scheme", []string{"Token q7secret1"}, ""},
		{"two keys", []string{"Bearer q7secret1", "Bearer q7secret3"}, ""},
		{"first key", []string{"Bearer q7secret1"}, "nyla"},
		{"second key", []string{"bearer q7secret2"}, "nyla"},
		{"other customer", []string{"Bearer q7secret3"}, "fuge"},
	}
	const attempts = 20 + 1       // least number for a query and an order
	sent := make(map[string]bool) // customers whose requests were sent
	for _, tt := range tests {
		before := namedCustomers(f)
		for i := range f.Size() {
			for path, in := range map[string]any{"/v1/query": newQuery(), "/v1/order": newOrder()} {
				status, doc := postWith(t, f.Address(i), path, in, tt.credentials...)
				if want := tt.want != ""; (status == http.StatusOK) != want || !want && (status != http.StatusUnauthorized || doc.Execution.String() != "no") {
					t.Errorf("%s: %s at VM %d: got status %d, %+v", tt.name, path, i, status, doc)
				}
			}
		}
		// Hedges of the rows before may still arrive.
		after := namedCustomers(f)
		sent[tt.want] = tt.want != ""
		for name, n := range after {
			if !sent[name] {
				t.Errorf("%s: got %d attempts for customer %q, which has sent no request", tt.name, n, name)
			}
		}
		if got, want := after[tt.want]-before[tt.want], attempts*f.Size(); tt.want != "" && got < want {
			t.Errorf("%s: got %d attempts for customer %q, want at least %d", tt.name, got, tt.want, want)
		}
	}
	if a, err := caller.New(f.Address(0), caller.WithKey("q7secret3")).Query(newQuery()); err != nil || a.Outcome != "complete" {
		t.Errorf("client with a key: got %+v, %v, want a complete answer", a, err)
	}
	for _, path := range []string{"/metrics", "/v1/status?fleet=1", "/v1/events?fleet=1"} {
		resp, err := http.Get("http://" + f.Address(0) + path)
		if err != nil {
			t.Fatal(err)
		}
		data, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || strings.Contains(string(data), "q7secret") {
			t.Errorf("%s: got a key or %v in %s", path, err, data)
		}
	}
	if strings.Contains(logs.String(), "q7secret") {
		t.Errorf("got a key in the logs: %s", logs.String())
	}
}
