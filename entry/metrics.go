package entry

import (
	"github.com/prometheus/client_golang/prometheus"

	"lentillink.example/lentillink/timeline"
	"lentillink.example/lentillink/vm"
)

// metrics holds the Prometheus collectors. Every label has a small, fixed set of values.
type metrics struct {
	queries        *prometheus.CounterVec
	orders         *prometheus.CounterVec
	refusals       *prometheus.CounterVec
	attempts       *prometheus.CounterVec
	attemptsNeeded *prometheus.CounterVec
	queryDuration  *prometheus.HistogramVec
	events         *prometheus.CounterVec
	revision       prometheus.Gauge
	ready          prometheus.Gauge
}

// latencyBuckets are in seconds and finest around the latency target of 180 ms.
var latencyBuckets = []float64{0.005, 0.01, 0.02, 0.04, 0.08, 0.12, 0.18, 0.25, 0.5, 1, 2, 5, 15, 60}

func newMetrics(reg *prometheus.Registry) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "lentillink", Name: name, Help: help}, labels)
		reg.MustRegister(c)
		return c
	}
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "lentillink", Name: name, Help: help})
		reg.MustRegister(g)
		return g
	}
	m := &metrics{
		queries:        counter("queries_total", "Queries answered, by rank and outcome.", "rank", "outcome"),
		orders:         counter("orders_total", "Orders answered, by outcome and whether they ran.", "outcome", "ran"),
		refusals:       counter("refusals_total", "Requests refused, by rank and reason.", "rank", "reason"),
		attempts:       counter("attempts_total", "Attempts sent for answered queries.", "rank"),
		attemptsNeeded: counter("attempts_needed_total", "Attempts that answered queries needed: one per group.", "rank"),
		events:         counter("events_total", "Events of the time line, by kind.", "kind"),
		revision:       gauge("preset_revision", "Revision of the preset record in force."),
		ready:          gauge("ready", "1 if the VM is ready for the balancer."),
		queryDuration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "lentillink", Name: "query_duration_seconds", Help: "Time from arrival to answer.", Buckets: latencyBuckets,
		}, []string{"rank"}),
	}
	reg.MustRegister(m.queryDuration)
	return m
}

// refusalReasons are the values of the label reason. All others are counted as
// "other", so that arbitrary text in a reason cannot create time series.
var refusalReasons = map[string]bool{
	vm.ReasonNotReady: true, vm.ReasonUnknownService: true, "queue_full": true, "displaced": true, "too_late": true,
	"draining": true, "duplicate_id": true,
}

func refusalLabel(reason string) string {
	if refusalReasons[reason] {
		return reason
	}
	return "other"
}

func (m *metrics) observeQuery(a vm.QueryAnswer) {
	r := a.Rank.String()
	m.queries.WithLabelValues(r, string(a.Outcome)).Inc()
	if a.Outcome == vm.Refused {
		m.refusals.WithLabelValues(r, refusalLabel(a.Reason)).Inc()
		return
	}
	m.attempts.WithLabelValues(r).Add(float64(a.Attempts))
	m.attemptsNeeded.WithLabelValues(r).Add(float64(a.AttemptsNeeded))
	m.queryDuration.WithLabelValues(r).Observe(a.TookMs.Duration().Seconds())
}

func (m *metrics) observeOrder(a vm.OrderAnswer) {
	m.orders.WithLabelValues(string(a.Outcome), a.Execution.String()).Inc()
}

func (m *metrics) countEvent(kind timeline.Kind) { m.events.WithLabelValues(string(kind)).Inc() }

// updateGauges sets the gauges from the core. It is called for each scrape.
func (m *metrics) updateGauges(core *vm.Core) {
	_, revision := core.Preset()
	m.revision.Set(float64(revision))
	ready, _ := core.Ready()
	m.ready.Set(0)
	if ready {
		m.ready.Set(1)
	}
}
