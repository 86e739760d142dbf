package entry

import (
	"lentillink.example/lentillink/timeline"
)

// logEvent logs an event as key-value pairs. Empty fields are omitted.
func (v *VM) logEvent(ev timeline.Event) {
	kv := []any{"event", string(ev.Kind), "wall_ms", int64(ev.Timestamp.WallMs), "logical", ev.Timestamp.Logical, "vm", ev.VM, "revision", ev.Revision}
	add := func(key, value string) {
		if value != "" {
			kv = append(kv, key, value)
		}
	}
	add("request", ev.Request)
	add("rank", ev.Rank)
	add("upstream", ev.Upstream)
	add("detail", ev.Detail)
	_ = v.logger.Log(kv...)
}
