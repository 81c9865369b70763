package requestlog

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"lacewingmount.dev/errs"
)

// collected contains the lines that two VMs wrote related some requests, as a log
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
edge-2 | ts=2026-12-04T10:00:20Z level=info msg="server limit" program=lacewing-gateway vm=edge-2 service=pages server=i-3 told_by=edge-5 per_second=2.5
edge-2 | ts=2026-12-04T10:00:30Z level=info msg="server limit" program=lacewing-gateway vm=edge-2 service=pages server=i-3 told_by=edge-4 per_second=1.5 before=2.5
edge-1 | ts=2026-12-04T10:01:00Z level=info msg=request program=lacewing-gateway vm=edge-1 request=limited status=500 took=0.006 service=pages config=14 age=0.2 tries="i-3:failed:2ms:failing=0.20:queued=0ms:home=edge-2:limit=1.5"
edge-1 | ts=2026-12-04T10:01:00Z level=info msg=request program=lacewing-gateway vm=edge-1 request=at-limits status=503 took=0.004 service=pages config=14 age=0.5 reason="all servers have reached the limits that they named" home=edge-2 queue=2 waited=0 retry_after=1.5 at_limit=3
edge-1 | ts=2026-12-04T10:01:00Z level=info msg=request program=lacewing-gateway vm=edge-1 request=keyless status=401 took=0.001 service=pages config=14 age=0.2 reason="unknown key"
edge-1 | ts=2026-12-04T10:01:00Z level=info msg=request program=lacewing-gateway vm=edge-1 request=fast status=429 took=0.001 service=pages account=acc config=14 age=0.2 reason="account is over its rate, says edge-3"
a line of another program
`

// explain returns the explanation of a request in collected, and its related lines.
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
	var related []string
	for _, l := range e.Related {
		related = append(related, l.Text)
	}
	return e, strings.Join(related, "\n")
}

func assertContains(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Errorf("%q is missing in:\n%s", part, text)
		}
	}
}

func TestRefusedForLoad(t *testing.T) {
	e, related := explain(t, "busy")
	assertContains(t, strings.Join(e.Causes, "\n"), "refused by VM edge-2 with 58 requests in its queue", "the queue is too long", "known to match the platform's store 500ms earlier")
	assertContains(t, related, "server=i-1", "server=i-2", "home suspected", "config=14")
	for _, unrelated := range []string{"server=i-9", "config=13", "10:00:30Z", "request="} {
		if strings.Contains(related, unrelated) {
			t.Errorf("the selected lines contain %s, which is not related to the request", unrelated)
		}
	}
}

func TestAnsweredByFailingServer(t *testing.T) {
	e, related := explain(t, "gray")
	assertContains(t, strings.Join(e.Causes, "\n"), "attempt 1: server i-1: outcome failed after 2ms, slot granted by VM edge-2; the server was not suspected of failing", "the caller received the answer of server i-1 with status 500")
	assertContains(t, related, "server=i-1")
}

// A server named its limit long before the request.
func TestDecidedByAServersLimit(t *testing.T) {
	e, related := explain(t, "limited")
	assertContains(t, strings.Join(e.Causes, "\n"), "slot granted by VM edge-2, within the server's limit of 1.5 requests a second")
	assertContains(t, related, "told_by=edge-4 per_second=1.5")
	if strings.Contains(related, "per_second=2.5") {
		t.Error("the related lines contain a limit that had been replaced")
	}
	e, _ = explain(t, "at-limits")
	assertContains(t, strings.Join(e.Causes, "\n"), "refused by VM edge-2", "all servers have reached the limits that they named (3 servers had reached their limits)")
}

func TestRefusedByConfigurationOrRate(t *testing.T) {
	e, related := explain(t, "keyless")
	assertContains(t, strings.Join(e.Causes, "\n"), "refused according to configuration version 14 on VM edge-1: unknown key")
	assertContains(t, related, `msg="configuration in force"`)
	e, _ = explain(t, "fast")
	assertContains(t, strings.Join(e.Causes, "\n"), "refused by the rate limit of client account acc", "says edge-3")
}

func TestMissingRequestLine(t *testing.T) {
	restarted := collected + "edge-1 | ts=2026-12-04T10:02:00Z level=info msg=started program=lacewing-gateway vm=edge-1 incarnation=2\n"
	lines, err := Read(strings.NewReader(restarted), "lost")
	if err != nil {
		t.Fatal(err)
	}
	_, err = Explain(lines, "lost")
	if errs.KindOf(err) != errs.NotFound || !strings.Contains(err.Error(), "VMs that restarted: edge-1") {
		t.Errorf("got %v, want a NotFound error that names the restarted VM", err)
	}
}

func TestAttemptsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		written := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Attempt {
			name := rapid.StringMatching(`[a-z0-9-]{1,12}`)
			return Attempt{
				Server: name.Draw(t, "server"), Outcome: name.Draw(t, "outcome"), Owner: name.Draw(t, "home"),
				Took: time.Duration(rapid.IntRange(0, 1e6).Draw(t, "took")) * time.Millisecond, Queued: time.Duration(rapid.IntRange(0, 1e4).Draw(t, "queued")) * time.Millisecond,
				Failing: float64(rapid.IntRange(0, 100).Draw(t, "failing")) / 100, LocalGrant: rapid.Bool().Draw(t, "alone"), ReusedConnection: rapid.Bool().Draw(t, "reused"),
			}
		}), 0, 4).Draw(t, "attempts")
		read, err := ParseAttempts(FormatAttempts(written))
		if err != nil || len(read) != len(written) {
			t.Fatalf("read %v, %v", read, err)
		}
		for i := range read {
			if read[i] != written[i] {
				t.Fatalf("wrote %+v, read %+v", written[i], read[i])
			}
		}
	})
	if _, err := ParseAttempts("i-1:failed:2ms"); errs.KindOf(err) != errs.Invalid {
		t.Errorf("an attempt in another version's format returned %v, want an Invalid error", err)
	}
}
