package gateway

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/cost"
)

const (
	// placingPublishMs is how often the counts of estimates are passed to the metrics, and
	// placingLogMs how often they are logged.
	placingPublishMs = clock.Second
	placingLogMs     = clock.Minute
)

// placing publishes what estimates of cost are worth, on VMs that place by cost.
type placing struct {
	stats     atomic.Pointer[cost.Stats] // nil unless this VM places by cost
	estimates *prometheus.Desc
	choices   *prometheus.Desc
	ratio     *prometheus.Desc

	publishedAt, loggedAt clock.Millis
}

func newPlacing() *placing {
	desc := func(name, help string, labels ...string) *prometheus.Desc {
		return prometheus.NewDesc("lentillink_gateway_"+name, help, labels, nil)
	}
	return &placing{
		estimates: desc("cost_estimates_total", "Requests with and without an estimate of their cost.", "known"),
		choices:   desc("cost_choices_total", "Choices of upstreams by cost, and whether they would be others without estimates.", "changed"),
		ratio:     desc("cost_ratio", "Work of ended attempts as a multiple of its estimate."),
	}
}

// Describe implements prometheus.Collector.
func (p *placing) Describe(ch chan<- *prometheus.Desc) {
	ch <- p.estimates
	ch <- p.choices
	ch <- p.ratio
}

// Collect implements prometheus.Collector.
func (p *placing) Collect(ch chan<- prometheus.Metric) {
	s := p.stats.Load()
	if s == nil {
		return
	}
	counter := func(d *prometheus.Desc, n uint64, label string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), label)
	}
	counter(p.estimates, s.Known, "true")
	counter(p.estimates, s.Unknown, "false")
	counter(p.choices, s.Changed, "true")
	counter(p.choices, s.Choices-s.Changed, "false")
	total, buckets := uint64(0), make(map[float64]uint64)
	for i, n := range s.Samples {
		total += n
		if i < len(cost.Ratios) {
			buckets[cost.Ratios[i]] = total
		}
	}
	ch <- prometheus.MustNewConstHistogram(p.ratio, total, s.RatioSum, buckets)
}

// publishPlacing passes the counts of estimates to the metrics and the log, now and then.
func (g *Gateway) publishPlacing(now clock.Millis) {
	p := g.metrics.placing
	if !g.relayModel.PlacesByCost() || now-p.publishedAt < placingPublishMs && now >= p.publishedAt {
		return
	}
	s := g.relayModel.CostStats()
	p.publishedAt = now
	p.stats.Store(&s)
	if now-p.loggedAt >= placingLogMs || now < p.loggedAt {
		p.loggedAt = now
		_ = g.logger.Log("event", "placing_by_cost", "known", s.Known, "unknown", s.Unknown, "choices", s.Choices, "changed", s.Changed, "ratio_sum", int64(s.RatioSum))
	}
}
