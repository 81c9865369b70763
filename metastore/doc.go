// Package metastore defines the interfaces to the platform that the fleet runs on:
// its key-value store (Store) and its list of VMs (VMList). HTTPClient implements
// both over HTTP for the programs. Memory implements both in memory for tests and for
// the platform's stand-in. To support another platform, implement both interfaces.
package metastore
