package admission

import (
	"lentillink.example/lentillink/clock"
	"lentillink.example/lentillink/preset"
)

const (
	// defaultTargetWaitMs is the target for services with an unknown or short service
	// time. Longer service times get a proportional target.
	defaultTargetWaitMs clock.Millis = 4
	defaultIntervalMs   clock.Millis = 100
)

type config struct {
	services     []serviceConfig
	preset       preset.Preset
	targetWaitMs clock.Millis
	intervalMs   clock.Millis
}

type serviceConfig struct {
	name    string
	initial int
	maximum int
}

// Option configures a Controller.
type Option func(*config)

// WithService adds a service whose limit starts at initial sub-requests and never
// exceeds maximum.
func WithService(name string, initial, maximum int) Option {
	return func(c *config) {
		c.services = append(c.services, serviceConfig{name: name, initial: initial, maximum: maximum})
	}
}

// WithPreset sets the initial preset.
func WithPreset(p preset.Preset) Option { return func(c *config) { c.preset = p } }

// WithTargetWait sets the lower bound of the target, the mean queue wait at the
// carriers above which the limit decreases.
func WithTargetWait(ms clock.Millis) Option { return func(c *config) { c.targetWaitMs = ms } }

// WithAdjustInterval sets the minimum time between two adjustments of the limit.
func WithAdjustInterval(ms clock.Millis) Option { return func(c *config) { c.intervalMs = ms } }

func newConfig(opts []Option) config {
	c := config{preset: defaultPreset(), targetWaitMs: defaultTargetWaitMs, intervalMs: defaultIntervalMs}
	for _, opt := range opts {
		opt(&c)
	}
	return c
}

func defaultPreset() preset.Preset {
	return preset.Preset{
		Name:     "default",
		Urgent:   preset.RankPolicy{DeadlineMs: clock.Second, FloorPercent: 50, QueueRequests: 256},
		Ordinary: preset.RankPolicy{DeadlineMs: 3 * clock.Second, FloorPercent: 25, QueueRequests: 256},
		Patient:  preset.RankPolicy{DeadlineMs: 30 * clock.Second, FloorPercent: 10, QueueRequests: 1024},
	}
}
