package ctl

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/requestlog"
)

// Size of a plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// plotAccount writes a plot of the requests of each second, and of the servers that
// owners avoided, to an SVG file.
func plotAccount(account *requestlog.Account, path string) error {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = "seconds", "requests, servers"
	p.Legend.Top = true
	for _, series := range []struct {
		name  string
		color color.RGBA
		value func(requestlog.SecondAccount) int
	}{
		{"served", color.RGBA{G: 128, A: 255}, func(s requestlog.SecondAccount) int { return s.Served }},
		{"refused", color.RGBA{R: 230, G: 140, A: 255}, func(s requestlog.SecondAccount) int { return s.Refused }},
		{"failed", color.RGBA{R: 200, A: 255}, func(s requestlog.SecondAccount) int { return s.Failed }},
		{"servers avoided", color.RGBA{B: 200, A: 255}, func(s requestlog.SecondAccount) int { return s.Avoided }},
	} {
		points := make(plotter.XYs, len(account.Seconds))
		for i, second := range account.Seconds {
			points[i] = plotter.XY{X: float64(second.Second), Y: float64(series.value(second))}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = series.color
		p.Add(line)
		p.Legend.Add(series.name, line)
	}
	if err := p.Save(plotWidth, plotHeight, path); err != nil {
		return errs.Wrap(err, errs.Invalid, "the plot cannot be written", "pass the path of a file that ends in .svg")
	}
	return nil
}
