package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"

	"lentillink.example/lentillink/clock"
)

// Parameters of the connections experiment: the sizes of today's fleet.
const (
	connVMs      = 9
	connGroups   = 20
	connReplicas = 2
	connLimit    = 25
	connOpenMs   = 6
	connHopMs    = 1

	connMedianMs = 8.0
	connSigma    = 0.35

	// connBurstMs is the time for which the distribution of arrivals over the VMs stays the same.
	connBurstMs clock.Millis = 250

	connDeadlineMs clock.Millis = 2 * clock.Second
)

// connLoad is one load of the experiment. utilization is the fraction of the
// total capacity of all connections that the arrivals need.
type connLoad struct {
	name        string
	utilization float64
	durationMs  clock.Millis
	lagMs       clock.Millis // delay after which one VM sees another leave and join; 0 for no membership change
}

func connLoads() []connLoad {
	return []connLoad{
		{name: "1%", utilization: 0.01, durationMs: 40 * clock.Second}, // longer than the idle timeout
		{name: "30%", utilization: 0.30, durationMs: clock.Second},
		{name: "60%", utilization: 0.60, durationMs: clock.Second},
		{name: "80%", utilization: 0.80, durationMs: clock.Second},
		{name: "60%, view lags 2 s", utilization: 0.60, durationMs: 5 * clock.Second, lagMs: 2 * clock.Second},
		{name: "30%, view lags 4 s", utilization: 0.30, durationMs: 7 * clock.Second, lagMs: 4 * clock.Second},
	}
}

// connSubrequest is one sub-request. It is drawn once, so that both variants serve the same work.
type connSubrequest struct {
	replica   uint8
	serviceMs uint16
}

// connArrival is one query with a sub-request to each of the 20 groups.
type connArrival struct {
	at          clock.Millis
	vm          int
	subrequests [connGroups]connSubrequest
}

// Connections compares a direct, static division of each upstream's connections
// among all VMs (baseline) with carriers (value) on the same arrivals.
func Connections(seed uint64) Report {
	report := Report{Name: "connections", Seed: seed}
	for i, load := range connLoads() {
		arrivals := connArrivals(rand.New(rand.NewPCG(seed, uint64(i))), load)
		static := runConnections(load, arrivals, false)
		carriers := runConnections(load, arrivals, true)
		reportConnections(&report, load, static, carriers)
	}
	return report
}

func reportConnections(report *Report, load connLoad, static, carriers connResult) {
	report.AddUnbounded("sub-request p50 at "+load.name, "ms", static.subrequestP50, carriers.subrequestP50)
	report.AddUnbounded("sub-request p99 at "+load.name, "ms", static.subrequestP99, carriers.subrequestP99)
	report.AddUnbounded("query p50 at "+load.name, "ms", static.queryP50, carriers.queryP50)
	report.AddUnbounded("query p99 at "+load.name, "ms", static.queryP99, carriers.queryP99)
	report.AddUnbounded("sub-requests not answered at "+load.name, "per 1000", static.failed, carriers.failed)
	report.AddUnbounded("connections opened at "+load.name, "per 1000", static.opened, carriers.opened)
	report.AtMost("open per upstream at "+load.name, "", static.maxOpen, carriers.maxOpen, connLimit)
	report.Notes = append(report.Notes, fmt.Sprintf("at %s: query p50 is better with %s, p99 with %s, openings with %s",
		load.name, betterVariant(static.queryP50, carriers.queryP50), betterVariant(static.queryP99, carriers.queryP99),
		betterVariant(static.opened, carriers.opened)))
}

func betterVariant(static, carriers float64) string {
	switch {
	case static < carriers:
		return "static shares"
	case carriers < static:
		return "carriers"
	default:
		return "neither"
	}
}

// connArrivals draws the arrivals of one load. The leaving VM receives no
// requests while it is not a member.
func connArrivals(rng *rand.Rand, load connLoad) []connArrival {
	meanMs := connMedianMs * math.Exp(connSigma*connSigma/2)
	perMs := load.utilization * connReplicas * connLimit / meanMs
	var arrivals []connArrival
	var weights [connVMs]float64
	burst := clock.Millis(-1)
	for at := rng.ExpFloat64() / perMs; at < float64(load.durationMs); at += rng.ExpFloat64() / perMs {
		now := clock.Millis(at)
		if now/connBurstMs != burst {
			burst = now / connBurstMs
			for i := range weights {
				weights[i] = 0.3 + rng.ExpFloat64()
			}
		}
		vm := connDrawVM(rng, weights, load.lagMs > 0 && now >= connLeaveAt && now < connJoinAt)
		arrivals = append(arrivals, connArrival{at: now, vm: vm, subrequests: connDrawSubrequests(rng)})
	}
	return arrivals
}

func connDrawVM(rng *rand.Rand, weights [connVMs]float64, excludeLeaving bool) int {
	if excludeLeaving {
		weights[connLeavingVM] = 0
	}
	total := 0.0
	for _, w := range weights {
		total += w
	}
	point := rng.Float64() * total
	for i, w := range weights {
		if point -= w; point < 0 {
			return i
		}
	}
	return 0
}

func connDrawSubrequests(rng *rand.Rand) (subs [connGroups]connSubrequest) {
	for i := range subs {
		ms := connMedianMs * math.Exp(connSigma*rng.NormFloat64())
		subs[i] = connSubrequest{replica: uint8(rng.IntN(connReplicas)), serviceMs: uint16(math.Ceil(ms))}
	}
	return subs
}
