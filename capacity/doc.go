// Package capacity estimates the resource use of a fleet of a given size from
// measurements of small fleets.
//
// scripts/slopes.sh measures agents and entries while it varies one driver at a time:
// VMs, client accounts, backend servers, routes, keys, requests, protected requests,
// active client accounts, services or configuration changes. Fit fits a straight line
// to each measure and driver and returns the result as Slopes; the current slopes are
// embedded. Estimate adds up the lines for a Size and compares the sums with Limits.
package capacity
