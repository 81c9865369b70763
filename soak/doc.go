// Package soak runs the gateway's real program as separate processes against
// stand-ins of the users' platform, injects faults at random from outside and
// checks the promises from what callers and backend servers see.
//
// One seed decides the faults and their moments. The schedule of the processes
// is not repeated with it, so a failure that shows once is kept as a seed in
// soak_test.go with its cause, and its logs are written where -soak.logs says.
//
//	go test ./soak                            one short run, as in CI
//	go test ./soak -soak.runs 50 -soak.first 1000 -soak.span 15s
//
// Messages between VMs go directly; what is cut between two VMs is left to the
// users' bench. Time of day and storage are not faulted: the gateway reads the
// clock for spans only and writes no file.
package soak
