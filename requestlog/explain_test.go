package requestlog

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingmount.dev/errs"
)

// The lines of one request and what else two VMs wrote in its time, as a
// collector stores them.
const collected = `
edge-1 | ts=2026-12-04T10:00:00Z level=info msg=started program=lacewing-gateway vm=edge-1 incarnation=1
edge-1 | ts=2026-12-04T10:00:01Z level=info msg="configuration in force" program=lacewing-gateway vm=edge-1 config=13 source=store
edge-1 | ts=2026-12-04T10:00:40Z level=info msg="configuration in force" program=lacewing-gateway vm=edge-1 config=14 source=edge-2
edge-2 | ts=2026-12-04T10:00:57Z level=info msg="server avoided" program=lacewing-gateway vm=edge-2 service=pages server=i-1 for=3.2 outcome=failed took=0.002 spells=1
edge-2 | ts=2026-12-04T10:00:58Z level=info msg="server avoided" program=lacewing-gateway vm=edge-2 service=pages server=i-2 for=3.2 outcome=failed took=0.002 spells=1
edge-2 | ts=2026-12-04T10:00:58Z level=info msg="server avoided" program=lacewing-gateway vm=edge-2 service=other server=i-9 for=3.2 outcome=failed took=0.002 spells=1
edge-2 | ts=2026-12-04T10:00:30Z level=info msg="server avoided" program=lacewing-gateway vm=edge-2 service=pages server=i-1 for=3.2 outcome=failed took=0.002 spells=1
edge-1 | ts=2026-12-04T10:00:59Z level=warn msg="home suspected" program=lacewing-gateway vm=edge-1 home=edge-3 reason="no answer about a service"
edge-1 | ts=2026-12-04T10:01:00Z level=info msg=request program=lacewing-gateway vm=edge-1 request=busy status=503 took=0.004 service=pages config=14 age=0.5 reason="the queue is too long" home=edge-2 queue=58 waited=0 retry_after=0.5
edge-1 | ts=2026-12-04T10:01:00Z level=info msg=request program=lacewing-gateway vm=edge-1 request=gray status=500 took=0.006 service=pages config=14 age=0.2 tries="i-1:failed:2ms:failing=0.20:queued=0ms:home=edge-2"
edge-1 | ts=2026-12-04T10:01:00Z level=info msg=request program=lacewing-gateway vm=edge-1 request=keyless status=401 took=0.001 service=pages config=14 age=0.2 reason="unknown key"
edge-1 | ts=2026-12-04T10:01:00Z level=info msg=request program=lacewing-gateway vm=edge-1 request=fast status=429 took=0.001 service=pages account=acc config=14 age=0.2 reason="account is over its rate, says edge-3"
a line of another program
`

func explain(t *testing.T, request string) (Explanation, string) {
	t.Helper()
	lines, err := Read(strings.NewReader(collected), request)
	if err != nil {
		t.Fatal(err)
	}
	e, err := Explain(lines, request)
	if err != nil {
		t.Fatal(err)
	}
	var around []string
	for _, l := range e.Around {
		around = append(around, l.Text)
	}
	return e, strings.Join(around, "\n")
}

func has(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Errorf("lacks %q:\n%s", part, text)
		}
	}
}

func TestRefusedForLoad(t *testing.T) {
	e, around := explain(t, "busy")
	has(t, strings.Join(e.Causes, "\n"), "refused by edge-2 with 58 requests waiting", "the queue is too long", "as of 500ms earlier")
	has(t, around, "server=i-1", "server=i-2", "home suspected", "config=14")
	for _, wrong := range []string{"server=i-9", "config=13", "10:00:30Z", "request="} {
		if strings.Contains(around, wrong) {
			t.Errorf("shows %s, which has nothing to do with the request", wrong)
		}
	}
}

func TestFailedByAGrayServer(t *testing.T) {
	e, around := explain(t, "gray")
	has(t, strings.Join(e.Causes, "\n"), "try 1: i-1 failed after 2ms, granted by edge-2; nothing was known", "the caller got the answer of i-1, status 500")
	has(t, around, "server=i-1")
}

func TestRefusedByConfigurationOrRate(t *testing.T) {
	e, around := explain(t, "keyless")
	has(t, strings.Join(e.Causes, "\n"), "refused by configuration 14 of edge-1: unknown key")
	has(t, around, `msg="configuration in force"`)
	e, _ = explain(t, "fast")
	has(t, strings.Join(e.Causes, "\n"), "refused for the rate of account acc", "says edge-3")
}

func TestRequestWithoutALine(t *testing.T) {
	again := collected + "edge-1 | ts=2026-12-04T10:02:00Z level=info msg=started program=lacewing-gateway vm=edge-1 incarnation=2\n"
	lines, err := Read(strings.NewReader(again), "lost")
	if err != nil {
		t.Fatal(err)
	}
	_, err = Explain(lines, "lost")
	if errs.KindOf(err) != errs.NotFound || !strings.Contains(err.Error(), "started again: edge-1") {
		t.Errorf("got %v; it does not name the VM that lost the line", err)
	}
}

func TestTriesAreReadAsWritten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		written := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Try {
			name := rapid.StringMatching(`[a-z0-9-]{1,12}`)
			return Try{
				Server: name.Draw(t, "server"), Outcome: name.Draw(t, "outcome"), Home: name.Draw(t, "home"),
				Took: time.Duration(rapid.IntRange(0, 1e6).Draw(t, "took")) * time.Millisecond, Queued: time.Duration(rapid.IntRange(0, 1e4).Draw(t, "queued")) * time.Millisecond,
				Failing: float64(rapid.IntRange(0, 100).Draw(t, "failing")) / 100, Alone: rapid.Bool().Draw(t, "alone"), Reused: rapid.Bool().Draw(t, "reused"),
			}
		}), 0, 4).Draw(t, "tries")
		read, err := ParseTries(FormatTries(written))
		if err != nil || len(read) != len(written) {
			t.Fatalf("read %v, %v", read, err)
		}
		for i := range read {
			if read[i] != written[i] {
				t.Fatalf("wrote %+v, read %+v", written[i], read[i])
			}
		}
	})
	if _, err := ParseTries("i-1:failed:2ms"); errs.KindOf(err) != errs.Invalid {
		t.Errorf("a try of another version gives %v", err)
	}
}
