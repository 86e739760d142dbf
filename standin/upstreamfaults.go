package standin

import (
	"encoding/json"
	"fmt"
	"time"

	"lentillink.example/lentillink/coverage"
)

// Bounds of the values that faults take.
const (
	maxFactor  = 1000
	maxWorkers = 1 << 20
	maxVersion = 1 << 53 // exact in JSON numbers
)

func (u *Upstream) faults() switches {
	b := &u.b
	return switches{
		boolFault("down", u.setDown),
		countFault("limit", 0, maxWorkers, always(u.setLimit)),
		u.delayFault("connect_ms", &u.connect),
		u.floatFault("median_ms", maxDelayMs, &b.medianMs),
		u.floatFault("sigma", 5, &b.sigma),
		u.floatFault("slow_factor", maxFactor, &b.slowFactor),
		u.floatFault("slow_share", 1, &b.slowShare),
		u.floatFault("slow_share_factor", maxFactor, &b.slowShareFactor),
		numberFault("cold_ms", 0, maxDelayMs, func(ms float64) {
			u.locked(func() { b.coldUntil = time.Now().Add(millis(ms)) })
		}),
		u.floatFault("cold_factor", maxFactor, &b.coldFactor),
		countFault("workers", 0, maxWorkers, always(func(n uint64) { u.slots.setWorkers(int(n)) })),
		countFault("shed_above", 0, maxWorkers, always(func(n uint64) { u.locked(func() { b.shedAbove = int(n) }) })),
		u.flagFault("leaving", &b.leaving),
		countFault("hold", 1, maxVersion, always(u.AddVersion)),
		countFault("drop", 1, maxVersion, always(u.RemoveVersion)),
		{name: "ranges", accepts: `{"epoch": 2, "ranges": [{"from": 0, "to": 10}]}`, set: u.setRanges},
		u.timeFault("load_lag_ms", &b.loadLag),
		u.flagFault("load_lies", &b.loadLies),
		u.timeFault("late_ms", &b.late),
		u.floatFault("late_share", 1, &b.lateShare),
		u.floatFault("crossed_share", 1, &b.crossedShare),
		u.floatFault("cut_share", 1, &b.cutShare),
		u.floatFault("doubled_share", 1, &b.doubledShare),
	}
}

func (u *Upstream) locked(f func()) {
	u.data.Lock()
	defer u.data.Unlock()
	f()
}

func (u *Upstream) floatFault(name string, high float64, field *float64) fault {
	return numberFault(name, 0, high, func(v float64) { u.locked(func() { *field = v }) })
}

func (u *Upstream) timeFault(name string, field *time.Duration) fault {
	return numberFault(name, 0, maxDelayMs, func(ms float64) { u.locked(func() { *field = millis(ms) }) })
}

func (u *Upstream) flagFault(name string, field *bool) fault {
	return boolFault(name, func(v bool) error {
		u.locked(func() { *field = v })
		return nil
	})
}

func (u *Upstream) setLimit(n uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.limit = int(n)
}

type rangesDoc struct {
	Epoch  uint64           `json:"epoch"`
	Ranges []coverage.Range `json:"ranges"`
}

func (u *Upstream) setRanges(raw json.RawMessage) error {
	var doc rangesDoc
	if err := decodeStrict(raw, &doc); err != nil {
		return err
	}
	if doc.Epoch == 0 {
		return fmt.Errorf("epoch is 0, want a whole number above it")
	}
	for i, r := range doc.Ranges {
		if r.Len() == 0 {
			return fmt.Errorf("ranges[%d] is empty or reversed", i)
		}
	}
	u.SetRanges(doc.Epoch, doc.Ranges...)
	return nil
}
