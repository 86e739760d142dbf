package preset_test

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"lentillink.example/lentillink/preset"
)

// TestDecodeRejects guards against invalid documents that Decode accepts, or
// rejects without naming the wrong field.
func TestDecodeRejects(t *testing.T) {
	valid, err := preset.Encode(preset.Default())
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct{ name, from, to, want string }{
		{"unknown field", `"in_force"`, `"colour":1,"in_force"`, "colour: is not a known field"},
		{"missing field", `"in_force":"ordinary",`, ``, "in_force: is missing"},
		{"missing nested field", `"deadline_ms":1000,`, ``, "presets[0].urgent.deadline_ms: is missing"},
		{"letter case", `"author"`, `"Author"`, "Author: is not a known field"},
		{"repeated field", `"author"`, `"reason":"x","author"`, "reason: appears twice"},
		{"null document", string(valid), `null`, "must not be null"},
		{"null list", `"history":[]`, `"history":null`, "history: must not be null"},
		{"null", `"floor_percent":30`, `"floor_percent":null`, "floor_percent: must not be null"},
		{"trailing data", `"history":[]}`, `"history":[]}{}`, "data after the document"},
		{"range", `"floor_percent":30`, `"floor_percent":130`, "presets[0].urgent.floor_percent: must be from 0 to 100"},
		{"enumeration", `"refuse"`, `"never"`, "orders_on_store_outage: must be one of refuse, wait"},
		{"cost below the median", `"orders_on_store_outage":"refuse"`, `"orders_on_store_outage":"refuse","max_cost_factor":0.5`, "max_cost_factor: must be 0 for no bound, or from 1 to 1000"},
		{"repeated optional field", `"orders_on_store_outage":"refuse"`, `"max_cost_factor":2,"max_cost_factor":3,"orders_on_store_outage":"refuse"`, "max_cost_factor: appears twice"},
		{"preset in force", `"in_force":"ordinary"`, `"in_force":"calm"`, "in_force: must be one of [ordinary peak maintenance]"},
		{"floors", `"floor_percent":10`, `"floor_percent":60`, "must add up to at most 100"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := preset.Decode([]byte(strings.Replace(string(valid), tt.from, tt.to, 1)))
			var e *preset.Error
			if !errors.As(err, &e) || e.Kind() != preset.KindInvalid || !strings.Contains(err.Error(), tt.want) {
				t.Errorf("got %v, want invalid with %q", err, tt.want)
			}
		})
	}
	if _, err := preset.Decode(valid); err != nil {
		t.Errorf("Decode(Default()) = %v, want nil", err)
	}
}

// TestExplainCoversEveryField guards against a field that the explanation or the
// diff of a preset leaves out.
func TestExplainCoversEveryField(t *testing.T) {
	base := preset.Default().Presets[0]
	doc, _ := json.Marshal(base)
	for _, field := range []string{"deadline_ms", "floor_percent", "queue_requests", "hedge_budget_percent", "retry_budget_percent", "min_coverage_percent"} {
		var tree map[string]any
		_ = json.Unmarshal(doc, &tree)
		tree["patient"].(map[string]any)[field] = 7
		changed, _ := json.Marshal(tree)
		p, err := preset.DecodePreset(changed)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Join(preset.Explain(p), "\n") == strings.Join(preset.Explain(base), "\n") {
			t.Errorf("the explanation does not show %s", field)
		}
		if d := preset.DiffPresets(base, p); len(d) != 1 || d[0].Path != "presets.ordinary.patient."+field {
			t.Errorf("DiffPresets = %v, want only %s", d, field)
		}
	}
}

// TestMaxCostFactor guards against a record without the optional field that is not read, and
// against one with it whose explanation or diff leaves it out.
func TestMaxCostFactor(t *testing.T) {
	base := preset.Default().Presets[0]
	for _, factor := range []float64{1, 4} {
		p := base
		p.MaxCostFactor = factor
		doc, err := json.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		got, err := preset.DecodePreset(doc)
		if err != nil || got != p {
			t.Errorf("got %+v, %v, want %+v", got, err, p)
		}
		if len(preset.Explain(p)) != len(preset.Explain(base))+1 {
			t.Errorf("the explanation does not show a factor of %g", factor)
		}
		if d := preset.DiffPresets(base, p); len(d) != 1 || d[0].Path != "presets.ordinary.max_cost_factor" {
			t.Errorf("got the differences %v, want only the factor", d)
		}
	}
}

// TestChangesRaiseRevision guards against a change that does not raise the
// revision by one, exceeds the history bound or modifies its input.
func TestChangesRaiseRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rec := preset.Default()
		for i := range rapid.IntRange(1, 50).Draw(t, "changes") {
			c := preset.Change{ID: rapid.StringMatching(`[a-z]{12}`).Draw(t, "id"), Author: "a", Reason: "r"}
			if rapid.Bool().Draw(t, "edit") {
				p := rec.Presets[rapid.IntRange(0, 2).Draw(t, "preset")]
				p.Urgent.QueueRequests = i
				c.Preset = &p
			} else {
				c.SwitchTo = rapid.SampledFrom([]string{"ordinary", "peak", "maintenance"}).Draw(t, "to")
			}
			before, _ := preset.Encode(rec)
			next, err := preset.Apply(rec, c)
			after, _ := preset.Encode(rec)
			if string(before) != string(after) {
				t.Fatal("Apply changed its input")
			}
			if err != nil {
				continue
			}
			if next.Revision != rec.Revision+1 || len(next.History) > preset.MaxHistory {
				t.Fatalf("revision %d after %d, %d history entries", next.Revision, rec.Revision, len(next.History))
			}
			rec = next
		}
		if b, err := preset.Encode(rec); err != nil {
			t.Fatal(err)
		} else if _, err = preset.Decode(b); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzDecode(f *testing.F) {
	b, _ := preset.Encode(preset.Default())
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := preset.Decode(b)
		if err == nil && r.Validate() != nil {
			t.Error("Decode returned an invalid record")
		}
	})
}
