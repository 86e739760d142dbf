package settings_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lentillink.example/lentillink/settings"
)

const valid = `{"vm":"vm-1","data_centre":"dc-1",
"addresses":{"callers":"127.0.0.1:1000","peers":"127.0.0.1:1001","admin":"127.0.0.1:1000"},
"store":"127.0.0.1:1002","vm_list":"127.0.0.1:1003",
"services":[{"name":"search","keys":20,"groups":[
{"name":"g1","from":0,"to":10,"replicas":[{"name":"a","address":"127.0.0.1:2000","connections":25,"connect_ms":6}]},
{"name":"g2","from":10,"to":20,"replicas":[{"name":"a","address":"127.0.0.1:2001","connections":25,"connect_ms":6}]}]}]}`

// TestDecodeNamesField guards against an error that lacks the path of a rejected
// field, and against reporting only the first problem.
func TestDecodeNamesField(t *testing.T) {
	tests := []struct {
		name     string
		old, new string
		want     []string
	}{
		{"unknown field", `"vm":`, `"color":1,"vm":`, []string{"color: is not a known field"}},
		{"missing unit", `"connect_ms":6}]},`, `"connect":6}]},`, []string{"services[0].groups[0].replicas[0].connect: lacks its unit, want connect_ms"}},
		{"string for a number", `"connections":25,"connect_ms":6}]}]`, `"connections":"25","connect_ms":6}]}]`, []string{"services[0].groups[1].replicas[0].connections: is a string, want a whole number"}},
		{"no connections", `"connections":25,"connect_ms":6}]}]`, `"connections":0,"connect_ms":6}]}]`, []string{"services[0].groups[1].replicas[0].connections: is 0, want 1 to 10000"}},
		{"duplicate address", `127.0.0.1:2001`, `127.0.0.1:2000`, []string{"services[0].groups[1].replicas[0].address: is"}},
		{"store on an upstream's address", `127.0.0.1:1002`, `127.0.0.1:2000`, []string{"services[0].groups[0].replicas[0].address: is"}},
		{"duplicate group", `"g2"`, `"g1"`, []string{"services[0].groups[1].name: is"}},
		{"overlap", `"from":10`, `"from":9`, []string{"services[0].groups[1].from: is 9 and overlaps groups[0], want 10"}},
		{"gap", `"from":10`, `"from":11`, []string{"services[0].groups[1].from: is 11 and leaves keys 10 to 10"}},
		{"outside the key space", `"to":20`, `"to":21`, []string{"services[0].groups[1].to: is 21 and leaves the key space, want 11 to 20"}},
		{"gap at the end of the key space", `"keys":20`, `"keys":21`, []string{"services[0].keys: is 21 but the groups end at 20"}},
		{"limit below its minimum", `"vm":`, `"limits":{"ring_events":1},"vm":`, []string{"limits.ring_events: is 1, want 16 to 1048576"}},
		{"zero timeout", `"vm":`, `"timeouts":{"store_ms":0},"vm":`, []string{"timeouts.store_ms: is 0, want 1 to 600000"}},
		{"host name", `127.0.0.1:1002`, `store:1002`, []string{"store: is \"store:1002\", want an IP address"}},
		{"repeated field", `"vm":`, `"vm":"vm-1","vm":`, []string{"vm: is given more than once"}},
		{"customer without a name", `"vm":`, `"customers":[{"keys":["q7secret"]}],"vm":`, []string{"customers[0].name: has 0 bytes"}},
		{"customer twice", `"vm":`, `"customers":[{"name":"a"},{"name":"a"}],"vm":`, []string{"customers[1].name: is"}},
		{"key of two customers", `"vm":`, `"customers":[{"name":"a","keys":["q7secret"]},{"name":"b","keys":["q7secret"]}],"vm":`, []string{"customers[1].keys[0]: is the same as customers[0].keys[0]"}},
		{"key with a space", `"vm":`, `"customers":[{"name":"a","keys":["q7secret q7secret"]}],"vm":`, []string{"customers[0].keys[0]: has 17 bytes"}},
		{"key not in a list", `"vm":`, `"customers":[{"name":"a","keys":"q7secret"}],"vm":`, []string{"customers[0].keys: is a string, want an array"}},
		{"two problems", `"vm":"vm-1","data_centre":"dc-1"`, `"vm":"VM","data_centre":1`, []string{"vm: is", "data_centre: is a number, want a string"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := settings.Decode([]byte(strings.Replace(valid, tt.old, tt.new, 1)))
			var serr *settings.Error
			if !errors.As(err, &serr) || serr.Kind() != settings.KindInvalid {
				t.Fatalf("Decode error = %v, want kind invalid", err)
			}
			if strings.Contains(err.Error(), "q7secret") {
				t.Errorf("got a key in %v", err)
			}
			if got := len(serr.Problems()); got != len(tt.want) {
				t.Errorf("got %d problems, want %d: %v", got, len(tt.want), err)
			}
			for _, want := range tt.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("got error %v, want it to contain %q", err, want)
				}
			}
		})
	}
}

