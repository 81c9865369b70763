// Package agent is the control plane of one VM. It distributes the configuration
// and the list of VMs to the VM's entry and to other agents, records claims of
// protected requests in the platform's store, leases the VM's shares of the client
// accounts' rates, and runs the failure detectors of the services that the VM owns.
package agent
