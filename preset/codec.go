package preset

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"
)

// MaxRecordBytes bounds a record; the store takes values of up to 1 MB.
const MaxRecordBytes = 1_000_000

// Encode returns r as JSON.
func Encode(r Record) ([]byte, error) {
	if r.History == nil {
		r.History = []Past{}
	}
	b, err := json.Marshal(r)
	if err != nil {
		return nil, &Error{op: "encode", kind: KindInvalid, err: err}
	}
	if len(b) > MaxRecordBytes {
		return nil, fail("encode", KindInvalid, "record has %d bytes, at most %d are accepted", len(b), MaxRecordBytes)
	}
	return b, nil
}

// Decode reads a record strictly: unknown fields, missing fields and trailing
// data are refused, and the result is valid.
func Decode(b []byte) (Record, error) {
	var r Record
	if err := decodeStrict(b, &r); err != nil {
		return Record{}, err
	}
	if err := r.Validate(); err != nil {
		return Record{}, err
	}
	return r, nil
}

// DecodePreset reads one preset as strictly as Decode reads a record.
func DecodePreset(b []byte) (Preset, error) {
	var p Preset
	if err := decodeStrict(b, &p); err != nil {
		return Preset{}, err
	}
	if err := p.Validate(); err != nil {
		return Preset{}, err
	}
	return p, nil
}

func decodeStrict(b []byte, out any) error {
	if len(b) > MaxRecordBytes {
		return fail("decode", KindInvalid, "document has %d bytes, at most %d are accepted", len(b), MaxRecordBytes)
	}
	d := json.NewDecoder(bytes.NewReader(b))
	if err := d.Decode(out); err != nil {
		return &Error{op: "decode", kind: KindInvalid, err: err}
	}
	if _, err := d.Token(); err != io.EOF {
		return fail("decode", KindInvalid, "data after the document")
	}
	if err := checkFields("", b, reflect.TypeOf(out).Elem()); err != nil {
		return &Error{op: "decode", kind: KindInvalid, err: err}
	}
	return nil
}

// checkFields compares the fields of a JSON value with those of t. It exists
// because encoding/json accepts missing fields and ignores letter case.
func checkFields(path string, raw json.RawMessage, t reflect.Type) error {
	switch t.Kind() {
	case reflect.Slice:
		return checkElements(path, raw, t.Elem())
	case reflect.Struct:
		return checkObject(path, raw, t)
	default:
		if bytes.Equal(bytes.TrimSpace(raw), []byte("null")) {
			return fmt.Errorf("%s: must not be null", path)
		}
		return nil
	}
}

func checkElements(path string, raw json.RawMessage, t reflect.Type) error {
	var list []json.RawMessage
	if err := json.Unmarshal(raw, &list); err != nil || list == nil {
		return fmt.Errorf("%s: must be an array", path)
	}
	for i, item := range list {
		if err := checkFields(fmt.Sprintf("%s[%d]", path, i), item, t); err != nil {
			return err
		}
	}
	return nil
}

func checkObject(path string, raw json.RawMessage, t reflect.Type) error {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(raw, &fields); err != nil || fields == nil {
		return fmt.Errorf("%s: must be an object", strings.TrimPrefix(path, "."))
	}
	accepted := make([]string, t.NumField())
	for i := range t.NumField() {
		name := t.Field(i).Tag.Get("json")
		accepted[i] = name
		sub := strings.TrimPrefix(path+"."+name, ".")
		item, ok := fields[name]
		if !ok {
			return fmt.Errorf("%s: is missing", sub)
		}
		if err := checkFields(sub, item, t.Field(i).Type); err != nil {
			return err
		}
		delete(fields, name)
	}
	for name := range fields {
		sub := strings.TrimPrefix(path+"."+name, ".")
		return fmt.Errorf("%s: is not a known field, must be one of %v", sub, accepted)
	}
	return nil
}
