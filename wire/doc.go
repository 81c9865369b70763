// Package wire carries calls between the fleet's own processes as JSON-RPC 2.0
// over TCP. Every message carries the sender's hybrid logical timestamp. After a
// call timed out, its connection gets no new calls, so that a connection that no
// longer delivers messages is replaced by a new one.
package wire
