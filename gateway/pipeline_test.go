package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"lacewingmount.dev/platform"
	"lacewingmount.dev/platform/platformtest"
)

// startForPipelines starts a VM with an idempotent route at /r/ and another route at /w/.
func (f *fleet) startForPipelines(rate int) *vm {
	f.t.Helper()
	route := func(name, kind string) platformtest.Route {
		return platformtest.Route{Name: name, Prefix: "/" + name + "/", Kind: kind, Timeout: "8s", Service: "svc", MaxAttempts: 2}
	}
	f.version++
	f.store.Put(platform.ConfigKey, platformtest.Configuration{
		Version: f.version, Routes: []platformtest.Route{route("r", "safe"), route("w", "unsafe")},
		Accounts: []platformtest.Account{{Name: "acc", Keys: []string{"k1"}, Rate: rate, Burst: rate}},
	}.Encode())
	return f.startReady("vm-1")
}

func lookup(id string) string {
	return "GET /r/ HTTP/1.1\r\nHost: " + platformtest.Host + "\r\nRequest-Id: " + id + "\r\nKey: k1\r\n\r\n"
}

func booking(id, body string) string {
	return fmt.Sprintf("POST /w/ HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nKey: k1\r\nContent-Length: %d\r\n\r\n%s", platformtest.Host, id, len(body), body)
}

// setWork makes the servers take some time for the requests with the IDs, and none for others.
func (f *fleet) setWork(times map[string]time.Duration) {
	for _, s := range f.servers {
		s.SetWork(func(id string) platformtest.Work { return platformtest.Work{ProcessingTime: times[id]} })
	}
}

// run returns the only run of the request.
func (f *fleet) run(id string) platformtest.Run {
	f.t.Helper()
	var found []platformtest.Run
	for _, s := range f.servers {
		for _, run := range s.Runs() {
			if run.ID == id {
				found = append(found, run)
			}
		}
	}
	if len(found) != 1 {
		f.t.Fatalf("%s ran %d times", id, len(found))
	}
	return found[0]
}

// wantAnswer reads the next answer, which must be that of the request's server.
func (c *rawCaller) wantAnswer(id string) {
	c.t.Helper()
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.t.Fatalf("no answer to %s: %v", id, err)
	}
	body, err := io.ReadAll(answer.Body)
	if got := answer.Header.Get("Request-Id"); err != nil || got != id || answer.StatusCode != http.StatusOK || !strings.HasPrefix(string(body), "body of "+id) {
		c.t.Fatalf("instead of the answer to %s: %d to %q, %v", id, answer.StatusCode, got, err)
	}
}

func (f *fleet) waitIdle(v *vm) {
	f.t.Helper()
	f.waitFor("nothing is held for requests", func() bool { return v.active.Load() == 0 && v.pipelined.used.Load() == 0 })
}

// Guards against requests that wait for the work of earlier ones of their connection, and
// against answers in the order in which the servers finish. Each request counts once.
func TestPipelinedRequestsRunAtOnceAndAreAnsweredInOrder(t *testing.T) {
	f := newFleet(t, 2)
	v := f.startForPipelines(0)
	f.setWork(map[string]time.Duration{"a": 700 * time.Millisecond, "b": 300 * time.Millisecond, "d": 100 * time.Millisecond})
	served := metrics.GetOrCreateCounter(`lacewing_gateway_requests_total{service="svc",status="200"}`)
	before := served.Get()
	ids := []string{"a", "b", "c", "d", "e"}
	c := v.dial(t)
	for _, id := range ids {
		c.send(lookup(id))
	}
	for _, id := range ids {
		c.wantAnswer(id)
	}
	first := f.run("a")
	for _, id := range ids[1:] {
		if run := f.run(id); !run.DoneAt.Before(first.DoneAt) {
			t.Errorf("%s waited for the first request", id)
		}
	}
	f.waitIdle(v)
	if n := served.Get() - before; n != uint64(len(ids)) {
		t.Errorf("%d requests are counted, want %d", n, len(ids))
	}
	c.send(lookup("later"))
	c.wantAnswer("later")
}

