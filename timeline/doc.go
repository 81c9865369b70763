// Package timeline records typed events of one process in ring buffers of bounded
// size. A hybrid logical clock stamps the events, so that the events of all processes
// can be merged into one causally ordered sequence.
package timeline
