package main_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
)

// commandCase is one run of the command line. An empty want accepts any output.
type commandCase struct {
	args string
	code int
	want []string // parts of standard output and standard error together
	json bool     // standard output must be one JSON document
}

func (c commandCase) run(t *testing.T, vm string) string {
	t.Helper()
	args := strings.Fields(c.args)
	if vm != "" {
		args = append(args, "--vm", vm)
	}
	code, stdout, stderr := lentillink(t, args...)
	if code != c.code {
		t.Errorf("%s: exit code %d, want %d: %s", c.args, code, c.code, stdout+stderr)
	}
	for _, part := range c.want {
		if !strings.Contains(stdout+stderr, part) {
			t.Errorf("%s: output lacks %q: %s", c.args, part, stdout+stderr)
		}
	}
	if c.json && !json.Valid([]byte(stdout)) {
		t.Errorf("%s: not JSON: %s", c.args, stdout)
	}
	return stdout
}

// TestCommands guards against commands that exit with an undocumented code or
// do not print the result or the reason of a failure.
func TestCommands(t *testing.T) {
	p := startTestPlatform(t)
	daemons := p.startAll(t, 2)
	vm, otherVM := daemons[0].address, daemons[1].address
	id := fmt.Sprintf("%d-c1", clock.System{}.Now())
	order := "order --service orders --group desk-01 --json --id "
	for _, c := range []commandCase{
		{"query --service search {}", 0, []string{"complete", "4000 of 4000 keys"}, false},
		{"query --service search --rank urgent --json --id q-json {}", 0, []string{`"id": "q-json"`}, true},
		{"query --service nowhere {}", 1, []string{"service", "nowhere"}, false},
		{"query --service search not-json", 2, []string{"QUERY"}, false},
		{"query {}", 2, []string{"service"}, false},
		{order + id + " {}", 0, []string{`"outcome": "done"`}, true},
		{order + id + " {}", 4, []string{`"already_submitted"`}, true},
		{"order --service orders --group desk-01 --id nonsense {}", 1, []string{"id"}, false},
		{"status", 0, []string{"vm-1", "vm-2", "ordinary"}, false},
		{"status --json", 0, []string{`"vms"`}, true},
		{"preset list", 0, []string{"ordinary", "peak", "maintenance", "in force, revision 1"}, false},
		{"preset list --json", 0, nil, true},
		{"preset show peak", 0, []string{`"name": "peak"`}, true},
		{"preset show nowhere", 2, []string{"nowhere"}, false},
		{"preset explain peak", 0, []string{"urgent"}, false},
		{"preset diff ordinary peak", 0, []string{"urgent.floor_percent"}, false},
		{"preset diff ordinary peak --json", 0, nil, true},
		{"preset switch peak --author aino --reason flood", 0, []string{"accepted", "in force on 2 VMs"}, false},
		{"preset switch nowhere --reason flood", 3, []string{"not accepted", "nowhere"}, false},
		{"preset switch peak", 2, []string{"reason"}, false},
		{"preset history", 0, []string{"aino", "flood"}, false},
		{"preset history --json", 0, nil, true},
		{"timeline --kind preset_switched", 0, []string{"aino", "flood", "peak", "change "}, false},
		{"timeline --json", 0, nil, true},
		{"timeline --follow --plot x.png", 2, []string{"--plot"}, false},
		{"no-such-command", 2, nil, false},
	} {
		c.run(t, vm)
	}
	checkPresetEdit(t, p.dir, vm)
	checkPartialTimeline(t, p, vm, otherVM)
	commandCase{"status", 1, nil, false}.run(t, freeAddress(t)) // no process listens there
}

// checkPresetEdit guards against an edit that changes something else, and against
// an invalid document that is accepted.
func checkPresetEdit(t *testing.T, dir, vm string) {
	t.Helper()
	text := commandCase{"preset show ordinary", 0, nil, true}.run(t, vm)
	var doc preset.Preset
	if err := json.Unmarshal([]byte(text), &doc); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "preset.json")
	for _, tt := range []struct {
		floor float64
		code  int
		want  string
	}{{25, 0, "accepted"}, {400, 2, "floor_percent"}} {
		doc.Urgent.FloorPercent = tt.floor
		data, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, data, 0o600); err != nil {
			t.Fatal(err)
		}
		commandCase{"preset edit --reason floors " + file, tt.code, []string{tt.want}, false}.run(t, vm)
	}
	commandCase{"preset show ordinary", 0, []string{`"floor_percent": 25`}, true}.run(t, vm)
}

// checkPartialTimeline guards against a partial answer whose cause is missing
// from the timeline as another VM returns it.
func checkPartialTimeline(t *testing.T, p *testPlatform, vm, otherVM string) {
	t.Helper()
	if _, err := p.Inject("search/planner-02", "down", true); err != nil {
		t.Fatal(err)
	}
	partial := commandCase{"query --service search --json --rank urgent --id q-partial {}", 4, []string{`"partial"`}, true}
	partial.run(t, vm)
	commandCase{"query --service search {}", 4, []string{"missing", "keys 1000 to 1999"}, false}.run(t, vm)
	commandCase{"timeline --request q-partial", 0, []string{"group_missing", "planner-02", "refused", "answered", "partial"}, false}.run(t, otherVM)
}

// TestOfflineCommands guards against failures of the commands that need no VM.
func TestOfflineCommands(t *testing.T) {
	dir := t.TempDir()
	for _, deployment := range []string{"hautakukka", "pondslip"} {
		text := commandCase{"config example --deployment " + deployment, 0, nil, true}.run(t, "")
		file := filepath.Join(dir, deployment+".json")
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		commandCase{"config validate " + file, 0, []string{"valid settings of vm-1"}, false}.run(t, "")
	}
	for _, c := range []commandCase{
		{"config validate " + filepath.Join(dir, "none.json"), 2, []string{"none.json"}, false},
		{"config example --number 10", 2, []string{"10"}, false},
		{"experiment list", 0, []string{"straggler", "rollover"}, false},
		{"experiment nowhere", 2, []string{"nowhere"}, false},
		{"bench --seconds 1 --shards 4 --connections 2 --json --plot " + filepath.Join(dir, "bench.png"), 0, []string{"p99_ratio"}, true},
		{"bench --shards 0", 2, []string{"--shards"}, false},
		{"bench --plot x.gif", 2, []string{"--plot"}, false},
		{"--help", 0, []string{"timeline", "GO_FLAGS_COMPLETION"}, false},
		{"timeline --help", 0, []string{"--request"}, false},
		{"experiment --help", 0, []string{"straggler", "matrix", "list"}, false},
	} {
		c.run(t, "")
	}
	t.Setenv("GO_FLAGS_COMPLETION", "1")
	commandCase{"preset sw", 0, []string{"switch"}, false}.run(t, "")
}
