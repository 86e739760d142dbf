package preset

import (
	"fmt"
	"reflect"
	"slices"
)

// Difference is one field whose value differs between two records. An empty
// Before or After means that the preset does not exist on that side.
type Difference struct {
	Path   string `json:"path"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Diff lists the differences between the presets, and between the names of the
// preset in force, of a and b.
func Diff(a, b Record) []Difference {
	var list []Difference
	if a.InForce != b.InForce {
		list = append(list, Difference{"in_force", a.InForce, b.InForce})
	}
	for _, p := range a.Presets {
		other, ok := b.FindPreset(p.Name)
		if !ok {
			list = append(list, Difference{"presets." + p.Name, p.Name, ""})
			continue
		}
		list = append(list, DiffPresets(p, other)...)
	}
	for _, p := range b.Presets {
		if !slices.Contains(presetNames(a.Presets), p.Name) {
			list = append(list, Difference{"presets." + p.Name, "", p.Name})
		}
	}
	return list
}

// DiffPresets lists the fields that differ between two presets. Paths start with the name of a.
func DiffPresets(a, b Preset) []Difference {
	return diffValues("presets."+a.Name, reflect.ValueOf(a), reflect.ValueOf(b))
}

func diffValues(path string, a, b reflect.Value) []Difference {
	if a.Kind() != reflect.Struct {
		if a.Equal(b) {
			return nil
		}
		return []Difference{{path, fmt.Sprint(a), fmt.Sprint(b)}}
	}
	var list []Difference
	for i := range a.NumField() {
		name, _ := fieldName(a.Type().Field(i))
		fieldPath := path + "." + name
		list = append(list, diffValues(fieldPath, a.Field(i), b.Field(i))...)
	}
	return list
}
