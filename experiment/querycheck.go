package experiment

import (
	"fmt"
	"strconv"
	"strings"

	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/query"
)

// rowTable holds one row per key for each version. The value of a row names its
// version and its key.
type rowTable map[uint64][]coverage.Row

func (t rowTable) rows(version uint64, ranges []coverage.Range) []coverage.Row {
	all := t[version]
	if all == nil {
		for k := range uint32(queryKeys) {
			all = append(all, coverage.Row{Key: k, Value: fmt.Sprintf("%d:%d", version, k)})
		}
		t[version] = all
	}
	var rows []coverage.Row
	for _, r := range ranges {
		rows = append(rows, all[r.From:r.To]...)
	}
	return rows
}

// mixesVersions reports whether an answer has rows of another version than its snapshot.
func mixesVersions(a query.Answer) bool {
	want := fmt.Sprintf("%d:", a.Snapshot)
	for _, row := range a.Rows {
		if !strings.HasPrefix(row.Value, want) {
			return true
		}
	}
	return false
}

// coverageIsCorrect checks an answer key by key: each key either has exactly one
// row or is reported as missing, and the counts and the outcome agree.
func coverageIsCorrect(a query.Answer) bool {
	rows := make([]int, queryKeys)
	for _, row := range a.Rows {
		if _, key, _ := strings.Cut(row.Value, ":"); key != strconv.Itoa(int(row.Key)) {
			return false
		}
		rows[row.Key]++
	}
	for _, gap := range a.Missing {
		for k := gap.From; k < gap.To; k++ {
			if rows[k] != 0 {
				return false
			}
			rows[k] = -1
		}
	}
	covered := 0
	for _, n := range rows {
		switch n {
		case 1:
			covered++
		case -1:
		default:
			return false
		}
	}
	complete := covered == queryKeys
	return a.Expected == queryKeys && int(a.Covered) == covered && (a.Outcome == query.Complete) == complete
}
