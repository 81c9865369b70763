package crowd

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lacewingmount.dev/platform/platformtest"
)

const (
	entryMemoryMB   = 512       // the memory limit of the entry
	entryMaxFDs     = 8192      // of a VM; the entry has no setting for it
	protectedBody   = 256 << 10 // the longest body of a protected request
	protectedCrowd  = 1800
	entryAnswer     = 200_000 // bytes; the entry holds answers of up to 256 KB whole
	entrySlowCrowd  = 700
	entryUploadBody = 4 << 20
	entryUploads    = 100
	credential      = "crowd-operator"
)

// entryUnderTest is one lacewing-entry process with its agent, the platform and backend
// servers.
type entryUnderTest struct {
	*process
	callers, key string
}

func startEntry(t *testing.T) *entryUnderTest {
	t.Helper()
	dir := t.TempDir()
	ports := platformtest.FreePorts(t, 9)
	at := func(i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[i]) }
	write := func(name, content string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	ctl := func(arguments ...string) string {
		command := exec.Command(filepath.Join(programs, "lacewingctl"), arguments...)
		command.Env = append(os.Environ(), "LACEWING_CREDENTIAL="+credential)
		var output, failures bytes.Buffer
		command.Stdout, command.Stderr = &output, &failures
		if err := command.Run(); err != nil {
			t.Fatalf("lacewingctl %v: %v %s %s", arguments, err, output.String(), failures.String())
		}
		return strings.TrimSpace(output.String())
	}
	questionnaire := write("questionnaire.yaml", fmt.Sprintf(`partner: crowd
concern: false-ejection
services:
  - name: svc
    floor: 1
    slots: 400
    connections: 2000
    servers:
      - {zone: a, first: "%s", count: 1}
    requests:
      - {path: /read, methods: [GET], answer_within: 60s}
      - {path: /renewals, methods: [POST], never_twice: true, answer_within: 60s}
      - {path: /uploads, methods: [PUT, POST], upload: true}
client_accounts:
  - {name: crowd, rate: 10000, burst: 10000}
`, at(0)))
	section := filepath.Join(dir, "section.yaml")
	ctl("generate", questionnaire, "-o", section)
	server := ""
	content, err := os.ReadFile(section)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(content)) { // the name of the only server is in the line before its address
		if strings.Contains(line, at(0)) {
			break
		}
		if _, name, ok := strings.Cut(line, "name: "); ok {
			server = strings.TrimSpace(name)
		}
	}
	start(t, "standin-platform", nil, write("platform.yaml", fmt.Sprintf("listen: %s\nvms:\n  - {name: vm-1, zone: a, address: %q}\n", at(1), at(2))))
	start(t, "standin-backend", nil, write("backend.yaml", fmt.Sprintf("admin: %s\nservers:\n  - {name: %s, listen: %q}\n", at(3), server, at(0))))
	start(t, "lacewing-agent", nil, write("agent.yaml", fmt.Sprintf("vm: vm-1\nzone: a\nlisten: %s\nadmin: %s\nplatform: http://%s\n", at(2), at(4), at(1))))
	e := &entryUnderTest{callers: at(5)}
	e.process = start(t, "lacewing-entry", nil, write("entry.yaml", fmt.Sprintf("vm: vm-1\nzone: a\nlisten: %s\nadmin: %s\nagent: %s\ndrain_delay: 100ms\n", at(5), at(6), at(2))))
	awaitOK(t, "http://"+at(4)+"/readyz")
	ctl("apply", "--platform", "http://"+at(1), section)
	awaitOK(t, "http://"+at(6)+"/readyz")
	e.key = ctl("key", "grant", "--platform", "http://"+at(1), "--partner", "crowd", "--account", "crowd")
	e.answersOrdinary(t)
	return e
}

func (e *entryUnderTest) route(method, path string) route {
	return route{method: method, path: path, host: "h.example", headers: func() string {
		return fmt.Sprintf("X-Client-Key: %s\r\nIdempotency-Key: %s\r\n", e.key, newKey())
	}}
}

// newKey returns an idempotency key, which is a UUIDv7.
func newKey() string {
	now := time.Now().UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", now>>16, now&0xffff, requests.Add(1))
}

// answersOrdinary checks that an ordinary request is answered.
func (e *entryUnderTest) answersOrdinary(t *testing.T) {
	t.Helper()
	last := ""
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(answerTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		request, err := http.NewRequest(http.MethodPost, "http://"+e.callers+"/renewals", strings.NewReader("order"))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("X-Client-Key", e.key)
		request.Header.Set("Idempotency-Key", newKey())
		response, err := client.Do(request)
		if err != nil {
			last = err.Error()
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
		last = response.Status
	}
	t.Errorf("an ordinary request was not answered; last try: %s", last)
}

func playEntry(t *testing.T, crowds func(e *entryUnderTest) []crowd) {
	t.Helper()
	e := startEntry(t)
	play(t, e.callers, crowds(e)...)
	e.answersOrdinary(t)
	e.check(entryMemoryMB, entryMaxFDs)
}

// TestEntryProtectedBodies guards against bodies of protected requests, which the entry
// holds whole, that stop short of their end and together exceed the entry's memory limit.
func TestEntryProtectedBodies(t *testing.T) {
	playEntry(t, func(e *entryUnderTest) []crowd {
		return []crowd{{protectedCrowd, e.route("POST", "/renewals").declared(protectedBody)}}
	})
}

// TestEntryMixed guards against unfinished protected bodies, whole and in small chunks,
// mixed with streamed uploads, bodies far over the limit and slow readers.
func TestEntryMixed(t *testing.T) {
	playEntry(t, func(e *entryUnderTest) []crowd {
		renewal, upload := e.route("POST", "/renewals"), e.route("PUT", "/uploads")
		return []crowd{
			{protectedCrowd / 2, renewal.declared(protectedBody)}, {protectedCrowd / 2, renewal.chunked(protectedBody-1<<10, 16)},
			{entryUploads, upload.declared(entryUploadBody)}, {entryUploads, renewal.chunked(10*protectedBody, 4<<10)},
			{entrySlowCrowd, e.route("GET", fmt.Sprintf("/read?size=%d", entryAnswer)).slowReader},
		}
	})
}