// Guards against a request that runs although an earlier response may close the connection: its
// caller sends it again.
func TestPipelinedRequestThatIsNotIdempotentWaitsForEarlierAnswers(t *testing.T) {
	f := newFleet(t, 2)
	v := f.startForPipelines(0)
	f.setWork(map[string]time.Duration{"a": 400 * time.Millisecond, "w": 300 * time.Millisecond})
	c := v.dial(t)
	c.send(lookup("a") + booking("w", "order") + lookup("b") + booking("x", "") + lookup("c"))
	for _, id := range []string{"a", "w", "b", "x", "c"} {
		c.wantAnswer(id)
	}
	a, w, x := f.run("a"), f.run("w"), f.run("x")
	if w.At.Before(a.DoneAt) || x.At.Before(w.DoneAt) || w.Body != "order" {
		t.Errorf("w ran from %v with %q, x from %v; a ended at %v, w at %v", w.At, w.Body, x.At, a.DoneAt, w.DoneAt)
	}
	for _, id := range []string{"b", "c"} {
		if !f.run(id).At.Before(a.DoneAt) {
			t.Errorf("%s waited for the first request", id)
		}
	}
	f.waitIdle(v)
}

// Guards against requests that go on behind an answer that closes the connection, and against
// such that begin there although they are not idempotent.
func TestPipelinedRequestsEndWithAnAnswerThatCloses(t *testing.T) {
	f := newFleet(t, 1)
	v := f.startForPipelines(0)
	f.setBehavior(func(_ *platformtest.Server, id string) platformtest.Behavior {
		switch id {
		case "cut":
			return platformtest.Truncate
		case "hangs":
			return platformtest.Hang
		}
		return platformtest.Respond
	})
	f.servers[0].SetWork(func(id string) platformtest.Work {
		return platformtest.Work{ProcessingTime: 300 * time.Millisecond, BodySize: 2 * maxBufferedBody}
	})
	c := v.dial(t)
	c.send(lookup("cut") + lookup("hangs") + booking("w", ""))
	f.waitFor("the second request runs", func() bool { return f.countRuns("hangs") == 1 })
	answer, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, answer.Body); err == nil {
		t.Error("the caller takes a part of the answer for the whole")
	}
	closed := time.Now()
	f.waitIdle(v)
	if took := time.Since(closed); took > 500*time.Millisecond {
		t.Errorf("the request behind ends after %v", took)
	}
	closing := strings.Replace(lookup("last"), "Key:", "Connection: close\r\nKey:", 1)
	c = v.dial(t)
	c.send(lookup("a") + closing + lookup("behind") + booking("x", ""))
	c.reader.Reset(c.conn)
	for _, id := range []string{"a", "last"} {
		c.wantAnswer(id)
	}
	if _, err := c.reader.ReadByte(); err != io.EOF {
		t.Errorf("behind the last answer: %v", err)
	}
	for _, id := range []string{"w", "x", "behind"} {
		if f.countRuns(id) > 0 {
			t.Errorf("%s ran", id)
		}
	}
	f.waitIdle(v)
}

// Guards against slots that stay taken because net/http does not notice that a caller leaves
// behind bytes that it has sent ahead, also if these are more than are read. (The end of the
// connection behind more bytes than its socket takes arrives only when they are read.)
func TestPipelinedRequestsEndWhenTheCallerLeaves(t *testing.T) {
	for name, behind := range map[string]string{
		"few": "", "not idempotent": booking("w", ""), "chunked": "POST /w/ HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n",
		"more than is read": booking("w", strings.Repeat("x", maxHeldBytes)), "malformed": "\x00\x00\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1)
			v := f.startForPipelines(0)
			f.setBehavior(func(*platformtest.Server, string) platformtest.Behavior { return platformtest.Hang })
			c := v.dial(t)
			c.send(lookup("a") + lookup("b") + lookup("c") + behind)
			f.waitFor("the requests run", func() bool { return f.countRuns("a")+f.countRuns("b")+f.countRuns("c") == 3 })
			_ = c.conn.Close()
			left := time.Now()
			f.waitIdle(v)
			if took := time.Since(left); took > 500*time.Millisecond {
				t.Errorf("the requests end %v after their caller has left", took)
			}
			if f.countRuns("w") > 0 {
				t.Error("a request that was not read ran")
			}
		})
	}
}

