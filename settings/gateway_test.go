package settings_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lentillink.example/lentillink/settings"
)

const gatewayJSON = `{
  "vm": "front-1", "data_centre": "helsinki-1", "cpu_share": 0.4,
  "callers": "10.0.0.1:8000", "ready": "10.0.0.1:8001", "peers": "10.0.0.1:8002", "store": "10.0.9.1:9000",
  "grace_s": 6, "memory_mb": 284, "retry_budget": {"ratio": 0.2, "extra": 58, "window_s": 10}
}`

// TestDecodeGateway guards against accepting settings with a missing field, a
// duplicate address or a value out of range.
func TestDecodeGateway(t *testing.T) {
	g, err := settings.DecodeGateway([]byte(gatewayJSON))
	if err != nil {
		t.Fatal(err)
	}
	if g.VM != "front-1" || g.CPUShare != 0.4 || g.Retry.Extra != 58 || g.DrainMs != 3000 {
		t.Errorf("got %+v, want the values of the file and the default drain", g)
	}
	if g.Heads.RequestBytes < 16<<10 || g.Heads.ReplyBytes < 16<<10 {
		t.Errorf("got heads %+v, want defaults of at least 16 KB", g.Heads)
	}
	if g.Placing.ByCost {
		t.Error("got placing by cost, want it off unless it is set")
	}
	on, err := settings.DecodeGateway([]byte(strings.Replace(gatewayJSON, `"grace_s": 6`, `"grace_s": 6, "placing": {"by_cost": true}`, 1)))
	if err != nil || !on.Placing.ByCost {
		t.Errorf("got %+v, %v, want placing by cost", on, err)
	}
	tests := []struct{ name, old, replacement, wantPath string }{
		{"empty VM", `"front-1"`, `""`, "vm"},
		{"duplicate address", `"10.0.0.1:8001"`, `"10.0.0.1:8000"`, "ready"},
		{"missing peers", `"peers": "10.0.0.1:8002",`, ``, "peers"},
		{"ratio above 1", `"ratio": 0.2`, `"ratio": 2`, "retry_budget.ratio"},
		{"ratio is a string", `"ratio": 0.2`, `"ratio": "much"`, "retry_budget.ratio"},
		{"missing unit", `"grace_s": 6`, `"grace": 6`, "grace"},
		{"by_cost is a number", `"grace_s": 6`, `"grace_s": 6, "placing": {"by_cost": 1}`, "placing.by_cost"},
		{"unknown kind of placing", `"grace_s": 6`, `"grace_s": 6, "placing": {"by_size": true}`, "placing.by_size"},
		{"negative cpu_share", `0.4`, `-1`, "cpu_share"},
		{"quota without a window", `"grace_s": 6`, `"grace_s": 6, "quota": {"window_s": 0, "overshoot": 0.1, "slack": 20}`, "quota.window_s"},
		{"head too small", `"grace_s": 6`, `"grace_s": 6, "heads": {"request_bytes": 100, "reply_bytes": 32768}`, "heads.request_bytes"},
		{"head too large", `"grace_s": 6`, `"grace_s": 6, "heads": {"reply_bytes": 9999999}`, "heads.reply_bytes"},
		{"negative slack", `"grace_s": 6`, `"grace_s": 6, "quota": {"slack": -1}`, "quota.slack"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := settings.DecodeGateway([]byte(strings.Replace(gatewayJSON, tt.old, tt.replacement, 1)))
			var serr *settings.Error
			if !errors.As(err, &serr) {
				t.Fatalf("got %v, want a settings error", err)
			}
			if got := serr.Problems()[0].Path; got != tt.wantPath {
				t.Errorf("got path %q, want %q", got, tt.wantPath)
			}
		})
	}
}

// TestGatewayWithoutQuota guards against settings that a program writes without a quota, and
// that are refused because its fields are then zero, and against a quota that is not read.
func TestGatewayWithoutQuota(t *testing.T) {
	g, err := settings.DecodeGateway([]byte(strings.Replace(gatewayJSON, `"grace_s"`, `"quota": {"window_s": 7}, "grace_s"`, 1)))
	if err != nil || g.Quota.WindowSeconds != 7 {
		t.Fatalf("got %+v, %v, want a window of 7 s", g, err)
	}
	g.Quota = settings.Quota{}
	data, err := json.Marshal(g)
	if err != nil {
		t.Fatal(err)
	}
	if g, err = settings.DecodeGateway(data); err != nil || g.Quota.WindowSeconds != 5 {
		t.Errorf("got %+v, %v, want the default window of 5 s", g, err)
	}
}

