package load

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"lacewingmount.dev/daemon"
)

// sampleReport returns a report of constructed samples that contains every part of a report.
func sampleReport() *Report {
	settings := Settings{
		Seed: 7, Direct: []string{"127.0.0.1:9000"}, Duration: daemon.Duration(2 * time.Second),
		Accounts: []Account{{Name: "reader", Rate: 10, Burst: 5}, {Name: "poet", Rate: 1, Burst: 1}},
		Mixes: []Mix{
			{Account: "reader", Key: "k", Method: "GET", Path: "/shelf", Rate: 10},
			{Account: "poet", Key: "k", Method: "PUT", Path: "/chapbooks", Workers: 2},
			{Method: "GET", Path: "/covers", Rate: 1},
		},
	}
	report := newReport(settings)
	whole, refused := callResult{verdict: verdictWhole}, callResult{verdict: verdictRefused, outcome: "not-run", detail: "rate"}
	for i := range 20 {
		at := time.Duration(i) * 100 * time.Millisecond
		result := whole
		if i%4 == 3 {
			result = refused
		}
		report.add(0, through, sample{planned: at, latency: time.Duration(i+1) * time.Millisecond, result: result})
		report.add(0, direct, sample{planned: at, latency: time.Millisecond, result: whole})
		report.add(1, target(i%2), sample{planned: at, latency: time.Duration(2-i%2) * time.Millisecond, result: whole})
	}
	report.add(2, through, sample{latency: time.Millisecond, result: callResult{verdict: verdictBroken, detail: "reset"}})
	report.addDuplicate(callResult{verdict: verdictWhole, outcome: "replayed"})
	report.Seconds = 2
	report.finish(settings)
	return report
}

func TestTextReport(t *testing.T) {
	var text bytes.Buffer
	sampleReport().WriteText(&text)
	goldie.New(t).Assert(t, "report", text.Bytes())
}

func TestJSONReportHoldsTheSameFigures(t *testing.T) {
	var text bytes.Buffer
	report := sampleReport()
	if err := report.WriteJSON(&text); err != nil {
		t.Fatal(err)
	}
	var decoded Report
	if err := json.Unmarshal(text.Bytes(), &decoded); err != nil {
		t.Fatal(err)
	}
	if len(decoded.Mixes) != 3 || decoded.Mixes[0].Overhead.P50 != report.Mixes[0].Overhead.P50 || decoded.Accounts[0].Name != "reader" {
		t.Fatalf("decoded %+v %+v", decoded.Mixes, decoded.Accounts)
	}
}

func TestReportIsCorrectOnlyWithoutBrokenOrWrongAnswers(t *testing.T) {
	for _, test := range []struct {
		verdicts []verdict
		want     bool
	}{
		{[]verdict{verdictWhole, verdictRefused, verdictBackend}, true},
		{[]verdict{verdictRefused}, false},
		{[]verdict{verdictWhole, verdictBroken}, false},
		{[]verdict{verdictWhole, verdictWrong}, false},
	} {
		settings := Settings{Duration: daemon.Duration(time.Second), Mixes: []Mix{{Rate: 1}}}
		report := newReport(settings)
		for _, each := range test.verdicts {
			report.add(0, through, sample{result: callResult{verdict: each}})
		}
		report.finish(settings)
		if got := report.Correct(); got != test.want {
			t.Errorf("verdicts %v: Correct() = %t", test.verdicts, got)
		}
	}
}

func TestAccountIsComparedWithOneBucketOfItsRateAndBurst(t *testing.T) {
	account := Account{Name: "reader", Rate: 1, Burst: 2}
	refused := callResult{verdict: verdictRefused, outcome: "not-run", detail: "rate"}
	whole := callResult{verdict: verdictWhole}
	at := func(seconds int, result callResult) sample {
		return sample{planned: time.Duration(seconds) * time.Second, result: result}
	}
	// The samples are out of order. The bucket admits two of the three at second 0.
	got := newAccountReport(account, []sample{at(5, refused), at(0, whole), at(0, whole), at(0, refused), at(1, refused)})
	want := AccountReport{Name: "reader", Sent: 5, Entitled: 4, Admitted: 2, Served: 2, Share: 0.5, RefusedWithinRate: 2}
	if got != want {
		t.Fatalf("got %+v, want %+v", got, want)
	}
}
