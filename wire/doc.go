// Package wire carries calls between the fleet's own processes as JSON-RPC 2.0
// over TCP. Every message carries the sender's hybrid logical timestamp. A call
// that times out retires its connection, so that a connection that has gone
// silent is replaced by a fresh one.
package wire
