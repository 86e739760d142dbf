package query

import "lentillink.example/lentillink/rank"

const (
	// defaultHedgeBurst covers a short slow period of one upstream.
	defaultHedgeBurst = 50
	// defaultRetryBurst covers the attempts in flight to an upstream that fails.
	defaultRetryBurst = 200
	// A refusal that proved not run cost the upstream almost nothing, so the
	// first retry after one takes only this part of a token.
	notExecutedRetryCost = 0.1
)

// tokenBucket is a token bucket that is filled by needed attempts instead of time.
type tokenBucket struct {
	tokens float64
	burst  float64
}

func (b *tokenBucket) refill(n float64) { b.tokens = min(b.tokens+n, b.burst) }

func (b *tokenBucket) take(n float64) bool {
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

// fillLevel returns how full the bucket is, from 0 to 1.
func (b *tokenBucket) fillLevel() float64 {
	if b.burst <= 0 {
		return 0
	}
	return b.tokens / b.burst
}

type budget struct {
	hedges  tokenBucket
	retries tokenBucket
}

func newBudgets(hedges, retries float64) rank.Table[budget] {
	b := budget{
		hedges:  tokenBucket{tokens: hedges, burst: hedges},
		retries: tokenBucket{tokens: retries, burst: retries},
	}
	return rank.NewTable(b, b, b)
}