// TestWatch guards against missing a change of the file, with or without a signal,
// and against replacing valid settings by a file that is not JSON.
func TestWatch(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(gatewayJSON)
	ctx, cancel := context.WithCancel(context.Background())
	reload, applied, rejected, done := make(chan os.Signal), make(chan *settings.Gateway, 4), make(chan error, 4), make(chan error, 1)
	go func() {
		done <- settings.Watch(ctx, path, reload, func(g *settings.Gateway) { applied <- g }, func(err error) { rejected <- err })
	}()
	const timeout = 20 * time.Second
	awaitApplied := func(trigger string) *settings.Gateway {
		t.Helper()
		select {
		case g := <-applied:
			return g
		case <-time.After(timeout):
			t.Fatalf("%s: settings not applied", trigger)
			return nil
		}
	}
	reload <- os.Interrupt
	if got := awaitApplied("signal"); got.GraceSeconds != 6 {
		t.Errorf("got grace %v, want 6", got.GraceSeconds)
	}
	write("not JSON")
	select {
	case err := <-rejected:
		if err == nil {
			t.Error("got no error, want one")
		}
	case <-time.After(timeout):
		t.Fatal("got no error for a file that is not JSON, want one")
	}
	write(strings.Replace(gatewayJSON, `"grace_s": 6`, `"grace_s": 9`, 1))
	if got := awaitApplied("change without a signal"); got.GraceSeconds != 9 {
		t.Errorf("got grace %v, want 9", got.GraceSeconds)
	}
	cancel()
	if err := <-done; err != nil {
		t.Errorf("got %v, want nil", err)
	}
}

// TestGatewayNumbers guards against a number that is refused although it is one of the setting,
// and against one that is used although it is not.
func TestGatewayNumbers(t *testing.T) {
	tests := []struct {
		path       string
		document   string // with a %s for the value
		whole      bool   // fractions are refused
		zeroIsFine bool
	}{
		{"grace_s", `"grace_s": %s`, false, false},
		{"drain_ms", `"drain_ms": %s`, false, false},
		{"memory_mb", `"memory_mb": %s`, false, false},
		{"cpu_share", `"cpu_share": %s`, false, true},
		{"expected_vms", `"expected_vms": %s`, true, false},
		{"retry_budget.window_s", `"retry_budget": {"window_s": %s}`, false, false},
		{"retry_budget.extra", `"retry_budget": {"extra": %s}`, false, true},
		{"quota.window_s", `"quota": {"window_s": %s}`, false, false},
		{"quota.slack", `"quota": {"slack": %s}`, false, true},
		{"heads.request_bytes", `"heads": {"request_bytes": %s}`, true, false},
		{"heads.reply_bytes", `"heads": {"reply_bytes": %s}`, true, false},
	}
	for _, tt := range tests {
		base := "40"
		if strings.HasPrefix(tt.path, "heads.") {
			base = "8192"
		}
		for _, v := range []struct {
			value string
			fine  bool
		}{
			{base, true}, {base + ".0", true}, {base + "e0", true}, {base + "0e-1", true}, {base + ".5", !tt.whole},
			{"0", tt.zeroIsFine}, {"-1", false}, {"-0.5", false}, {"1e400", false}, {"-1e400", false},
			{`"` + base + `"`, false}, {"null", false}, {"true", false}, {"[" + base + "]", false}, {`""`, false},
		} {
			document := `{"vm": "front-1", "data_centre": "a", "callers": "10.0.0.1:8000", "ready": "10.0.0.1:8001",
				"peers": "10.0.0.1:8002", "store": "10.0.9.1:9000", ` + fmt.Sprintf(tt.document, v.value) + `}`
			_, err := settings.DecodeGateway([]byte(document))
			if v.fine {
				if err != nil {
					t.Errorf("%s is %s: got %v, want nil", tt.path, v.value, err)
				}
				continue
			}
			var serr *settings.Error
			if !errors.As(err, &serr) {
				t.Errorf("%s is %s: got %v, want a settings error", tt.path, v.value, err)
			} else if got := serr.Problems()[0].Path; got != tt.path {
				t.Errorf("%s is %s: got path %q", tt.path, v.value, got)
			}
		}
	}
}
