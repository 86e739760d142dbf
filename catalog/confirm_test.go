package catalog_test

import (
	"fmt"
	"testing"

	"lentillink.example/lentillink/catalog"
	"lentillink.example/lentillink/clock"
)

// TestConfirm guards against a VM that starts later than it could, because the read that ends
// its wait begins only after a watch that began just before.
func TestConfirm(t *testing.T) {
	const afterMs clock.Millis = 4000
	tests := []struct {
		name    string
		everyMs clock.Millis // between two changes in the store; 0 for none
	}{
		{"quiet store", 0},
		{"changes", 700},
		{"many changes", 30},
	}
	for _, tt := range tests {
		for offset := clock.Millis(0); offset < 1200; offset += 90 {
			t.Run(fmt.Sprintf("%s, %d ms", tt.name, offset), func(t *testing.T) {
				m := catalog.New(1)
				now, revision, calls := clock.Millis(1000), uint64(10), 0
				var reply catalog.Msg
				var replyAt clock.Millis
				update := func(msg catalog.Msg) {
					for _, cmd := range m.Update(now, msg) {
						switch c := cmd.(type) {
						case catalog.ListCmd:
							calls++
							reply, replyAt = catalog.ListedMsg{Page: c, Batch: batch(revision)}, now+storeMs
						case catalog.WatchCmd:
							calls++
							reply, replyAt = catalog.WatchedMsg{Batch: batch(revision)}, now+storeMs+c.WaitMs
							if tt.everyMs > 0 && now%tt.everyMs+c.WaitMs >= tt.everyMs {
								revision++
								reply, replyAt = catalog.WatchedMsg{Batch: batch(revision, item("a", revision))}, now-now%tt.everyMs+tt.everyMs+storeMs
							}
						}
					}
				}
				run := func(until func() bool) {
					for ; !until(); now++ {
						if reply != nil && now >= replyAt {
							msg := reply
							reply = nil
							update(msg)
						}
						if at, ok := m.NextWake(); ok && at <= now {
							update(catalog.TickMsg{})
						}
					}
				}
				update(catalog.TickMsg{})
				run(func() bool { return m.ConfirmedAt() > 0 && now >= 3000+offset })
				at := m.ConfirmedAt() + afterMs
				calls = 0
				update(catalog.ConfirmMsg{At: at})
				run(func() bool { return m.ConfirmedAt() >= at })
				if want := at + 3*storeMs; now > want {
					t.Errorf("got a confirmation of %d at %d, want it at most at %d", at, now, want)
				}
				if limit := int(afterMs/100) / 5; calls > limit {
					t.Errorf("got %d calls, want at most %d", calls, limit)
				}
				calls, at = 0, now+8000
				run(func() bool { return now >= at })
				if limit := 12; calls > limit {
					t.Errorf("got %d calls in 8 s afterwards, want at most %d", calls, limit)
				}
			})
		}
	}
}
