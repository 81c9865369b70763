// Package ctl implements the commands of lacewingctl: they generate, validate and
// apply the configuration, grant and withdraw keys, replace operator credentials,
// show the state and the events of the fleet, and estimate its capacity.
package ctl
