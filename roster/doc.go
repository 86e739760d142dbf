// Package roster defines the interface to the platform's list of VMs. The list lags.
package roster
