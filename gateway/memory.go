package gateway

const (
	// defaultMemoryBytes is the memory of the process that is assumed without a setting.
	defaultMemoryBytes = 256 << 20

	// bodyMemoryShare and replyMemoryShare are the divisors of the process's memory that
	// give the bounds of all bodies of callers, and of all replies of upstreams, that are
	// being read.
	bodyMemoryShare  = 8
	replyMemoryShare = 8
)
