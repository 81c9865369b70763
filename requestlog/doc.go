// Package requestlog holds what the lines of one request say: how a gateway
// writes the servers that it tried, and how a collected log is read back to tell
// why a request ended as it did.
package requestlog
