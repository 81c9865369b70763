// Package requestlog reads and writes the log lines of single requests. A gateway uses
// it to log the attempts of a request; lacewingctl explain uses it to find in collected
// logs why a request ended as it did.
package requestlog
