package standin

import (
	"testing"
	"time"
)

func TestFaultsInForce(t *testing.T) {
	const work = 10 * time.Millisecond
	for _, test := range []struct {
		name    string
		faults  BackendFaults
		elapsed time.Duration
		shed    bool
		work    time.Duration
	}{
		{"slow", BackendFaults{LoadFaults: LoadFaults{Work: work, Slow: 3}}, 0, false, 3 * work},
		{"cold", BackendFaults{LoadFaults: LoadFaults{Work: work, Cold: time.Second}}, 0, false, coldFactor * work},
		{"warm", BackendFaults{LoadFaults: LoadFaults{Work: work, Cold: time.Second}}, time.Second, false, work},
		{"flapping, in force", BackendFaults{Shed: true, LoadFaults: LoadFaults{Flap: time.Second}}, 2 * time.Second, true, 0},
		{"flapping, not in force", BackendFaults{Shed: true, LoadFaults: LoadFaults{Flap: time.Second, Work: work}}, time.Second, false, work},
	} {
		if got := test.faults.inForce(test.elapsed); got.Shed != test.shed || got.Work != test.work {
			t.Errorf("%s: shed %t, work %s; want %t, %s", test.name, got.Shed, got.Work, test.shed, test.work)
		}
	}
}
