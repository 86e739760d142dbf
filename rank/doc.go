// Package rank defines the three ranks of work and a table with one value per rank.
package rank
