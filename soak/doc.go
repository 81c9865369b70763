// Package soak runs the gateway program as separate processes against fakes of
// the users' platform, injects random faults from outside the processes and
// checks the guarantees against what callers and backend servers observe.
//
// A seed determines the faults and their timing. It does not determine the
// scheduling of the processes, so a failure may not recur with its seed. The seeds
// of failures are kept in soak_test.go with their causes. The logs of a failed run
// are copied to the directory given by -soak.logs.
//
//	go test ./soak                            one short run, as in CI
//	go test ./soak -soak.runs 50 -soak.first 1000 -soak.span 15s
//
// Requests that end beside planned work (SIGTERM, SIGHUP, a new configuration) are held
// to the users' rule, which allows no loss: see checkPlannedWork. The faults are followed
// by stops of all VMs while callers go on. So that stops find requests at servers, in
// queues and half delivered, some callers use a service with few slots and processing
// times up to seconds, and some use slow links.
//
// Servers name limits of the requests that they accept from all VMs together; all servers of
// that service do so at the same time.
//
// Messages between VMs are not routed through a link: network partitions between
// VMs are tested on the users' bench. They are lost where a VM is killed or paused, and
// where a flood of datagrams overruns its socket. There are no clock and disk faults, because
// the gateway uses the clock only to measure durations and writes no files.
package soak
