package main

import (
	"math"
	"runtime/debug"
	"testing"
)

// Guards against garbage that grows the process beyond the VM's memory, which ends it.
func TestHeapStaysWithinTheMemoryOfTheVM(t *testing.T) {
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(-1))
	limitMemory(0)
	if limit := debug.SetMemoryLimit(-1); limit != math.MaxInt64 {
		t.Errorf("a limit of %d bytes without a setting", limit)
	}
	limitMemory(184)
	if limit := debug.SetMemoryLimit(-1); limit < 92<<20 || limit >= 184<<20 {
		t.Errorf("a limit of %d bytes on a VM with 184 MB", limit)
	}
}
