package entry_test

import (
	"encoding/json"
	"errors"
	"testing"

	"lentillink.example/lentillink/entry"
	"lentillink.example/lentillink/order"
)

// isInvalidWithField reports whether err is of kind invalid and names a field.
func isInvalidWithField(err error) bool {
	var failed *entry.Error
	return errors.As(err, &failed) && failed.Kind() == entry.KindInvalid && failed.Field() != ""
}

// FuzzDecodeQuery guards against a panic, an error that names no field, and an
// accepted query that violates a limit or is decoded differently after it is
// encoded again.
func FuzzDecodeQuery(f *testing.F) {
	for _, seed := range []string{
		`{"id":"a","rank":"urgent","service":"search","query":{}}`,
		`{"id":"a","rank":"patient","service":"search","query":[1,"x"],"deadline_ms":5,"min_coverage":0.5}`,
		`{"id":"a","rank":"urgent","service":"search","query":null}`, `{"ID":1}`, `[]`, `{`, ``, `null`, `{"":0}`, `{"":{"":0}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		q, r, err := entry.DecodeQuery(body)
		if err != nil {
			if !isInvalidWithField(err) {
				t.Fatalf("%q: error %v is not of kind invalid or names no field", body, err)
			}
			return
		}
		if q.ID == "" || q.Service == "" || !json.Valid(q.Query) || q.DeadlineMs != nil && *q.DeadlineMs <= 0 {
			t.Fatalf("%q: invalid request was accepted as %+v", body, q)
		}
		text, err := json.Marshal(q)
		if err != nil {
			t.Fatal(err)
		}
		if _, again, err := entry.DecodeQuery(text); err != nil || again != r {
			t.Fatalf("%q: encoded again as %q, which is decoded differently: %v", body, text, err)
		}
	})
}

// FuzzDecodeOrder guards against the same failures as FuzzDecodeQuery, and against
// an accepted order whose id has no issue time.
func FuzzDecodeOrder(f *testing.F) {
	for _, seed := range []string{
		`{"id":"1700000000000-a","rank":"urgent","service":"orders","group":"desk-01","body":{}}`,
		`{"id":"1700000000000-a","rank":"urgent","service":"orders","group":"desk-01","body":null}`,
		`{"id":"-a","rank":"urgent","service":"orders","group":"desk-01","body":1}`, `{"group":{}}`, `[]`, `{`, ``, `{"":0}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		o, r, err := entry.DecodeOrder(body)
		if err != nil {
			if !isInvalidWithField(err) {
				t.Fatalf("%q: error %v is not of kind invalid or names no field", body, err)
			}
			return
		}
		if _, err := order.ParseID(o.ID); err != nil || o.Group == "" || !json.Valid(o.Body) {
			t.Fatalf("%q: invalid request was accepted as %+v", body, o)
		}
		text, err := json.Marshal(o)
		if err != nil {
			t.Fatal(err)
		}
		if _, again, err := entry.DecodeOrder(text); err != nil || again != r {
			t.Fatalf("%q: encoded again as %q, which is decoded differently: %v", body, text, err)
		}
	})
}
