package standin

import (
	"encoding/json"
	"fmt"
	"time"

	"lentillink.example/lentillink/coverage"
)

// Upper bounds of the values that faults accept.
const (
	maxFactor  = 1000
	maxWorkers = 1 << 20
	maxVersion = 1 << 53 // exact in JSON numbers
)

func (u *Upstream) faults() faultSet {
	b := &u.behaviour
	return faultSet{
		boolFault("down", u.setDown),
		countFault("limit", 0, maxWorkers, noError(u.setLimit)),
		u.delayFault("connect_ms", &u.setupTime),
		u.floatFault("median_ms", maxDelayMs, &b.medianMs),
		u.floatFault("sigma", 5, &b.sigma),
		u.floatFault("slow_factor", maxFactor, &b.slowFactor),
		u.floatFault("slow_share", 1, &b.slowShare),
		u.floatFault("slow_share_factor", maxFactor, &b.slowShareFactor),
		numberFault("cold_ms", 0, maxDelayMs, func(ms float64) {
			u.withLock(func() { b.coldUntil = time.Now().Add(millis(ms)) })
		}),
		u.floatFault("cold_factor", maxFactor, &b.coldFactor),
		countFault("workers", 0, maxWorkers, noError(func(n uint64) { u.queue.setWorkers(int(n)) })),
		countFault("shed_above", 0, maxWorkers, noError(func(n uint64) { u.withLock(func() { b.shedAbove = int(n) }) })),
		u.flagFault("leaving", &b.leaving),
		countFault("hold", 1, maxVersion, noError(u.AddVersion)),
		countFault("drop", 1, maxVersion, noError(u.RemoveVersion)),
		{name: "ranges", accepts: `{"epoch": 2, "ranges": [{"from": 0, "to": 10}]}`, set: u.setRanges},
		u.timeFault("load_lag_ms", &b.loadLag),
		u.flagFault("load_lies", &b.alwaysHealthy),
		u.timeFault("late_ms", &b.replyDelay),
		u.floatFault("late_share", 1, &b.delayedShare),
		u.floatFault("crossed_share", 1, &b.wrongAttemptShare),
		u.floatFault("cut_share", 1, &b.truncatedShare),
		u.floatFault("doubled_share", 1, &b.duplicatedShare),
	}
}

func (u *Upstream) withLock(f func()) {
	u.dataMu.Lock()
	defer u.dataMu.Unlock()
	f()
}

func (u *Upstream) floatFault(name string, high float64, field *float64) fault {
	return numberFault(name, 0, high, func(v float64) { u.withLock(func() { *field = v }) })
}

func (u *Upstream) timeFault(name string, field *time.Duration) fault {
	return numberFault(name, 0, maxDelayMs, func(ms float64) { u.withLock(func() { *field = millis(ms) }) })
}

func (u *Upstream) flagFault(name string, field *bool) fault {
	return boolFault(name, func(v bool) error {
		u.withLock(func() { *field = v })
		return nil
	})
}

func (u *Upstream) setLimit(n uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.connLimit = int(n)
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
		return fmt.Errorf("epoch is 0, want a whole number above 0")
	}
	for i, r := range doc.Ranges {
		if r.Len() == 0 {
			return fmt.Errorf("ranges[%d] is empty or reversed, want from less than to", i)
		}
	}
	u.SetRanges(doc.Epoch, doc.Ranges...)
	return nil
}
