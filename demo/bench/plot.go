package bench

import (
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
)

// WritePlot draws the latency at each percentile of both variants. Format is png or svg.
func (r *Result) WritePlot(w io.Writer, format string) error {
	p := plot.New()
	p.Title.Text = "Latency of one entry VM"
	p.X.Label.Text = "percentile"
	p.Y.Label.Text = "ms"
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	if err := plotutil.AddLines(p, r.HedgingOff.Name, r.HedgingOff.points(), r.HedgingOn.Name, r.HedgingOn.points()); err != nil {
		return err
	}
	to, err := p.WriterTo(plotWidth, plotHeight, format)
	if err != nil {
		return err
	}
	_, err = to.WriteTo(w)
	return err
}

func (v *Variant) points() plotter.XYs {
	var xys plotter.XYs
	for q := 1.0; q < 100; q += 0.5 {
		xys = append(xys, plotter.XY{X: q, Y: float64(v.latency.ValueAtQuantile(q)) / 1000})
	}
	return xys
}
