package explain_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"lentillink.example/lentillink/explain"
	"lentillink.example/lentillink/quota"
	"lentillink.example/lentillink/relay"
)

// example returns a Document with a value in each field.
func example() explain.Document {
	left := 2.5
	return explain.Document{
		VM: "vm-1", DataCentre: "a",
		Explanation: relay.Explanation{
			Version: 7, Route: "search", Customer: "garden", DeadlineMs: 900, TargetMs: 400,
			Admission: relay.Admission{Outcome: relay.Admitted, EstimateMs: 20, LimitMs: 300, Parts: 3, RequiredParts: 2},
			Limit:     quota.Limit{Customer: "garden", Rate: 5},
			Carriers:  []relay.Carrier{{VM: "vm-1", DataCentre: "a", Self: true, Services: []string{"s1", "s2"}, EstimateMs: 20, EstimateKnown: true}, {VM: "vm-2", DataCentre: "b", Services: []string{"s3"}}},
			Parts: []relay.Part{{
				Service: "s1", Action: relay.ActionSend, Upstream: "u1", EstimateMs: 20, Candidates: []relay.Candidate{
					{Upstream: "u1", DataCentre: "a", Chosen: true, Open: 1, OpenLimit: 3, TotalMs: 21, Score: &relay.Score{WorkMs: 20, JitterMs: 1}},
					{Upstream: "u2", DataCentre: "b", Excluded: "held", OpenLimit: 3, HeldMs: 70},
				},
			}},
			MoreParts: 1, Unknown: []string{"how busy vm-2 is"},
		},
		Credit: &quota.Credit{Customer: "garden", RatePerS: 5, Burst: 2, State: quota.StateGranted, Held: 1, HeldMs: 60, Owner: "vm-1", Left: &left, Unknown: []string{}},
	}
}

// TestJSON guards against names in the document that change, or fields that come and go with
// their values.
func TestJSON(t *testing.T) {
	const want = `{"vm":"vm-1","data_centre":"a","version":7,"route":"search","customer":"garden","deadline_ms":900,"target_ms":400,` +
		`"admission":{"outcome":"admitted","reason":"","estimate_ms":20,"limit_ms":300,"probe":false,"parts":3,"required_parts":2,"retry_after_ms":0},` +
		`"carriers":[{"vm":"vm-1","data_centre":"a","self":true,"services":["s1","s2"],"estimate_ms":20,"estimate_known":true},` +
		`{"vm":"vm-2","data_centre":"b","self":false,"services":["s3"],"estimate_ms":0,"estimate_known":false}],` +
		`"parts":[{"service":"s1","action":"send","upstream":"u1","probe":false,"estimate_ms":20,"queued_ahead":0,"held_ms":0,"candidates":[` +
		`{"upstream":"u1","data_centre":"a","chosen":true,"excluded":"","open":1,"open_limit":3,"held_ms":0,"avoided_ms":0,"total_ms":21,` +
		`"score":{"work_ms":20,"busy_ms":0,"overdue_ms":0,"distance_ms":0,"failure_ms":0,"doubt_ms":0,"jitter_ms":1}},` +
		`{"upstream":"u2","data_centre":"b","chosen":false,"excluded":"held","open":0,"open_limit":3,"held_ms":70,"avoided_ms":0,"total_ms":0,"score":null}],"more_candidates":0}],` +
		`"more_parts":1,"unknown":["how busy vm-2 is"],"credit":{"customer":"garden","rate_per_s":5,"burst":2,"state":"granted","retry_after_ms":0,"held":1,"held_ms":60,"waiting":0,"asks":"","owner":"vm-1","left":2.5,"unknown":[]}}`
	doc := example()
	data, err := json.Marshal(doc)
	if err != nil || string(data) != want {
		t.Errorf("got\n%s, %v, want\n%s", data, err, want)
	}
	var back explain.Document
	if err := json.Unmarshal(data, &back); err != nil {
		t.Fatal(err)
	}
	doc.Limit = quota.Limit{} // is not part of the document
	if !reflect.DeepEqual(back, doc) {
		t.Errorf("got %+v, want %+v", back, doc)
	}
}

