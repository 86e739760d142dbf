package admission_test

import (
	"testing"

	"lentillink.example/lentillink/admission"
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/rank"
)

// BenchmarkQuery measures one query that is queued and then runs.
func BenchmarkQuery(b *testing.B) {
	ctrl := admission.New(admission.WithService(testService, 1, 1), admission.WithPreset(testPreset(50, 25, 10)))
	ids := [2]string{"a", "b"}
	ctrl.Update(1, arrive("b", rank.Urgent))
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now := clock.Millis(i/100 + 1)
		ctrl.Update(now, arrive(ids[i%2], rank.Urgent))
		ctrl.Update(now, finish(ids[(i+1)%2]))
		ctrl.NextWake()
	}
}
