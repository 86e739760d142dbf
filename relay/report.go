package relay

// olderReportsAccepted is how many reports in a row, each newer than the one before, are
// accepted although the known one looks newer than all of them.
const olderReportsAccepted = 4

// olderLeavingAccepted replaces it for reports of an upstream that is leaving. Upstreams
// report about once a second, and users allow 3 s until a leaving one gets no more work.
const olderLeavingAccepted = 2

// isOlderThan reports whether u was reported before o, by its own counters.
func (u Upstream) isOlderThan(o Upstream) bool {
	if u.Incarnation != o.Incarnation {
		return u.Incarnation < o.Incarnation
	}
	return u.Sequence < o.Sequence
}

// olderReports counts the reports of an upstream that look older than the known one.
// Single ones are late. A series that continues shows that the known report was not
// written by the upstream, and its counters are too high.
type olderReports struct {
	last  Upstream
	count int
}

// outvote adds a report and reports whether it replaces the known one.
func (r *olderReports) outvote(u Upstream) bool {
	if r.count > 0 && !r.last.isOlderThan(u) {
		return false // late again, or repeated
	}
	r.last = u
	r.count++
	if u.Leaving {
		return r.count >= olderLeavingAccepted
	}
	return r.count >= olderReportsAccepted
}
