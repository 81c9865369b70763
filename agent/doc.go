// Package agent is the control plane of one VM. It follows the configuration
// and the list of VMs, gives its entry snapshots of both and claims protected
// requests in the platform's store.
package agent