// Guards against a caller that makes the process hold or run as much as it sends.
func TestPipelinedRequestsAreBounded(t *testing.T) {
	for _, c := range []struct {
		name        string
		budget      int64
		most, least int // requests at servers at once
	}{
		{"connection", maxPipelineBudget, maxAheadCount + 1, 6},
		{"process", 3*earlyCharge + maxHeldBytes, 4, 3},
		{"no room", 0, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 6)
			v := f.startForPipelines(0)
			v.pipelined.limit = c.budget
			for _, s := range f.servers {
				s.SetProcessingTime(30 * time.Millisecond)
			}
			caller := v.dial(t)
			const requests = 60
			go func() {
				for i := range requests {
					_, _ = io.WriteString(caller.conn, strings.Replace(lookup(fmt.Sprint(i)), "Key:", "Filler: "+strings.Repeat("x", 2000)+"\r\nKey:", 1)) // the answers tell
				}
			}()
			for i := range requests {
				caller.wantAnswer(fmt.Sprint(i))
				if used := v.pipelined.used.Load(); used > c.budget+readBufferSize {
					t.Fatalf("%d bytes are held", used)
				}
			}
			var runs []platformtest.Run
			for _, s := range f.servers {
				runs = append(runs, s.Runs()...)
			}
			most := 0
			for _, at := range runs {
				n := 0
				for _, run := range runs {
					if !run.At.After(at.At) && run.DoneAt.After(at.At) {
						n++
					}
				}
				most = max(most, n)
			}
			if most > c.most || most < c.least {
				t.Errorf("%d requests at once, want %d to %d", most, c.least, c.most)
			}
			f.waitIdle(v)
		})
	}
}

// Guards against an answer that is cut or lost because it is longer than may be held.
func TestPipelinedLongAnswersAreWhole(t *testing.T) {
	for _, budget := range []int64{maxPipelineBudget, earlyCharge + maxHeldBytes} {
		f := newFleet(t, 2)
		v := f.startForPipelines(0)
		v.pipelined.limit = budget
		sizes := map[string]int{"b": 3 * earlyBody, "c": 3 * maxBufferedBody}
		for _, s := range f.servers {
			s.SetWork(func(id string) platformtest.Work {
				if id == "a" {
					return platformtest.Work{ProcessingTime: 300 * time.Millisecond}
				}
				return platformtest.Work{BodySize: sizes[id]}
			})
		}
		c := v.dial(t)
		c.send(lookup("a") + lookup("b") + lookup("c") + lookup("d"))
		for _, id := range []string{"a", "b", "c", "d"} {
			answer, err := http.ReadResponse(c.reader, nil)
			if err != nil {
				t.Fatal(err)
			}
			body, err := io.ReadAll(answer.Body)
			if want := platformtest.ResponseBody(id, sizes[id]); err != nil || string(body) != want {
				t.Fatalf("%s: %d bytes, %v, want %d", id, len(body), err, len(want))
			}
		}
		f.waitIdle(v)
	}
}

// Guards against early answers that are held beyond the budget.
func TestPipelinedAnswersAreHeldWithinTheBudget(t *testing.T) {
	e := &earlyRun{budget: &pipelineBudget{limit: 4 * earlyBody}}
	for i, c := range []struct{ length, want int }{{earlyBody, earlyBody}, {3 * earlyBody, 3 * earlyBody}, {3 * earlyBody, earlyBody}} {
		if got := e.reserveBody(c.length); got != c.want {
			t.Errorf("answer %d of %d bytes: %d are read early, want %d", i, c.length, got, c.want)
		}
	}
	if held := e.budget.used.Load(); held != int64(e.charged) || held != 3*earlyBody {
		t.Errorf("%d bytes are held, %d to be given back", held, e.charged)
	}
}

// Guards against a stop that cuts requests that servers have, because an earlier answer closes
// their connection, and against one that begins others.
func TestPipelinedRequestsOfAStoppingVM(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	v := f.startForPipelines(0)
	f.setWork(map[string]time.Duration{"a": 600 * time.Millisecond, "b": 900 * time.Millisecond})
	c := v.dial(t)
	c.send(lookup("a") + booking("w", "") + lookup("b"))
	f.waitFor("the idempotent requests run", func() bool { return f.countRuns("a") == 1 && f.countRuns("b") == 1 })
	v.stop()
	f.waitFor("the VM refuses requests", func() bool { return !v.accepts(time.Now()) })
	c.send(lookup("late") + booking("late-w", ""))
	c.wantAnswer("a")
	if answer := c.receive(); answer.StatusCode != http.StatusServiceUnavailable || answer.Close {
		t.Errorf("the request between them ends with %d, closing %v", answer.StatusCode, answer.Close)
	}
	answer := c.receive()
	if answer.StatusCode != http.StatusOK || answer.Header.Get("Request-Id") != "b" || !answer.Close {
		t.Errorf("the request that runs ends with %d, %v", answer.StatusCode, answer.Header)
	}
	<-v.done
	for _, id := range []string{"w", "late", "late-w"} {
		if f.countRuns(id) > 0 {
			t.Errorf("%s ran", id)
		}
	}
}

