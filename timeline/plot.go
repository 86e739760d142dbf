package timeline

import (
	"image/color"
	"io"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
)

// Plot sizes.
const (
	plotWidth     = 28 * vg.Centimeter
	rowHeight     = 1.2 * vg.Centimeter
	plotMargin    = 5 * vg.Centimeter
	markerRadius  = 3 * vg.Millimeter / 2
	legendPadding = 2 * vg.Millimeter
)

// WritePlot draws merged events as one row per VM and one colour per kind.
// The format is an image type that gonum plot knows, such as "png" or "svg".
func WritePlot(w io.Writer, events []Event, format string) error {
	vms, kinds := axes(events)
	p := plot.New()
	p.Title.Text = "events by VM"
	p.X.Label.Text = "seconds since the first event"
	p.NominalY(vms...)
	p.Legend.Top = true
	p.Legend.Padding = legendPadding
	for i, kind := range kinds {
		s, err := plotter.NewScatter(points(events, vms, kind))
		if err != nil {
			return newError("plot", KindInvalid, err)
		}
		s.GlyphStyle = draw.GlyphStyle{Color: glyphColor(i), Radius: markerRadius, Shape: plotutil.Shape(i)}
		p.Add(s)
		p.Legend.Add(string(kind), s)
	}
	height := plotMargin + rowHeight*vg.Length(max(len(vms), len(kinds)/2))
	wt, err := p.WriterTo(plotWidth, height, format)
	if err != nil {
		return newError("plot", KindInvalid, err)
	}
	if _, err := wt.WriteTo(w); err != nil {
		return newError("plot", KindIO, err)
	}
	return nil
}

func glyphColor(i int) color.Color { return plotutil.Color(i) }

func axes(events []Event) (vms []string, kinds []Kind) {
	for _, ev := range events {
		if !slices.Contains(vms, ev.VM) {
			vms = append(vms, ev.VM)
		}
		if !slices.Contains(kinds, ev.Kind) {
			kinds = append(kinds, ev.Kind)
		}
	}
	slices.Sort(vms)
	slices.Sort(kinds)
	return vms, kinds
}

func points(events []Event, vms []string, kind Kind) plotter.XYs {
	var xys plotter.XYs
	for _, ev := range events {
		if ev.Kind != kind {
			continue
		}
		xys = append(xys, plotter.XY{
			X: float64(ev.Timestamp.WallMs-events[0].Timestamp.WallMs) / 1000,
			Y: float64(slices.Index(vms, ev.VM)),
		})
	}
	return xys
}
