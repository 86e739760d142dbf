// Package rank defines the three priority classes of requests, called ranks,
// and a table with one value per rank.
package rank
