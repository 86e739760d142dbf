package main_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"lentillink.example/lentillink/platform/standin"
	"lentillink.example/lentillink/settings"
)

// startGateway starts a gateway VM as an operator does, and returns its metrics address.
func startGateway(t *testing.T, store string) string {
	t.Helper()
	doc := settings.Gateway{
		VM: "vm-1", DataCentre: "a", Callers: freeAddress(t), Ready: freeAddress(t), Peers: freeAddress(t), Metrics: freeAddress(t), Store: store,
		GraceSeconds: 3, Retry: settings.RetryBudget{Ratio: 0.2, WindowSeconds: 10}, Quota: settings.Quota{WindowSeconds: 5, Slack: 20},
		MemoryMB: 256, ExpectedVMs: 1, CPUShare: 1, DrainMs: 3000,
	}
	data, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "vm-1.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(binDir, "lentillinkd"), "--gateway", "--settings", file)
	var out bytes.Buffer
	cmd.Stdout = &out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		if strings.Contains(out.String(), "garden-key") || t.Failed() {
			t.Errorf("got this log, want none with a key:\n%s", out.String())
		}
	})
	waitUntil(t, "the VM is ready", func() bool {
		resp, err := http.Get("http://" + doc.Ready + "/ready")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return doc.Metrics
}

// TestExplainCommand guards against an exit code that is not documented, an error that does
// not say what to do, and a key in the output.
func TestExplainCommand(t *testing.T) {
	d := standin.NewDeployment(3)
	t.Cleanup(d.Close)
	d.Customers = []standin.Customer{{Name: "garden", Keys: []string{"garden-key"}, RatePerS: 5, Burst: 5}}
	d.Configure(nil)
	vm := startGateway(t, d.Store.Address())
	base := "explain --host " + standin.Host + " --path "
	for _, c := range []commandCase{
		{base + standin.SearchPath + " --customer garden", 0, []string{"seen by", "vm-1", "garden", "credit", "admitted", "part plots0: goes to i-0-", "JITTER", "not known here"}, false},
		{base + standin.SearchPath + " --customer garden --parts 1", 0, []string{"and 2 more parts"}, false},
		{base + standin.ArchivePath + " --customer garden --json", 0, []string{`"chosen": true`, `"state": "`, `"unknown": [`}, true},
		{base + standin.ArchivePath + " --customer garden --remaining-ms 1 --json", 4, []string{`"deadline_ms": 1`, `"reason": "full"`}, true},
		{base + standin.SearchPath + " --customer garden --service plots2", 0, []string{"part plots2: goes to i-2-0", "the VM that delegates"}, false},
		{base + standin.ArchivePath + " --customer lumi", 6, []string{`"lumi" is not known`}, false},
		{base + standin.ArchivePath, 6, []string{"LENTILLINK_KEY", "--key-stdin", "--customer"}, false},
		{base + "/none", 5, []string{"no route"}, false},
		{base + "none", 2, []string{"path"}, false},
		{base + "/x --parts 1000", 2, []string{"parts"}, false},
		{"explain --path /x", 2, []string{"host"}, false},
		{base + "/x --key garden-key", 2, []string{"unknown flag"}, false},
	} {
		c.run(t, vm)
	}
	commandCase{base + "/x", 1, []string{"not reachable", "--vm"}, false}.run(t, freeAddress(t))

	for _, c := range []struct {
		env, stdin string
		args       []string
		code       int
	}{
		{"garden-key", "", nil, 0},
		{"garden-key-wrong", "", nil, 6},
		{"", "garden-key\n", []string{"--key-stdin"}, 0},
		{"garden-key", "garden-key-wrong\n", []string{"--key-stdin"}, 6},
		{"", "", []string{"--key-stdin"}, 2},
		{"garden-key-wrong", "", []string{"--customer", "garden"}, 0},
	} {
		cmd := exec.Command(filepath.Join(binDir, "lentillink"), append([]string{"explain", "--vm", vm, "--host", standin.Host, "--path", standin.OrderPath}, c.args...)...)
		cmd.Env, cmd.Stdin = append(os.Environ(), "LENTILLINK_KEY="+c.env), strings.NewReader(c.stdin)
		out, _ := cmd.CombinedOutput() // the exit code is compared
		if got := cmd.ProcessState.ExitCode(); got != c.code || strings.Contains(string(out), "garden-key") {
			t.Errorf("key %q, standard input %q, %v: got exit code %d, want %d and no key: %s", c.env, c.stdin, c.args, got, c.code, out)
		}
	}

	for _, us := range d.Shards {
		for _, u := range us {
			d.Store.Put("servers/"+u.ID(), map[string]any{
				"service": "none", "address": u.Address(), "zone": "a", "version": "v1", "slots": 2, "state": "ready", "cold-remaining-ms": 0, "sequence": 1000, "born": 1,
			})
		}
	}
	waitUntil(t, "no upstream is left", func() bool {
		code, stdout, _ := lentillink(t, strings.Fields(base+standin.SearchPath+" --customer garden --vm "+vm)...)
		return code == 4 && strings.Contains(stdout, "refused: no_upstream") && strings.Contains(stdout, "no upstream can take it") && strings.Contains(stdout, "retry after")
	})
	commandCase{fmt.Sprint(base, standin.SearchPath, " --customer garden --json"), 4, []string{`"reason": "no_upstream"`}, true}.run(t, vm)
}