// TestLoadKinds guards against reporting a missing file or malformed JSON as a
// rejected field.
func TestLoadKinds(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.json")
	for text, want := range map[string]settings.Kind{valid + "{}": settings.KindSyntax, `{"vm":`: settings.KindSyntax, "": settings.KindSyntax, "[]": settings.KindInvalid} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		var serr *settings.Error
		if _, err := settings.Load(path); !errors.As(err, &serr) || serr.Kind() != want {
			t.Errorf("Load(%.10q) = %v, want kind %v", text, err, want)
		}
	}
	var serr *settings.Error
	if _, err := settings.Load(path + ".none"); !errors.As(err, &serr) || serr.Kind() != settings.KindRead {
		t.Errorf("Load of a missing file = %v, want kind read", err)
	}
}

// TestExampleSizes guards against examples with missing upstreams, and against
// examples that Decode rejects after encoding.
func TestExampleSizes(t *testing.T) {
	for name, want := range map[string]int{"hautakukka": 40 + 60 + 15 + 7, "pondslip": 40 + 60 + 8 + 4} {
		s, err := settings.Example(name, settings.WithPortBase(30000), settings.WithVM(9))
		if err != nil {
			t.Fatal(err)
		}
		data, err := json.Marshal(s.Document())
		if err != nil {
			t.Fatal(err)
		}
		if s, err = settings.Decode(data); err != nil {
			t.Fatal(err)
		}
		got := 0
		for _, svc := range s.Services() {
			for _, g := range svc.Groups {
				got += len(g.Replicas)
			}
		}
		if got != want {
			t.Errorf("%s has %d upstreams, want %d", name, got, want)
		}
	}
	if _, err := settings.Example("other"); err == nil {
		t.Error("Example(other) succeeded, want an error")
	}
}

// FuzzDecode guards against a panic, and against accepted settings that are
// rejected after encoding them again.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{valid, `{}`, `[[[`, `{"services":[{"groups":[null]}]}`, `{"limits":{"ring_events":1e99}}`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Decode(data)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(s.Document())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := settings.Decode(encoded); err != nil {
			t.Errorf("Decode of encoded settings = %v, want nil", err)
		}
	})
}

// TestKeysAreHidden guards against keys in what is printed of the settings, and against a
// customer that is not found by its key.
func TestKeysAreHidden(t *testing.T) {
	s, err := settings.Decode([]byte(strings.Replace(valid, `"vm":`, `"customers":[{"name":"nyla","keys":["q7secret"]}],"vm":`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if c, ok := s.Customers().Find("q7secret"); !ok || c.Name != "nyla" {
		t.Errorf("got %v, %t, want nyla", c, ok)
	}
	document, err := json.Marshal(s.Document())
	if err != nil {
		t.Fatal(err)
	}
	for _, text := range []string{string(document), fmt.Sprintf("%v %+v %#v", s.Document(), s.Document(), s.Document())} {
		if strings.Contains(text, "q7secret") {
			t.Errorf("got a key in %s", text)
		}
	}
}
