package settings

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"strconv"
	"strings"
)

// binder copies a parsed value into a document and collects the rejected fields.
type binder struct {
	problems []Problem
	rejected map[string]bool
}

// reject records a problem. Only the first problem of a path is kept.
func (b *binder) reject(path, format string, args ...any) {
	if path == "" {
		path = "(document)"
	}
	if b.rejected[path] {
		return
	}
	b.rejected[path] = true
	b.problems = append(b.problems, Problem{Path: path, Reason: fmt.Sprintf(format, args...)})
}

func (b *binder) bind(path string, v any, dst reflect.Value) {
	switch dst.Kind() {
	case reflect.Struct:
		b.bindStruct(path, v, dst)
	case reflect.Slice:
		b.bindSlice(path, v, dst)
	case reflect.String:
		b.bindString(path, v, dst)
	case reflect.Bool:
		b.bindBool(path, v, dst)
	default:
		b.bindNumber(path, v, dst)
	}
}

func (b *binder) bindStruct(path string, v any, dst reflect.Value) {
	obj, ok := v.(object)
	if !ok {
		b.reject(path, "is %s, want an object", typeName(v))
		return
	}
	seen := make(map[string]bool, len(obj))
	for _, m := range obj {
		fieldPath := joinPath(path, m.name)
		field, ok := fieldByName(dst, m.name)
		switch {
		case !ok:
			b.reject(fieldPath, "%s", unknownField(dst.Type(), m.name))
		case seen[m.name]:
			b.reject(fieldPath, "is given more than once, want one value")
		default:
			b.bind(fieldPath, m.value, field)
		}
		seen[m.name] = true
	}
}

func (b *binder) bindSlice(path string, v any, dst reflect.Value) {
	list, ok := v.([]any)
	if !ok {
		b.reject(path, "is %s, want an array", typeName(v))
		return
	}
	out := reflect.MakeSlice(dst.Type(), len(list), len(list))
	for i, item := range list {
		b.bind(fmt.Sprintf("%s[%d]", path, i), item, out.Index(i))
	}
	dst.Set(out)
}

func (b *binder) bindString(path string, v any, dst reflect.Value) {
	s, ok := v.(string)
	if !ok {
		b.reject(path, "is %s, want a string", typeName(v))
		return
	}
	dst.SetString(s)
}

func (b *binder) bindBool(path string, v any, dst reflect.Value) {
	x, ok := v.(bool)
	if !ok {
		b.reject(path, "is %s, want true or false", typeName(v))
		return
	}
	dst.SetBool(x)
}

func (b *binder) bindNumber(path string, v any, dst reflect.Value) {
	want := "a whole number"
	if dst.CanFloat() {
		want = "a number"
	}
	num, ok := v.(json.Number)
	if !ok {
		b.reject(path, "is %s, want %s", typeName(v), want)
		return
	}
	if dst.CanFloat() {
		x, err := strconv.ParseFloat(num.String(), dst.Type().Bits())
		if err != nil {
			b.reject(path, "is %s, want %s", num, want)
			return
		}
		dst.SetFloat(x)
		return
	}
	n, ok := wholeNumber(num)
	if dst.CanUint() {
		if !ok || n < 0 || dst.OverflowUint(uint64(n)) {
			b.reject(path, "is %s, want a whole number from 0 to %d", num, uint64(1)<<dst.Type().Bits()-1)
			return
		}
		dst.SetUint(uint64(n))
		return
	}
	if !ok || dst.OverflowInt(n) {
		b.reject(path, "is %s, want %s", num, want)
		return
	}
	dst.SetInt(n)
}

// maxExactInteger is the largest integer up to which a float64 holds each one.
const maxExactInteger = 1 << 53

// wholeNumber returns the value of a number that is whole, in any form: 6, 6.0 or 60e-1.
func wholeNumber(num json.Number) (int64, bool) {
	if n, err := strconv.ParseInt(num.String(), 10, 64); err == nil {
		return n, true
	}
	x, err := strconv.ParseFloat(num.String(), 64)
	if err != nil || x != math.Trunc(x) || math.Abs(x) > maxExactInteger {
		return 0, false
	}
	return int64(x), true
}

func fieldByName(dst reflect.Value, name string) (reflect.Value, bool) {
	for i := range dst.NumField() {
		if jsonName(dst.Type().Field(i)) == name {
			return dst.Field(i), true
		}
	}
	return reflect.Value{}, false
}

// unknownField returns the reason for rejecting an unknown field: the accepted
// fields, or the full name if only the unit suffix is missing.
func unknownField(t reflect.Type, name string) string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = jsonName(t.Field(i))
		if names[i] == name+"_ms" || names[i] == name+"_bytes" {
			return fmt.Sprintf("lacks its unit, want %s", names[i])
		}
	}
	return "is not a known field, want one of " + strings.Join(names, ", ")
}

func typeName(v any) string {
	switch v.(type) {
	case nil:
		return "null"
	case bool:
		return "a boolean"
	case string:
		return "a string"
	case json.Number:
		return "a number"
	case object:
		return "an object"
	default:
		return "an array"
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// jsonName returns the name of a field in JSON.
func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}
