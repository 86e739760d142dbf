package standin

import (
	"time"

	"lentillink.example/lentillink/coverage"
)

// StoreOption configures a Store.
type StoreOption func(*Store)

// WithStoreAddress sets the address; the default is a free port on loopback.
func WithStoreAddress(address string) StoreOption { return func(s *Store) { s.address = address } }

// WithRateLimits sets the accepted writes and reads per second; 0 means no limit.
func WithRateLimits(writes, reads int) StoreOption {
	return func(s *Store) { s.writes.rate, s.reads.rate = float64(writes), float64(reads) }
}

// VMListOption configures a VMList.
type VMListOption func(*VMList)

// WithVMListAddress sets the address; the default is a free port on loopback.
func WithVMListAddress(address string) VMListOption { return func(l *VMList) { l.address = address } }

// WithLag sets the milliseconds after which a change of the list becomes visible.
func WithLag(ms float64) VMListOption { return func(l *VMList) { l.lag = millis(ms) } }

// UpstreamOption configures an Upstream.
type UpstreamOption func(*Upstream)

// WithServiceTime sets the median in milliseconds and the shape parameter sigma
// of the log-normal service time.
func WithServiceTime(medianMs, sigma float64) UpstreamOption {
	return func(u *Upstream) { u.behaviour.medianMs, u.behaviour.sigma = medianMs, sigma }
}

// WithSlowShare multiplies the service times of a share of requests, from 0 to 1, by factor.
func WithSlowShare(share, factor float64) UpstreamOption {
	return func(u *Upstream) { u.behaviour.slowShare, u.behaviour.slowShareFactor = share, factor }
}

// WithSlowFactor multiplies every service time.
func WithSlowFactor(factor float64) UpstreamOption {
	return func(u *Upstream) { u.behaviour.slowFactor = factor }
}

// WithColdStart multiplies service times by factor for the first ms.
func WithColdStart(ms, factor float64) UpstreamOption {
	return func(u *Upstream) { u.behaviour.coldUntil, u.behaviour.coldFactor = time.Now().Add(millis(ms)), factor }
}

// WithWorkers sets how many requests run concurrently and how many may be
// queued; the upstream sheds those above. 0 workers means no bound, and with
// shedAbove 0 it never sheds.
func WithWorkers(workers, shedAbove int) UpstreamOption {
	return func(u *Upstream) { u.behaviour.workers, u.behaviour.shedAbove = workers, shedAbove }
}

// WithHeldVersions sets the snapshot versions that the upstream holds.
func WithHeldVersions(versions ...uint64) UpstreamOption {
	return func(u *Upstream) { u.behaviour.heldVersions = append([]uint64(nil), versions...) }
}

// WithRanges sets the epoch of the shard map and the key ranges of the upstream.
func WithRanges(epoch uint64, ranges ...coverage.Range) UpstreamOption {
	return func(u *Upstream) {
		u.behaviour.epoch, u.behaviour.ranges = epoch, append([]coverage.Range(nil), ranges...)
	}
}

// WithRows sets how many rows a reply contains per range.
func WithRows(n int) UpstreamOption { return func(u *Upstream) { u.rowsPerRange = uint32(max(n, 0)) } }

// WithSeed sets the seed of the random numbers for service times and reply faults.
func WithSeed(seed uint64) UpstreamOption { return func(u *Upstream) { u.seed = seed } }

// DeploymentOption configures a Deployment.
type DeploymentOption func(*Deployment)

// WithControlAddress sets the address of the HTTP interface that injects faults;
// the default is a free port on loopback.
func WithControlAddress(address string) DeploymentOption {
	return func(d *Deployment) { d.controlAddress = address }
}

// WithFreePorts serves everything on free ports; Settings then returns the addresses in use.
func WithFreePorts() DeploymentOption { return func(d *Deployment) { d.freePorts = true } }

// WithUpstreamOptions applies opts to every upstream.
func WithUpstreamOptions(opts ...UpstreamOption) DeploymentOption {
	return func(d *Deployment) { d.upstreamOptions = append(d.upstreamOptions, opts...) }
}

// WithStoreOptions applies opts to the store.
func WithStoreOptions(opts ...StoreOption) DeploymentOption {
	return func(d *Deployment) { d.storeOptions = append(d.storeOptions, opts...) }
}

// WithVMListOptions applies opts to the VM list.
func WithVMListOptions(opts ...VMListOption) DeploymentOption {
	return func(d *Deployment) { d.vmListOptions = append(d.vmListOptions, opts...) }
}
