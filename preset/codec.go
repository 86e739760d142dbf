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
		r.History = []AppliedChange{}
	}
	b, err := json.Marshal(r)
	if err != nil {
		return nil, &Error{op: "encode", kind: KindInvalid, err: err}
	}
	if len(b) > MaxRecordBytes {
		return nil, newError("encode", KindInvalid, "record has %d bytes, at most %d are accepted", len(b), MaxRecordBytes)
	}
	return b, nil
}

// Decode decodes and validates a record. It rejects unknown, missing and
// repeated fields, null and trailing data.
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

// DecodePreset decodes one preset as strictly as Decode decodes a record.
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
		return newError("decode", KindInvalid, "document has %d bytes, at most %d are accepted", len(b), MaxRecordBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(b))
	if err := decoder.Decode(out); err != nil {
		return &Error{op: "decode", kind: KindInvalid, err: err}
	}
	if _, err := decoder.Token(); err != io.EOF {
		return newError("decode", KindInvalid, "data after the document")
	}
	if err := checkValue(json.NewDecoder(bytes.NewReader(b)), "", reflect.TypeOf(out).Elem()); err != nil {
		return &Error{op: "decode", kind: KindInvalid, err: err}
	}
	return nil
}

// checkValue compares the fields of the next JSON value with those of t. It is
// needed because encoding/json accepts missing and repeated fields and ignores
// letter case.
func checkValue(d *json.Decoder, path string, t reflect.Type) error {
	token, err := d.Token()
	switch {
	case err != nil:
		return err
	case token == nil:
		return fmt.Errorf("%s: must not be null", path)
	case t.Kind() == reflect.Struct:
		return checkObject(d, path, t)
	case t.Kind() == reflect.Slice:
		return checkElements(d, path, t.Elem())
	}
	return nil
}

func checkElements(d *json.Decoder, path string, t reflect.Type) error {
	for i := 0; d.More(); i++ {
		if err := checkValue(d, fmt.Sprintf("%s[%d]", path, i), t); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

func checkObject(d *json.Decoder, path string, t reflect.Type) error {
	seen := make([]bool, t.NumField())
	for d.More() {
		token, err := d.Token()
		if err != nil {
			return err
		}
		key, _ := token.(string)
		i := fieldIndex(t, key)
		switch {
		case i < 0:
			return fmt.Errorf("%s: is not a known field, must be one of %v", joinPath(path, key), fieldNames(t))
		case seen[i]:
			return fmt.Errorf("%s: appears twice", joinPath(path, key))
		}
		seen[i] = true
		if err := checkValue(d, joinPath(path, key), t.Field(i).Type); err != nil {
			return err
		}
	}
	for i, ok := range seen {
		if name, optional := fieldName(t.Field(i)); !ok && !optional {
			return fmt.Errorf("%s: is missing", joinPath(path, name))
		}
	}
	_, err := d.Token()
	return err
}

func fieldIndex(t reflect.Type, key string) int {
	for i := range t.NumField() {
		if name, _ := fieldName(t.Field(i)); name == key {
			return i
		}
	}
	return -1
}

func fieldNames(t reflect.Type) []string {
	list := make([]string, t.NumField())
	for i := range list {
		list[i], _ = fieldName(t.Field(i))
	}
	return list
}

// fieldName returns the name of a field in JSON, and whether it may be missing.
func fieldName(f reflect.StructField) (name string, optional bool) {
	return strings.CutSuffix(f.Tag.Get("json"), ",omitempty")
}

func joinPath(path, key string) string { return strings.TrimPrefix(path+"."+key, ".") }
