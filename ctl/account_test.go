package ctl

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/requestlog"
)

const accountLog = `ts=2026-12-04T10:00:00Z level=info msg=request vm=edge-1 request=a status=200 service=pages tries="i-1:answered:9ms:failing=0.20:queued=0ms:home=edge-2"
ts=2026-12-04T10:00:01Z level=info msg=request vm=edge-1 request=b status=500 service=pages tries="i-1:failed:2ms:failing=0.10:queued=0ms:home=edge-2"
ts=2026-12-04T10:00:02Z level=info msg=request vm=edge-1 request=c status=503 service=orders reason="the queue is too long"
`

func TestAccountCommand(t *testing.T) {
	dir := t.TempDir()
	log, plot := filepath.Join(dir, "log"), filepath.Join(dir, "plot.svg")
	if err := os.WriteFile(log, []byte(accountLog), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := (&AccountCommand{Logs: []string{log}, Plot: plot}).Run(&Env{Context: t.Context(), Out: &out}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"first fast failure of a server 0 0.00% 1 50.00% 1 33.33%", "queue 1 100.00% 0 0.00% 1 33.33%"} {
		if !strings.Contains(strings.Join(strings.Fields(out.String()), " "), want) {
			t.Errorf("no %q in\n%s", want, out.String())
		}
	}
	if svg, err := os.ReadFile(plot); err != nil || !bytes.Contains(svg, []byte("servers avoided")) {
		t.Errorf("plot: %d bytes, error %v", len(svg), err)
	}
	out.Reset()
	if err := (&AccountCommand{Logs: []string{log}, JSON: true}).Run(&Env{Context: t.Context(), Out: &out}); err != nil {
		t.Fatal(err)
	}
	var account requestlog.Account
	if err := json.Unmarshal(out.Bytes(), &account); err != nil || account.Requests() != 3 || len(account.Seconds) != 3 {
		t.Errorf("JSON: %+v, error %v", account, err)
	}
}

func TestAccountCommandErrors(t *testing.T) {
	empty := filepath.Join(t.TempDir(), "empty")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for kind, path := range map[errs.Kind]string{errs.Invalid: "/does/not/exist", errs.NotFound: empty} {
		if err := (&AccountCommand{Logs: []string{path}}).Run(&Env{Context: t.Context(), Out: &bytes.Buffer{}}); errs.KindOf(err) != kind {
			t.Errorf("%s: %v, want kind %v", path, err, kind)
		}
	}
}
