// Package load sends seeded open-loop request mixes to entries and reports
// whether every answer was whole and the caller's own, how refusals were
// worded, and latency percentiles measured from each request's planned start,
// so that a stalled sender hides nothing.
package load
