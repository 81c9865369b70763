// Package load sends seeded mixes of requests to entries. It reports whether every
// response was complete and the caller's own, the outcomes and reasons of refusals,
// latency percentiles, and how many of the requests that its limit allows each client
// account got served.
//
// A mix is open loop or closed loop. An open loop sends at a rate, with exponentially
// distributed intervals that don't depend on the responses. In a closed loop, each of
// a number of workers sends its next request when it has the response to the one
// before. Latency of an open loop is measured from each request's planned start, so
// that it includes the delay of a stalled sender. Latency of a closed loop is measured
// from the actual start and omits such delays; compare its throughput instead.
//
// If Settings.Direct lists backend servers, each mix is also sent to them without the
// fleet, with the same payload and loop and in the same run, so that the overhead of
// the fleet is a difference between equal requests. An open loop sends to both at the
// same time. A closed loop alternates between them, so that neither slows the other.
package load
