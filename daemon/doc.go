// Package daemon holds what the programs of the fleet have in common: strictly
// checked settings files, key=value logs, admin endpoints and signal handling.
package daemon
