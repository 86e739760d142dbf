// Package preset defines presets, which set the deadline, capacity, queue
// length, retry budget and coverage of each request rank, and the record that
// selects the preset in force.
package preset
