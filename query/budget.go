package query

import "lentillink.example/lentillink/rank"

const (
	// defaultHedgeBurst covers a short slow period of one upstream.
	defaultHedgeBurst = 50
	// defaultRetryBurst covers the attempts in flight to an upstream that fails.
	defaultRetryBurst = 200
	// A refusal that proved not run cost the upstream almost nothing, so the
	// first retry after one takes only this part of a token.
	refusedRetryCost = 0.1
)

// bucket is a token bucket that is filled by needed attempts instead of time.
type bucket struct {
	tokens float64
	burst  float64
}

func (b *bucket) earn(n float64) { b.tokens = min(b.tokens+n, b.burst) }

func (b *bucket) take(n float64) bool {
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// fill returns how full the bucket is, from 0 to 1.
func (b *bucket) fill() float64 {
	if b.burst <= 0 {
		return 0
	}
	return b.tokens / b.burst
}

type budget struct {
	hedges  bucket
	retries bucket
}

func newBudgets(hedges, retries float64) rank.Table[budget] {
	b := budget{
		hedges:  bucket{tokens: hedges, burst: hedges},
		retries: bucket{tokens: retries, burst: retries},
	}
	return rank.NewTable(b, b, b)
}
