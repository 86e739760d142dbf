package httpup_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"lentillink.example/lentillink/attempt"
	"lentillink.example/lentillink/coverage"
	"lentillink.example/lentillink/upstream/httpup"
)

// BenchmarkDecodeReply decodes a reply of ten rows, which the carrier (the VM
// that owns the connections to an upstream) does once per sub-request.
func BenchmarkDecodeReply(b *testing.B) {
	id := attempt.ID{VM: "vm-1", Incarnation: 1 << 60, Seq: 77}
	doc := httpup.ReplyDoc{Attempt: id, Status: httpup.StatusOK, Execution: attempt.Executed, Version: 3, Epoch: 2,
		Ranges: []coverage.Range{{From: 0, To: 500}}, HeldVersions: []uint64{2, 3}}
	for i := range uint32(10) {
		doc.Rows = append(doc.Rows, coverage.Row{Key: i, Value: fmt.Sprintf("v3/%d", i)})
	}
	body, err := json.Marshal(doc)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := httpup.DecodeReply(id, body); err != nil {
			b.Fatal(err)
		}
	}
}
