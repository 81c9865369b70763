// Package daemon holds what every program of the fleet does alike: strict
// settings files, key=value logs, the admin endpoints and signal handling.
package daemon