// TestVerdict guards against a refusal that the verdict, its reason or the text hides.
func TestVerdict(t *testing.T) {
	tests := []struct {
		name    string
		change  func(*explain.Document)
		want    explain.Verdict
		reason  string
		inTexts []string
	}{
		{"served", func(*explain.Document) {}, explain.Served, "", []string{
			"vm-1 (this VM)", "2.5 left", "there is credit", "20 ms or more, limit 300 ms", "goes to u1", "held, 70 ms more", "chosen", "1 more parts", "how busy vm-2 is", "not known",
		}},
		{"full", func(d *explain.Document) {
			d.Admission.Outcome, d.Admission.Reason, d.Admission.RetryAfterMs = "refused", "full", 44
		}, explain.Refused, "full", []string{"refused: full", "limit 300 ms", "retry after 44 ms"}},
		{"over the limit", func(d *explain.Document) { d.Credit.State, d.Credit.RetryAfterMs = quota.StateOverLimit, 33 }, explain.Refused, "over_limit", []string{"refused: over_limit", "retry after 33 ms"}},
		{"no credit", func(d *explain.Document) { d.Credit.State = quota.StateNoCredit }, explain.Refused, "no_credit", []string{"no VM that may grant credit"}},
		{"asked", func(d *explain.Document) { d.Credit.State, d.Credit.Asks = quota.StateAsked, "vm-9" }, explain.Served, "", []string{"asks vm-9 for credit"}},
		{"stopping before credit", func(d *explain.Document) {
			d.Admission.Outcome, d.Admission.Reason, d.Credit.State = "refused", "stopping", quota.StateOverLimit
		}, explain.Refused, "stopping", []string{"refused: stopping"}},
		{"no configuration", func(d *explain.Document) {
			d.Admission, d.Credit, d.Route = relay.Admission{Outcome: "not_ready", Reason: "no_configuration"}, nil, ""
		}, explain.Refused, "no_configuration", []string{"refused: no_configuration"}},
		{"no route", func(d *explain.Document) { d.Admission = relay.Admission{Outcome: "no_route", Reason: "no_route"} }, explain.NoRoute, "no_route", []string{"no route"}},
		{"unknown key", func(d *explain.Document) {
			d.Admission = relay.Admission{Outcome: "unauthorized", Reason: "unknown_key"}
			d.Credit = nil
		}, explain.NoCustomer, "unknown_key", []string{"not known (unknown_key)"}},
		{"queued", func(d *explain.Document) {
			d.Parts[0].Action, d.Parts[0].Upstream, d.Parts[0].QueuedAhead = relay.ActionQueue, "", 12
		}, explain.Served, "", []string{"waits, 12 ahead"}},
		{"probe", func(d *explain.Document) { d.Admission.Probe, d.Parts[0].Probe = true, true }, explain.Served, "", []string{"to renew the estimate", "tried again"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			doc := example()
			tt.change(&doc)
			if doc.Verdict() != tt.want || doc.Reason() != tt.reason {
				t.Errorf("got %s %q, want %s %q", doc.Verdict(), doc.Reason(), tt.want, tt.reason)
			}
			var out bytes.Buffer
			if err := explain.WriteText(&out, &doc); err != nil {
				t.Fatal(err)
			}
			for _, part := range tt.inTexts {
				if !strings.Contains(out.String(), part) {
					t.Errorf("got no %q in\n%s", part, out.String())
				}
			}
		})
	}
}

// TestQuestion guards against a question that shows its key when it is printed.
func TestQuestion(t *testing.T) {
	q := explain.Question{Host: "h", Path: "/x", Key: "secret-key"}
	if got := fmt.Sprintf("%v %+v %#v %s", q, q, q, q); strings.Contains(got, "secret-key") {
		t.Errorf("got the key in %s", got)
	}
	q.Key = strings.Repeat("secret-key", 1000)
	if err := q.Validate(); err == nil || strings.Contains(err.Error(), "secret-key") {
		t.Errorf("got %v, want an error about the key without its value", err)
	}
}
