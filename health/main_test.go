package health

import (
	"flag"
	"os"
	"runtime"
	"testing"

	"pgregory.net/rapid"
)

// TestMain sets the seed and the number of rapid's checks, so that every run gives
// the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "6", "rapid.checks": "1500", "rapid.steps": "120", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// hasCounterexample reports whether rapid finds a counterexample to the property.
func hasCounterexample(t *testing.T, property func(*rapid.T)) bool {
	record := &recorder{TB: t}
	done := make(chan struct{})
	go func() {
		defer close(done)
		rapid.Check(record, property)
	}()
	<-done
	return record.failed
}

// recorder is a testing.TB that records a failure instead of reporting it.
type recorder struct {
	testing.TB
	failed bool
}

func (r *recorder) Errorf(string, ...any) { r.failed = true }
func (r *recorder) Logf(string, ...any)   {}
func (r *recorder) Fatalf(string, ...any) { r.FailNow() }
func (r *recorder) Failed() bool          { return r.failed }
func (r *recorder) FailNow() {
	r.failed = true
	runtime.Goexit()
}
