// Package placement decides which backend server of a service runs a request and
// when, and which requests are refused. It is deterministic: the current time is
// passed in and decisions are returned; it uses no goroutine, socket or clock.
//
// A Broker holds the state of one service: the requests in flight at each server,
// its response times, the probability that each server is failing, the queue and
// the retry budget. The VM that owns the service runs one Broker for all VMs.
// Each VM also runs a Broker of its own, which sees only that VM's requests, for the
// time in which the owner does not answer.
//
// # Grants
//
// A grant reserves one slot of one server for one request. It ends with the
// request, or when its VM has not been heard from for grantLease, so that a VM
// that stops or is partitioned frees its slots. Two Brokers of one service may run
// at the same time: a server that gets more requests than it has slots refuses the
// excess without running it.
//
// # Failing servers
//
// For each server a Broker estimates the probability that it is failing. A fast
// failure sets it to 1 for the expected length of a failure period, and an answer
// sets it to 0; after that it returns to the usual share of failing servers while
// there are no outcomes. Servers are never removed because of this estimate: it is
// a cost, weighed against load, latency and distance, and a request accepts a higher
// probability the longer it has waited. So a suspect server stays unused while the
// others have free slots, and is used when they have none.
//
// # Limits of servers
//
// A server may name the requests per second that it accepts from all VMs together. A Broker
// grants no more than its part of that limit: the parts of the VMs that report to it, or that of
// its own VM while it decides alone. A server that has reached its limit is no candidate, and
// counts as in use. Expected waits, and so queues and refusals, follow the limits.
//
// # Retries
//
// A retry waits for the retry budget and a free slot as long as its deadline allows; the
// servers have not run its request, so waiting costs it only time. A retry that the budget
// is not expected to allow in time is refused at once.
//
// # Ranks
//
// Requests are ordered by the rank of their client account and then by that of their route.
// While requests to routes of more than one rank arrive at a service, lower ranks leave slots and
// retries to higher ones that are due, expected waits count only what precedes a request by
// rank, and each rank keeps a minimum share. Otherwise only the order of the queue
// depends on the rank.
//
// # Load shedding
//
// A request that would wait longer than its target latency allows is refused at
// once, with the time after which the queue is expected to be shorter.
package placement