// Guards against requests that escape the rate of their account or the check of their key
// because they run early.
func TestPipelinedRequestsAreHeldToRateAndKey(t *testing.T) {
	f := newFleet(t, 2)
	v := f.startForPipelines(5)
	f.setWork(map[string]time.Duration{"0": 200 * time.Millisecond})
	c := v.dial(t)
	const requests = 40
	for i := range requests {
		text := lookup(fmt.Sprint(i))
		if i == 1 {
			text = strings.Replace(text, "Key: k1", "Key: k2", 1)
		}
		c.send(text)
	}
	counts := map[int]int{}
	for i := range requests {
		answer := c.receive()
		counts[answer.StatusCode]++
		if (answer.StatusCode == http.StatusUnauthorized) != (i == 1) || answer.Header.Get("Request-Id") != fmt.Sprint(i) {
			t.Errorf("answer %d: %d to %q", i, answer.StatusCode, answer.Header.Get("Request-Id"))
		}
	}
	if counts[http.StatusOK] < 1 || counts[http.StatusOK] > 12 || counts[http.StatusOK]+counts[http.StatusTooManyRequests]+1 != requests {
		t.Errorf("statuses %v at a rate of 5", counts)
	}
	f.waitIdle(v)
}

// Guards against requests that are read differently if their bytes arrive in other pieces.
func TestPipelinedRequestsInPieces(t *testing.T) {
	f := newFleet(t, 2)
	v := f.startForPipelines(0)
	seq := 0
	play := func(pieces func(text string) []string) {
		t.Helper()
		seq++
		ids := []string{fmt.Sprint("a", seq), fmt.Sprint("w", seq), fmt.Sprint("b", seq), fmt.Sprint("c", seq)}
		c := v.dial(t)
		for _, piece := range pieces(lookup(ids[0]) + booking(ids[1], "order") + lookup(ids[2]) + lookup(ids[3])) {
			c.send(piece)
			time.Sleep(time.Millisecond) // so that the pieces are read one by one
		}
		for _, id := range ids {
			c.wantAnswer(id)
			if n := f.countRuns(id); n != 1 {
				t.Fatalf("%s ran %d times", id, n)
			}
		}
		if body := f.run(ids[1]).Body; body != "order" {
			t.Fatalf("the body is %q", body)
		}
		_ = c.conn.Close()
	}
	length := len(lookup("a1") + booking("w1", "order") + lookup("b1") + lookup("c1"))
	for at := 1; at < length; at += 3 {
		play(func(text string) []string { return []string{text[:at], text[at:]} })
	}
	for _, size := range []int{1, 7, 50} {
		play(func(text string) []string {
			var pieces []string
			for piece := range slices.Chunk([]byte(text), size) {
				pieces = append(pieces, string(piece))
			}
			return pieces
		})
	}
	f.waitIdle(v)
}

// smuggling holds requests whose end or validity readers may judge differently; %s is replaced
// by what a reader may take for a further request.
var smuggling = map[string]string{
	"body":              "POST /w/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\n%s",
	"body of a lookup":  "GET /r/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\r\n%s",
	"chunks":            "POST /w/ HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
	"both":              "POST /w/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
	"two lengths":       "GET /r/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0\r\nContent-Length: %d\r\n\r\n%s",
	"length twice":      "GET /r/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: %[1]d\r\nContent-Length: %[1]d\r\n\r\n%[2]s",
	"signed length":     "GET /r/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: +%d\r\n\r\n%s",
	"list of lengths":   "GET /r/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 0, %d\r\n\r\n%s",
	"space and colon":   "GET /r/ HTTP/1.1\r\nHost: h.example\r\nContent-Length : %d\r\n\r\n%s",
	"continued line":    "GET /r/ HTTP/1.1\r\nHost: h.example\r\nX: 1\r\n Content-Length: %d\r\n\r\n%s",
	"bare line feeds":   "GET /r/ HTTP/1.1\nHost: h.example\nContent-Length: %d\n\n%s",
	"bare end of head":  "GET /r/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: %d\r\n\n%s",
	"carriage return":   "GET /r/ HTTP/1.1\r\nHost: h.example\r\nX: 1\rContent-Length: %d\r\n\r\n%s",
	"no host":           "GET /r/ HTTP/1.1\r\nX: %d\r\n\r\n%s",
	"two hosts":         "GET /r/ HTTP/1.1\r\nHost: h.example\r\nHost: %d\r\n\r\n%s",
	"other version":     "GET /r/ HTTP/1.2\r\nHost: h.example\r\nX: %d\r\n\r\n%s",
	"old version":       "GET /r/ HTTP/1.0\r\nHost: h.example\r\nX: %d\r\n\r\n%s",
	"expectation":       "POST /r/ HTTP/1.1\r\nHost: h.example\r\nExpect: 100-continue\r\nContent-Length: %d\r\n\r\n%s",
	"upgrade":           "GET /r/ HTTP/1.1\r\nHost: h.example\r\nConnection: upgrade, close\r\nUpgrade: x%d\r\n\r\n%s",
	"control character": "GET /r/ HTTP/1.1\r\nHost: h.example\r\nX: \x01%d\r\n\r\n%s",
}

