// Package crowd starts the real data-plane programs with lowered limits, sends them what
// callers without limits may send, and checks that the process lives, that its resident
// memory and its open descriptors stay under a bound, and that an ordinary request is
// answered afterwards. It checks no times and no share of served requests. The crowds and
// the bounds are fixed; see docs/design/callers-without-limits.md.
//
// The tests need some hundred MB and run one at a time, apart from other tests
// (scripts/test.sh):
//
//	go test ./soak/crowd -p 1
package crowd
