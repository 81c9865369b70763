// Package standin holds small replacements for the systems around the fleet,
// with fault knobs: the platform, backend servers and network links. They serve
// tests, the demo and measurements only.
package standin
