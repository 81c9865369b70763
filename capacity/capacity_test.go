package capacity

import (
	"bytes"
	"math"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

const testMeasurements = "vms\t10\tagent_cpu_us\t1100\nvms\t20\tagent_cpu_us\t1200\nvms\t30\tagent_cpu_us\t1300\n" +
	"accounts\t100\tagent_cpu_us\t1100\naccounts\t300\tagent_cpu_us\t1300\n" +
	"changes\t100\tagent_cpu_us\t2200\nchanges\t300\tagent_cpu_us\t2800\n" +
	"protected\t1\tlacewing_store_calls_total{path=\"/v1/compare-and-swap\"}\t2\n" +
	"protected\t3\tlacewing_store_calls_total{path=\"/v1/compare-and-swap\"}\t6\n"

func TestFitReturnsBaseAndSlopes(t *testing.T) {
	slopes, err := Fit(strings.NewReader(testMeasurements))
	if err != nil {
		t.Fatal(err)
	}
	cpu := slopes.Measures[measureAgentCPU]
	for name, pair := range map[string][2]float64{
		"base": {cpu.Base, 1000}, "vms": {cpu.Slopes[driverVMs], 10}, "accounts": {cpu.Slopes[driverAccounts], 1},
		"changes": {cpu.Slopes[driverChanges], 900}, "change_account": {cpu.Slopes[driverChangeAccount], 2},
	} {
		if math.Abs(pair[0]-pair[1]) > 1e-6 {
			t.Errorf("%s: got %v, want %v", name, pair[0], pair[1])
		}
	}
	size := Size{Nodes: 2, Requests: 20, ProtectedShare: 0.5, Accounts: 10, ChangesPerDay: secondsPerDay}
	if got, want := slopes.value(measureAgentCPU, size), 1000.0+20+10+900+20; math.Abs(got-want) > 1e-6 {
		t.Errorf("processor time %v, want %v", got, want)
	}
	if _, writes := storeCalls(slopes, size); math.Abs(writes-10) > 1e-6 {
		t.Errorf("%v writes per second of one VM, want 2 for each of 5 protected requests", writes)
	}
}

func TestTrendIgnoresNoise(t *testing.T) {
	for name, test := range map[string]struct {
		points []point
		slope  float64
	}{
		"rising":           {[]point{{1, 10}, {2, 20}, {3, 30}}, 10},
		"falling":          {[]point{{1, 30}, {2, 20}, {3, 10}}, 0},
		"flat":             {[]point{{1, 100}, {2, 101}, {3, 102}}, 0},
		"scattered":        {[]point{{1, 10}, {2, 40}, {3, 5}, {4, 40}}, 0},
		"one size":         {[]point{{1, 10}, {1, 40}}, 0},
		"rising and rough": {[]point{{0, 10}, {10, 30}, {20, 45}, {30, 80}}, 2.25},
	} {
		if _, slope := trend(test.points); math.Abs(slope-test.slope) > 1e-9 {
			t.Errorf("%s: slope %v, want %v", name, slope, test.slope)
		}
	}
}

func TestFitRejectsMalformedLines(t *testing.T) {
	for _, text := range []string{"vms 10 cpu 3\n", "vms\tx\tcpu\t3\n", "vms\t1\tcpu\tx\n"} {
		if _, err := Fit(strings.NewReader("vms\t1\tcpu\t3\n" + text)); err == nil || !strings.Contains(err.Error(), "line 2") {
			t.Errorf("%q: %v", text, err)
		}
	}
}

func TestTableMarksRowsBeyondTheirLimit(t *testing.T) {
	var text bytes.Buffer
	WriteText(&text, []Row{
		{"agent", "processor time", 1.1, 1.2, "% of a core"}, {"agent", "memory", 129, 128, "MB"}, {"entry", "requests", 213, 0, "/s"},
	})
	goldie.New(t).Assert(t, "table", text.Bytes())
}

// TestEmbeddedSlopesCoverEachRow checks that slopes.yaml contains measures that Estimate
// reads by name; value returns 0 for a measure that is missing.
func TestEmbeddedSlopesCoverEachRow(t *testing.T) {
	slopes, err := EmbeddedSlopes()
	if err != nil {
		t.Fatal(err)
	}
	for _, measure := range []string{
		measureAgentCPU, measureAgentRSS, measureEntryCPU, measureEntryRSS, measureConfigBytes, measureConfigValue,
		"lacewing_wire_sent_bytes_total", "lacewing_store_received_bytes_total", prefixServed + `calls_total{method="agent.snapshot"}`,
	} {
		if _, ok := slopes.Measures[measure]; !ok {
			t.Errorf("slopes.yaml lacks %s", measure)
		}
	}
}

// TestEmbeddedSlopesMatchTheMeasurements checks that slopes.yaml is the result of fitting
// measurements.tsv.
func TestEmbeddedSlopesMatchTheMeasurements(t *testing.T) {
	file, err := os.Open("measurements.tsv")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	fitted, err := Fit(file)
	if err != nil {
		t.Fatal(err)
	}
	embedded, err := EmbeddedSlopes()
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(fitted, embedded) {
		t.Fatal("slopes.yaml does not match measurements.tsv; run: lacewingctl capacity fit capacity/measurements.tsv > capacity/slopes.yaml")
	}
}
