// Package capacity works out what the fleet needs at a given size from slopes
// measured on small fleets.
//
// scripts/slopes.sh measures agents and entries against one driver at a time:
// VMs, client accounts, backend servers, routes, keys, requests, protected
// requests and configuration changes. Fit turns its lines into Slopes, one
// straight line for each measure and driver; the slopes in force are embedded.
// Estimate adds them up for a Size and compares the result with Limits.
package capacity
