package coverage_test

import (
	"testing"

	"lentillink.example/lentillink/coverage"
)

func rowsOf(value string, keys ...uint32) []coverage.Row {
	var rows []coverage.Row
	for _, k := range keys {
		rows = append(rows, coverage.Row{Key: k, Value: value})
	}
	return rows
}

// TestMerge guards against mixed versions, keys counted twice and wrong coverage,
// when parts overlap, repeat or exceed their ranges.
func TestMerge(t *testing.T) {
	r := func(from, to uint32) []coverage.Range { return []coverage.Range{{From: from, To: to}} }
	tests := []struct {
		name    string
		parts   []coverage.Part
		covered uint32
		rows    int
		epoch   uint64
	}{
		{"another version", []coverage.Part{{Version: 6, Ranges: r(0, 5), Rows: rowsOf("6", 1)}}, 0, 0, 0},
		{"unknown group", []coverage.Part{{Group: 2, Version: 7, Ranges: r(0, 5), Rows: rowsOf("7", 1)}}, 0, 0, 0},
		{"outside the key space", []coverage.Part{{Version: 7, Epoch: 1, Ranges: r(8, 15), Rows: rowsOf("7", 9, 12)}}, 2, 1, 1},
		{"row outside the ranges of its part", []coverage.Part{{Version: 7, Epoch: 1, Ranges: r(0, 5), Rows: rowsOf("7", 4, 5)}}, 5, 1, 1},
		{"overlap", []coverage.Part{
			{Group: 0, Version: 7, Epoch: 1, Ranges: r(0, 6), Rows: rowsOf("a", 4, 5)},
			{Group: 1, Version: 7, Epoch: 3, Ranges: r(4, 10), Rows: rowsOf("b", 4, 5, 9)},
		}, 10, 3, 3},
		{"duplicate with an older epoch", []coverage.Part{
			{Version: 7, Epoch: 2, Ranges: r(0, 6), Rows: rowsOf("a", 4)},
			{Version: 7, Epoch: 1, Ranges: r(0, 6), Rows: rowsOf("a", 4)},
		}, 6, 1, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			m := coverage.NewMerge(7, 10, 2)
			for _, p := range tt.parts {
				m.Add(p)
			}
			if got := m.Covered(); got != tt.covered {
				t.Errorf("Covered() = %d, want %d", got, tt.covered)
			}
			if got := len(m.Rows()); got != tt.rows {
				t.Errorf("%d rows, want %d", got, tt.rows)
			}
			if got := m.MaxEpoch(); got != tt.epoch {
				t.Errorf("MaxEpoch() = %d, want %d", got, tt.epoch)
			}
			if got, want := m.Complete(), tt.covered == 10; got != want {
				t.Errorf("Complete() = %v, want %v", got, want)
			}
			var missing uint32
			for _, g := range m.Missing() {
				missing += g.Len()
			}
			if got, want := missing, m.Expected()-m.Covered(); got != want {
				t.Errorf("Missing() has %d keys, want %d", got, want)
			}
		})
	}
}
