// Package catalog holds one VM's replica of the deployment state: the
// configuration, the backend servers and the other VMs, each with the store
// revision of its last change. It is deterministic: changes and the current time
// are passed in and effects are returned; it uses no goroutine, socket or clock.
//
// A few VMs read the store and forward its changes to the others, which read the
// store themselves only when no forwarded changes arrive. On either path a change
// is applied only if its revision is higher than that of the stored item, so an
// item never reverts to an older state.
package catalog
