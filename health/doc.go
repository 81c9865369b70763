// Package health judges backend servers by what callers' requests met. It is
// deterministic: time and observations are passed in.
package health
