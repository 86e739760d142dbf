package query

import "lentillink.example/lentillink/rank"

const (
	// defaultHedgeBurst is a number of hedges that covers a short slow period of one upstream.
	defaultHedgeBurst = 50
	// defaultRetryBurst is a number of retries that covers the attempts in
	// flight to an upstream when it fails.
	defaultRetryBurst = 200
	// notExecutedRetryCost is the part of a token that the first retry takes
	// after an attempt that is proven not executed, because such an attempt
	// cost the upstream almost nothing.
	notExecutedRetryCost = 0.1
)

// tokenBucket is refilled in proportion to the first attempts of the queries
// instead of time.
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

// fillLevel returns the tokens as a fraction of the burst, from 0 to 1.
func (b *tokenBucket) fillLevel() float64 {
	if b.burst <= 0 {
		return 0
	}
	return b.tokens / b.burst
}

// budget limits the hedges and retries of one rank.
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
