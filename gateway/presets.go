package gateway

import (
	"context"
	"encoding/json"
	"net/http"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/entry"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/relay"
)

// setPresets applies a committed preset record if it is newer than the one in force.
func (g *Gateway) setPresets(ioCtx context.Context, rec preset.Record) {
	if old := g.presets.Load(); old != nil && !supersedes(rec, *old) {
		return
	}
	g.presets.Store(&rec)
	g.presetRevision = rec.Revision
	g.stepRestorer(ioCtx, preset.KnownMsg{Record: rec})
	g.stepRelay(relay.PresetMsg{Preset: rec.CurrentPreset()})
	_ = g.logger.Log("event", "preset_in_force", "preset", rec.InForce, "revision", rec.Revision,
		"author", rec.Author, "reason", rec.Reason)
}

// supersedes reports whether a record is newer than another one. After a return of the store
// from an older copy, operators may make another change with the revision of a lost one. Of
// the two only that one is read from the store.
func supersedes(rec, old preset.Record) bool {
	return rec.Revision > old.Revision || rec.Revision == old.Revision && rec.ChangeID != old.ChangeID
}

// servePresets answers with the preset record in force.
func (g *Gateway) servePresets(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, g.presets.Load())
}

// servePresetChange applies an operator's change to the preset record in the store.
func (g *Gateway) servePresetChange(w http.ResponseWriter, r *http.Request) {
	var change preset.Change
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, preset.MaxRecordBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&change); err != nil {
		writeJSON(w, http.StatusBadRequest, entry.ErrorDocument{Error: err.Error()})
		return
	}
	change.At = clock.System{}.Now()
	result := entry.ApplyChange(r.Context(), g.store, clock.System{}, change, *g.presets.Load())
	g.postEra()
	if result.Record.Revision > 0 {
		g.post(loopMsg{presets: &result.Record})
	}
	writeJSON(w, entry.ChangeStatus(result), entry.NewChangeDocument(result))
}

func writeJSON(w http.ResponseWriter, status int, doc any) {
	data, err := json.Marshal(doc)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
