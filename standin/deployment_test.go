package standin_test

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/settings"
	"lentillink.example/lentillink/standin"
	"lentillink.example/lentillink/upstream/httpup"
)

func deploy(t *testing.T, name string) *standin.Deployment {
	t.Helper()
	cfg, err := settings.Example(name)
	if err != nil {
		t.Fatal(err)
	}
	d, err := standin.StartDeployment(t.Context(), cfg, standin.WithFreePorts(),
		standin.WithUpstreamOptions(standin.WithServiceTime(0, 0)))
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// TestDeploymentClose guards against goroutines that still run after Close of a
// whole deployment.
func TestDeploymentClose(t *testing.T) {
	for _, name := range settings.Deployments() {
		before := runtime.NumGoroutine()
		d := deploy(t, name)
		// The idle timeout bounds how long the cleaner goroutine of each fasthttp client runs after Close.
		c := httpup.New(httpup.WithIdleTimeout(200), httpup.WithServices(d.Settings().Services()...))
		for i, id := range d.Upstreams() {
			req := query(uint64(i), longMs)
			req.Upstream = string(id)
			if got := c.Send(t.Context(), req); got.Status != attempt.OK {
				t.Errorf("Send to %s = %v %v, want ok", id, got.Status, got.Execution)
			}
		}
		c.Close()
		if err := d.Close(); err != nil {
			t.Error(err)
		}
		for deadline := time.Now().Add(30 * time.Second); runtime.NumGoroutine() > before+5; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: %d goroutines after Close, want about %d", name, runtime.NumGoroutine(), before)
			}
		}
	}
}

// TestRollOverAndRepartition guards against a roll-over that removes the common
// version and a repartition that loses or duplicates keys.
func TestRollOverAndRepartition(t *testing.T) {
	d := deploy(t, "pondslip")
	defer func() { _ = d.Close() }()
	svc := d.Settings().Services()[0]
	c := httpup.New(httpup.WithServices(svc))
	defer c.Close()
	for step, shift := range []int{0, 100, 40} {
		version := uint64(step) + 2
		for name, value := range map[string]any{"rollover": version, "repartition": shift} {
			if _, err := d.Inject(svc.Name, name, value); err != nil {
				t.Fatal(err)
			}
		}
		var covered coverage.Set
		for i, g := range svc.Groups {
			req := query(uint64(i), longMs)
			req.Upstream, req.Version = string(g.Replicas[0].ID), version-1
			got := c.Send(t.Context(), req)
			if got.Status != attempt.OK || got.Epoch != uint64(step)+2 || len(got.HeldVersions) != 2 {
				t.Fatalf("Send = %+v, want ok under epoch %d with two held versions", got, step+2)
			}
			for _, r := range got.Ranges {
				if len(covered.Add(r)) != 1 {
					t.Errorf("range %v of %s is covered twice", r, g.Name)
				}
			}
			for _, row := range got.Rows {
				if row.Value != standin.RowValue(row.Key, version-1) {
					t.Errorf("row %v is not of version %d", row, version-1)
				}
			}
		}
		if covered.Len() != svc.Keys {
			t.Errorf("groups cover %d keys, want %d", covered.Len(), svc.Keys)
		}
	}
}

// TestControl guards against an invalid fault that is accepted without effect.
func TestControl(t *testing.T) {
	d := deploy(t, "hautakukka")
	defer func() { _ = d.Close() }()
	tests := []struct {
		body   string
		status int
		want   string
	}{
		{`{"target":"search/app-01/a","fault":"slow_factor","value":10}`, 200, `{"applied":1}`},
		{`{"target":"search/app-01","fault":"leaving","value":true}`, 200, `{"applied":2}`},
		{`{"target":"orders","fault":"slow_share","value":0.02}`, 200, `{"applied":60}`},
		{`{"target":"search","fault":"rollover","value":2}`, 200, `{"applied":1}`},
		{`{"target":"store","fault":"slow_ms","value":5}`, 200, `{"applied":1}`},
		{`{"target":"vm_list","fault":"lag_ms","value":5}`, 200, `{"applied":1}`},
		{`{"target":"sear","fault":"leaving","value":true}`, 400, "target"},
		{`{"target":"store","fault":"leaving","value":true}`, 400, "not one of down"},
		{`{"target":"store","fault":"down","value":"yes"}`, 400, "want true or false"},
		{`{"target":"store","fault":"down","value":null}`, 400, "want true or false"},
		{`{"target":"store","fault":"down"}`, 400, "value is missing"},
		{`{"target":"search","fault":"slow_share","value":2}`, 400, "want a number from 0 to 1"},
		{`{"target":"search","fault":"hold","value":1.5}`, 400, "want a whole number"},
		{`{"target":"search/app-01/a","fault":"ranges","value":{"epoch":0}}`, 400, "epoch is 0"},
		{`{"target":"orders","fault":"repartition","value":1}`, 400, "has no keys"},
		{`{"target":"search","fault":"repartition","value":1000}`, 400, "want less than"},
		{`{"target":"store","fault":"down","value":true,"extra":1}`, 400, "extra"},
		{`{"target":"store","fault":"down","value":true} {}`, 400, "data after"},
	}
	for _, tt := range tests {
		resp, err := http.Post("http://"+d.ControlAddress()+"/fault", "application/json", strings.NewReader(tt.body))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || resp.StatusCode != tt.status || !bytes.Contains(body, []byte(tt.want)) {
			t.Errorf("POST %s = %d %s, %v, want %d with %q", tt.body, resp.StatusCode, body, err, tt.status, tt.want)
		}
	}
	http.DefaultClient.CloseIdleConnections()
	_, err := d.Inject("nowhere", "down", true)
	var serr *standin.Error
	if !errors.As(err, &serr) || serr.Kind() != standin.KindUnknownTarget {
		t.Errorf("Inject = %v, want kind unknown_target", err)
	}
}

// TestLedger guards against an order that is executed twice without being reported.
func TestLedger(t *testing.T) {
	d := deploy(t, "pondslip")
	defer func() { _ = d.Close() }()
	c := httpup.New(httpup.WithClock(clock.System{}), httpup.WithServices(d.Settings().Services()...))
	defer c.Close()
	for i, name := range []string{"one", "two", "one"} {
		req := order(uint64(i), name)
		req.Upstream = "orders/membership-01/" + string("ab"[i%2])
		if got := c.Send(t.Context(), req); got.Status != attempt.OK || string(got.Body) != name {
			t.Errorf("Send = %+v, want ok", got)
		}
	}
	if got := d.Ledger(); got.Orders != 2 || got.Executions != 3 || len(got.Repeated) != 1 || got.Repeated[0] != "one" {
		t.Errorf("Ledger = %+v, want 2 orders, 3 executions, one repeated", got)
	}
}
