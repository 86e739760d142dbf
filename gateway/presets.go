package gateway

import (
	"encoding/json"
	"net/http"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/entry"
	"lentillink.example/lentillink/preset"
	"lentillink.example/lentillink/relay"
)

// setPresets applies a preset record if it is newer than the one in force.
func (g *Gateway) setPresets(rec preset.Record) {
	if old := g.presets.Load(); old != nil && rec.Revision <= old.Revision {
		return
	}
	g.presets.Store(&rec)
	g.stepRelay(relay.PresetMsg{Preset: rec.CurrentPreset()})
	_ = g.logger.Log("event", "preset_in_force", "preset", rec.InForce, "revision", rec.Revision,
		"author", rec.Author, "reason", rec.Reason)
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
