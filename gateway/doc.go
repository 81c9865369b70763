// Package gateway runs the single process of a VM on the users' platform: it
// serves callers and takes part in the decisions that the VMs make together. A
// request passes through these stages (request.go):
//
//	route    -> route, service and deadline of the request, from the configuration
//	identify -> the client account that holds the key
//	admit    -> a token of the account's rate, from the owner of the account
//	place    -> a slot of a backend server, from the owner of the service
//	forward  -> one exchange with that server; a request that did not run is placed again
//	answer   -> the server's answer, unchanged, or a refusal by the gateway itself
//
// Besides serving callers, each VM
//
//   - follows the contents of the store, either through the VM that currently
//     reads it for all or by reading it itself (discovery.go),
//   - owns some services and accounts, assigned by rendezvous hashing (owners.go):
//     it runs a placement.Broker and a limit.Pool for them. The owner of a service
//     or account is also called its home, for example in the log,
//   - exchanges datagrams with the other VMs (mesh.go, messages.go).
//
// Packages catalog, placement and limit make the decisions; this package provides
// sockets, clocks and goroutines. It keeps no state that must survive a restart.
package gateway