// Guards against a request that runs early and that net/http does not read as one. Each caller
// also sends the same bytes one after another, as a caller that does not pipeline, to a server
// of its own; the answers must be equal.
func TestPipelinedRequestsAreThoseThatNetHTTPReads(t *testing.T) {
	f := newFleet(t, 2)
	v := f.startForPipelines(0)
	f.setWork(map[string]time.Duration{"first": 100 * time.Millisecond})
	for name, form := range smuggling {
		inner := lookup("smuggled")
		text := fmt.Sprintf(form, len(inner), inner)
		statuses := func(pipelined bool) (list []int) {
			c := v.dial(t)
			if pipelined {
				c.send(lookup("first") + text)
			} else {
				c.send(lookup("first"))
				c.wantAnswer("first")
				c.send(text)
			}
			_ = c.conn.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
			for {
				answer, err := http.ReadResponse(c.reader, nil)
				if err != nil {
					break
				}
				if _, err := io.Copy(io.Discard, answer.Body); err != nil {
					break
				}
				list = append(list, answer.StatusCode)
			}
			_ = c.conn.Close()
			if pipelined && len(list) > 0 && list[0] == http.StatusOK {
				list = list[1:]
			}
			return list
		}
		before := f.countRuns("smuggled")
		separate := statuses(false)
		ran := f.countRuns("smuggled") - before
		piped := statuses(true)
		f.waitIdle(v)
		if again := f.countRuns("smuggled") - before - ran; again != ran || !slices.Equal(piped, separate) {
			t.Errorf("%s: pipelined, the request inside ran %d times and the statuses are %v; otherwise %d times and %v", name, again, piped, ran, separate)
		}
	}
}

// Guards against an end of a request that differs from the one that net/http finds: then
// other bytes would run early than those that the server reads next.
func FuzzPipelineHead(f *testing.F) {
	for _, form := range smuggling {
		f.Add([]byte(fmt.Sprintf(form, 5, "12345")), 3)
	}
	f.Add([]byte(lookup("a")+booking("w", "order")+lookup("b")), 40)
	f.Fuzz(func(t *testing.T, text []byte, split int) {
		rest := text
		for len(rest) > 0 {
			var whole, pieces headScanner
			n, complete := whole.feed(rest)
			at := max(0, min(split, len(rest)))
			m, completeFirst := pieces.feed(rest[:at])
			if !completeFirst && !pieces.opaque {
				var more int
				more, completeFirst = pieces.feed(rest[at:])
				m += more
			}
			if completeFirst != complete || whole.opaque != pieces.opaque || complete && (m != n || whole.length != pieces.length || whole.closes != pieces.closes) {
				t.Fatalf("%q is scanned differently in two pieces", rest)
			}
			if !complete {
				return
			}
			source := strings.NewReader(string(rest))
			reader := bufio.NewReaderSize(source, len(rest)+16)
			r, err := http.ReadRequest(reader)
			if err != nil {
				return // the server closes the connection; such a request is not run early
			}
			if used := len(rest) - source.Len() - reader.Buffered(); used != n || r.ContentLength != whole.length || len(r.TransferEncoding) > 0 || r.Close != whole.closes || (r.Body == http.NoBody) != (whole.length == 0) {
				t.Fatalf("%q: the scanner finds %d bytes and a body of %d, net/http %d and %d", rest, n, whole.length, used, r.ContentLength)
			}
			end := int64(n) + whole.length
			if end > int64(len(rest)) {
				return
			}
			rest = rest[end:]
		}
	})
}

// BenchmarkPipelineHead measures what a request costs whose caller does not pipeline.
func BenchmarkPipelineHead(b *testing.B) {
	text := []byte(lookup("a"))
	b.ReportAllocs()
	for b.Loop() {
		var s headScanner
		if _, complete := s.feed(text); !complete {
			b.Fatal("the head is not complete")
		}
	}
}
