package gateway

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"lentillink.example/lentillink/relay"
)

// latencyBuckets holds bucket bounds in seconds. They surround the users'
// latency targets, 50 ms to 1.2 s.
var latencyBuckets = []float64{0.005, 0.01, 0.02, 0.03, 0.04, 0.05, 0.075, 0.1, 0.15, 0.25, 0.5, 1, 2, 4}

// loopStepBuckets holds bucket bounds in seconds. A step of over 50 ms delays the answers of
// all other requests by as much as the shortest latency target.
var loopStepBuckets = []float64{0.0001, 0.0005, 0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2}

// metrics holds the collectors. Every label has a small fixed set of values, which bounds
// the number of time series.
type metrics struct {
	registry      *prometheus.Registry
	requests      *prometheus.CounterVec
	lateAnswers   prometheus.Counter
	overShare     prometheus.Counter
	missingShards prometheus.Counter
	duration      *prometheus.HistogramVec
	events        *prometheus.CounterVec
	credit        *prometheus.CounterVec
	attempts      prometheus.Counter
	delegations   prometheus.Counter
	skippedItems  prometheus.Counter
	panics        prometheus.Counter
	configVersion prometheus.Gauge
	evacuated     prometheus.Gauge
	ready         prometheus.Gauge

	creditAsks     prometheus.Counter
	reserveCredits prometheus.Counter
	ownedGroups    prometheus.Gauge
	storeEra       prometheus.Gauge
	settledEra     prometheus.Gauge
	loopStep       prometheus.Histogram
	placing        *placing
	explanations   prometheus.Counter
}

func newMetrics() *metrics {
	m := &metrics{
		registry: prometheus.NewRegistry(), placing: newPlacing(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "lentillink", Subsystem: "gateway", Name: "requests_total", Help: "Requests answered, by outcome.",
		}, []string{"outcome"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "lentillink", Subsystem: "gateway", Name: "request_duration_seconds",
			Help: "Time from the end of the request to its answer, by outcome.", Buckets: latencyBuckets,
		}, []string{"outcome"}),
		loopStep: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: "lentillink", Subsystem: "gateway", Name: "loop_step_seconds",
			Help: "Time that a step of the event loop takes, during which no other request is handled.", Buckets: loopStepBuckets,
		}),
		events: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "lentillink", Subsystem: "gateway", Name: "events_total", Help: "Decisions, by kind.",
		}, []string{"kind"}),
		credit: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: "lentillink", Subsystem: "gateway", Name: "credit_decisions_total", Help: "Requests of customers with a limit, by decision.",
		}, []string{"decision"}),
	}
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "lentillink", Subsystem: "gateway", Name: name, Help: help})
		m.registry.MustRegister(c)
		return c
	}
	gauge := func(name, help string) prometheus.Gauge {
		g := prometheus.NewGauge(prometheus.GaugeOpts{Namespace: "lentillink", Subsystem: "gateway", Name: name, Help: help})
		m.registry.MustRegister(g)
		return g
	}
	m.registry.MustRegister(collectors.NewGoCollector(), m.requests, m.duration, m.loopStep, m.events, m.credit, m.placing)
	m.lateAnswers = counter("late_answers_total", "Answers after the target of their route.")
	m.overShare = counter("over_share_total", "Queries that were refused before the fan-out, of customers above their share.")
	m.missingShards = counter("missing_parts_total", "Shards that were left out of gathered answers.")
	m.attempts = counter("attempts_total", "Attempts sent to upstreams.")
	m.delegations = counter("handovers_total", "Groups of shards handed over to carriers.")
	m.skippedItems = counter("skipped_items_total", "Values of the store and messages of other VMs that could not be decoded and were left out.")
	m.panics = counter("panics_total", "Unexpected errors that ended one request, item, message or call.")
	m.configVersion = gauge("config_version", "Version of the configuration in force.")
	m.evacuated = gauge("evacuated_data_centres", "Data centres whose upstreams get nothing new.")
	m.creditAsks = counter("credit_asks_total", "Messages to other VMs that ask for or return credit of customers.")
	m.reserveCredits = counter("reserve_credits_total", "Credit that this VM granted as a deputy.")
	m.ownedGroups = gauge("owned_groups", "Groups of customers whose credit this VM grants.")
	m.explanations = counter("explanations_total", "Questions where a request would go.")
	m.ready = gauge("ready", "1 if the VM is ready for the balancer.")
	m.settledEra = gauge("store_settled_era", "Era of the store that is recorded as settled: nothing that was lost when it began is missing.")
	m.storeEra = gauge("store_era", "Era of the store: it rises each time the store comes back from an older copy.")
	return m
}

func (m *metrics) observe(a relay.Answer) {
	outcome := a.Outcome.String()
	m.requests.WithLabelValues(outcome).Inc()
	m.duration.WithLabelValues(outcome).Observe(a.TookMs.Duration().Seconds())
	m.missingShards.Add(float64(a.Missing))
	if a.Late {
		m.lateAnswers.Inc()
	}
	if a.Reason == relay.OverShare {
		m.overShare.Inc()
	}
}

// newAdminServer returns the server for metrics, presets and explanations.
func (g *Gateway) newAdminServer() *http.Server {
	mux := http.NewServeMux()
	scrape := promhttp.HandlerFor(g.metrics.registry, promhttp.HandlerOpts{})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, r *http.Request) {
		version, ready := uint64(0), 0.0
		if t := g.table.Load(); t != nil {
			version = t.Version()
		}
		if g.ready.Load() {
			ready = 1
		}
		g.metrics.configVersion.Set(float64(version))
		g.metrics.ready.Set(ready)
		scrape.ServeHTTP(w, r)
	})
	mux.HandleFunc("GET /v1/presets", g.servePresets)
	mux.HandleFunc("POST /v1/presets", g.servePresetChange)
	mux.HandleFunc("POST /v1/explain", g.serveExplain)
	return &http.Server{Handler: mux, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout, ErrorLog: discardLog(),
		MaxHeaderBytes: maxOperatorHeaderBytes, ConnState: resetWhenIdle}
}
