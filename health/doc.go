// Package health detects failing backend servers from the outcomes of callers'
// requests and ejects them. It is deterministic: the caller passes in the time,
// reports and verdicts.
//
// A View is the part in each entry process. It counts the outcomes of the VM's
// own requests to each server of a service, reports the counts to the owner of
// the service, applies the verdicts that the owner returns, and selects servers
// for requests.
//
// A Detector is the part in the owner of a service: the VM that collects the
// reports of all VMs. Its verdict lists the state of each server. Two VMs may act
// as owner at the same time; a View follows one Detector at a time, and a verdict
// expires unless it is renewed.
//
// # Tests
//
// Each request is one observation. For each server, four sequential tests (CUSUM)
// add up the log-likelihood ratio of the observations under the hypotheses
// "failing" and "like the other servers": errors on a tenth of the requests,
// errors on most of them, latency three times that of the other servers, and
// latency nine or more times theirs. A test that restarts whenever its sum falls
// to zero raises a false alarm at most once in exp(threshold) observations.
// The threshold is therefore derived from the accepted rate of false ejections
// and the rate of observations (see threshold).
//
// # Scopes
//
// The same tests run over the observations of all VMs and of each availability
// zone (in the Detector), and of one VM (in its View). An alarm counts only if
// enough of its sum remains without the VM that contributes most, and if the
// other zones do not contradict it. Otherwise the network path of that VM or zone
// is taken to be at fault, and only that VM or zone avoids the server. An alarm
// that the other servers share has a common cause and ejects no server.
//
// # Floor
//
// The floor is the minimum capacity of a service. Capacity is the number of
// servers that are neither ejected, draining nor in slow start. EnforceFloor
// reduces a set of ejections until the capacity is at or above the floor. The
// Detector applies it to its verdicts. Each View applies it again to the received
// verdict together with its own avoidances.
package health
