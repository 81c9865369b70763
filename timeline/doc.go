// Package timeline records typed events of one process in bounded rings and
// stamps them with a hybrid logical clock, so that the events of all processes
// can be merged into one causally ordered sequence.
package timeline
