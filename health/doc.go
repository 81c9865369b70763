// Package health judges backend servers by what callers' requests met. It is
// deterministic: time, reports and verdicts are passed in, decisions come out.
//
// A View is the part in each entry. It counts how the VM's own requests ended
// at each server of a service, makes reports of the counts, follows the
// verdicts of the service's home, and says which servers may be chosen.
//
// A Judge is the part in the home of a service, the VM that collects the
// reports of all VMs. Two VMs may believe to be the home at once; a View
// follows one Judge at a time and its verdicts expire unless renewed.
//
// # Tests
//
// Each request is one observation. For each server four sequential tests
// (CUSUM) add up the log-likelihood ratio of the observations under "failing"
// and "like the other servers": errors on a tenth of requests, on most of them,
// latency three times and nine or more times that of the pool. A test that
// starts anew whenever its sum falls to zero raises a false alarm at most once
// in exp(threshold) observations, so the threshold follows from the wanted rate
// of false ejections and the rate of observations (Policy.threshold).
//
// # Scopes
//
// The same tests run over the observations of the fleet and of each
// availability zone (in the Judge) and of one VM (in its View). An alarm counts
// only if enough of it is left without the part that complains loudest;
// otherwise the path of that part is at fault, and only that part avoids the
// server. An alarm that the other servers share is a common cause and counts
// for nobody.
//
// # Floor
//
// Capacity is the number of servers that are neither ejected, draining nor in
// slow start. Enforce cuts every set of ejections down so that the capacity
// stays at or above the floor; the Judge applies it to its verdicts and each
// View again to everything it has been told and has found itself.
package health
