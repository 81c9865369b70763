// Package once decides which protected requests may be sent, each at most once
// across the fleet. It is deterministic: its inputs are the time, requests and the
// results of store calls; its outputs are replies and store calls to perform.
//
// A protected request is claimed before it is sent. Claims are spread over
// buckets. The owner of a bucket keeps its claims in memory and writes them to
// a log in the store. Each log position is written by compare-and-swap at most
// once, and an owner writes a position only after the one before it is
// confirmed. A new owner takes over by writing the next position. The next write of
// the previous owner then conflicts and it steps down. It cannot have granted a new
// claim in between, because a claim is granted only after its write is confirmed.
//
// The log is a ring of positions with one store key each. Positions that will be
// overwritten are first compacted into segments. Request keys carry a timestamp
// (UUIDv7). Claims older than the window are dropped, but only after the log has
// recorded a floor: a key with a timestamp before the floor is never granted again.
package once
