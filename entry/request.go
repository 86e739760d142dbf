package entry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"
	"unicode"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/order"
	"lentillink.example/lentillink/rank"
)

// Limits of request fields.
const (
	maxIDBytes              = 128
	maxDeadlineMs           = clock.Hour
	defaultMaxBodyBytes int = 1 << 20
)

// QueryRequest is the body of POST /v1/query.
type QueryRequest struct {
	ID          string          `json:"id"`
	Rank        string          `json:"rank"`
	Service     string          `json:"service"`
	Query       json.RawMessage `json:"query"`
	DeadlineMs  *clock.Millis   `json:"deadline_ms,omitempty"`
	MinCoverage *float64        `json:"min_coverage,omitempty"`
}

// OrderRequest is the body of POST /v1/order.
type OrderRequest struct {
	ID      string          `json:"id"`
	Rank    string          `json:"rank"`
	Service string          `json:"service"`
	Group   string          `json:"group"`
	Body    json.RawMessage `json:"body"`
}

// DecodeQuery decodes and validates a query. Errors are of type *Error and name the field.
func DecodeQuery(body []byte) (QueryRequest, rank.Rank, error) {
	var q QueryRequest
	if err := decodeStrict(body, &q); err != nil {
		return q, 0, err
	}
	r, err := checkCommonFields(q.ID, q.Rank, q.Service)
	if err != nil {
		return q, 0, err
	}
	switch {
	case !present(q.Query):
		return q, 0, invalid("query", "must be present")
	case q.DeadlineMs != nil && (*q.DeadlineMs <= 0 || *q.DeadlineMs > maxDeadlineMs):
		return q, 0, invalid("deadline_ms", "is %d, must be 1 to %d", *q.DeadlineMs, maxDeadlineMs)
	case q.MinCoverage != nil && (*q.MinCoverage < 0 || *q.MinCoverage > 1):
		return q, 0, invalid("min_coverage", "is %g, must be 0 to 1", *q.MinCoverage)
	}
	return q, r, nil
}

// DecodeOrder decodes and validates an order. Errors are of type *Error and name the field.
func DecodeOrder(body []byte) (OrderRequest, rank.Rank, error) {
	var o OrderRequest
	if err := decodeStrict(body, &o); err != nil {
		return o, 0, err
	}
	r, err := checkCommonFields(o.ID, o.Rank, o.Service)
	if err != nil {
		return o, 0, err
	}
	switch {
	case !validOrderID(o.ID):
		return o, 0, invalid("id", "%q must be <unix ms>-<random>, with 1 to 64 letters, digits, _ or - after the first -", o.ID)
	case o.Group == "":
		return o, 0, invalid("group", "must not be empty")
	case !present(o.Body):
		return o, 0, invalid("body", "must be present")
	}
	return o, r, nil
}

// present reports whether a field that accepts any JSON value is set. As for all
// other fields, null means that it is not set.
func present(raw json.RawMessage) bool { return len(raw) > 0 && string(raw) != "null" }

func validOrderID(id string) bool {
	_, err := order.ParseID(id)
	return err == nil
}

func checkCommonFields(id, rankName, service string) (rank.Rank, error) {
	if id == "" || len(id) > maxIDBytes {
		return 0, invalid("id", "has %d bytes, must have 1 to %d", len(id), maxIDBytes)
	}
	if strings.ContainsFunc(id, unicode.IsControl) {
		return 0, invalid("id", "%q has a control character", id)
	}
	r, err := rank.Parse(rankName)
	if err != nil {
		return 0, invalid("rank", "%q is not one of urgent, ordinary, patient", rankName)
	}
	if service == "" {
		return 0, invalid("service", "must not be empty")
	}
	return r, nil
}

func decodeStrict(body []byte, out any) error {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(out); err != nil {
		return decodeError(err)
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return invalid("body", "has data after the JSON document")
	}
	if name, ok := repeatedField(body); ok {
		return invalid(name, "is repeated")
	}
	return nil
}

// repeatedField returns the name of a field that a valid JSON object has twice, if there is
// one. As encoding/json matches names, case makes no difference.
func repeatedField(body []byte) (string, bool) {
	dec := json.NewDecoder(bytes.NewReader(body))
	if _, err := dec.Token(); err != nil {
		return "", false
	}
	seen := make(map[string]bool)
	for dec.More() {
		tok, err := dec.Token()
		if err != nil {
			return "", false
		}
		name, _ := tok.(string)
		folded := strings.ToLower(name)
		if seen[folded] {
			return name, true
		}
		seen[folded] = true
		var value json.RawMessage
		if err := dec.Decode(&value); err != nil {
			return "", false
		}
	}
	return "", false
}

// accepted describes the values that a field of a type accepts.
func accepted(field string, t reflect.Type) string {
	switch {
	case field == "deadline_ms":
		return fmt.Sprintf("a whole number of milliseconds from 1 to %d", maxDeadlineMs)
	case t == reflect.TypeFor[clock.Millis]():
		return "a whole number of milliseconds"
	case t.Kind() == reflect.String:
		return "a text"
	case field == "min_coverage":
		return "a number from 0 to 1"
	case t.Kind() == reflect.Float64:
		return "a number"
	case t.Kind() == reflect.Bool:
		return "true or false"
	case t.Kind() == reflect.Struct, t.Kind() == reflect.Map:
		return "an object"
	case t.Kind() == reflect.Slice, t.Kind() == reflect.Array:
		return "a list"
	default:
		return "a whole number"
	}
}

// decodeError converts an error of encoding/json into one that names the field.
func decodeError(err error) error {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		if wrongType.Field == "" { // the type of the document itself is wrong
			return invalid("body", "is a JSON %s, must be an object", wrongType.Value)
		}
		return invalid(wrongType.Field, "is a %s, must be %s", wrongType.Value, accepted(wrongType.Field, wrongType.Type))
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		if name == `""` {
			return invalid("body", "has a field with an empty name")
		}
		return invalid(strings.Trim(name, `"`), "is not a known field")
	}
	return invalid("body", "is not valid JSON: %v", err)
}
