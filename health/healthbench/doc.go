// Package healthbench simulates the health and balance packages in virtual time
// with seeded requests, faults and lost messages. It measures how fast failing
// servers are taken out of service and how often healthy ones are. It models only
// the requests of a service, the slots of its servers, and the network delays.
package healthbench
