// Package standin provides fakes of the systems around the fleet, with fault
// injection: the platform, backend servers and network links. They are used in
// tests, in the demo and in measurements only.
package standin
