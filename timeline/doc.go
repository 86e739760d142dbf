// Package timeline records typed events of one VM and merges the events of all VMs.
package timeline
