// Package quantile estimates quantiles of recent samples in constant memory.
package quantile
