package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Figure is one measured value with its baseline.
type Figure struct {
	Name     string  `json:"name"`
	Unit     string  `json:"unit"`
	Baseline float64 `json:"baseline"` // value of the same run without the tested mechanism
	Value    float64 `json:"value"`
	Bound    string  `json:"bound,omitempty"` // required bound as text; empty if there is none
	OK       bool    `json:"ok"`
}

// Report is the result of one experiment.
type Report struct {
	Name    string   `json:"name"`
	Seed    uint64   `json:"seed"`
	Figures []Figure `json:"figures"`
	Notes   []string `json:"notes,omitempty"`
}

// AtMost adds a figure with an upper bound.
func (r *Report) AtMost(name, unit string, baseline, value, bound float64) {
	r.Figures = append(r.Figures, Figure{
		Name: name, Unit: unit, Baseline: baseline, Value: value,
		Bound: fmt.Sprintf("<= %g", bound), OK: value <= bound,
	})
}

// AtLeast adds a figure with a lower bound.
func (r *Report) AtLeast(name, unit string, baseline, value, bound float64) {
	r.Figures = append(r.Figures, Figure{
		Name: name, Unit: unit, Baseline: baseline, Value: value,
		Bound: fmt.Sprintf(">= %g", bound), OK: value >= bound,
	})
}

// AddUnbounded adds a figure without a bound.
func (r *Report) AddUnbounded(name, unit string, baseline, value float64) {
	r.Figures = append(r.Figures, Figure{Name: name, Unit: unit, Baseline: baseline, Value: value, OK: true})
}

// OK reports whether every figure is within its bound.
func (r *Report) OK() bool {
	for _, f := range r.Figures {
		if !f.OK {
			return false
		}
	}
	return true
}

// Write prints the report as a table.
func (r *Report) Write(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "experiment %s seed %d\n", r.Name, r.Seed); err != nil {
		return err
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "figure\tbaseline\tvalue\tunit\tbound\tverdict")
	for _, f := range r.Figures {
		verdict := "ok"
		if !f.OK {
			verdict = "MISSED"
		}
		_, _ = fmt.Fprintf(tw, "%s\t%.4g\t%.4g\t%s\t%s\t%s\n", f.Name, f.Baseline, f.Value, f.Unit, f.Bound, verdict)
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, note := range r.Notes {
		if _, err := fmt.Fprintln(w, "note:", note); err != nil {
			return err
		}
	}
	return nil
}
