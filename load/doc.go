// Package load sends seeded request mixes to entries and reports whether every
// answer was whole and the caller's own, how refusals were worded, latency
// percentiles, and what each client account got of what it was entitled to.
//
// A mix is open loop (a rate, with exponentially distributed gaps, whatever the
// answers do) or closed loop (a number of workers, each sending its next request
// when it has its answer). Latency of an open loop counts from each request's
// planned start, so that a stalled sender hides nothing. Latency of a closed
// loop counts from the real start; read its throughput instead.
//
// With addresses of backend servers as Settings.Direct, each mix is also sent
// there without the fleet: same payload, same loop, same run. What the fleet
// adds is always a difference between equal requests. An open loop sends both at
// the same time; a closed loop takes turns, so that neither slows the other.
package load
