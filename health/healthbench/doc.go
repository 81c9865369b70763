// Package healthbench drives the health and balance libraries over virtual time
// with seeded requests, faults and lost messages, and measures how fast failing
// servers leave service and how often healthy ones do. It models the requests
// of a service, the slots of its servers and the delays between them, and
// nothing else of a fleet.
package healthbench
