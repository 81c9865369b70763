package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// lateCaller sends requests on one connection during a shutdown.
type lateCaller struct {
	*rawCaller
	mu       sync.Mutex
	statuses map[string]int // of the complete answers, by request ID
}

// collect reads answers until the connection ends.
func (c *lateCaller) collect() {
	for {
		answer, err := http.ReadResponse(c.reader, nil)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return
		}
		c.mu.Lock()
		c.statuses[answer.Header.Get("Request-Id")] = answer.StatusCode
		c.mu.Unlock()
	}
}

// write sends bytes. It fails if the VM has closed the connection, so that nothing runs.
func (c *lateCaller) write(text string) { _, _ = io.WriteString(c.conn, text) }

// Guards against requests that are taken late in the grace period and cut at its end. Load:
// requests of 0.4 s in every sixth of a grace period of 4 s: on idle, busy and new
// connections, and two at once on one connection. A request that runs is answered with its
// server's answer, and one that is answered with a promise does not run.
func TestLateRequestsAreAnsweredOrDoNotRun(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3)
	v := f.startWithTimeout("3s")
	grace := v.settings.Bounds.GracePeriod
	v.schedule.Store(newShutdownSchedule(grace))
	dial := func() *lateCaller {
		conn, err := net.Dial("tcp", v.callers)
		if err != nil {
			return nil // the VM listens no longer
		}
		return &lateCaller{rawCaller: newRawCaller(t, conn), statuses: map[string]int{}}
	}
	kept := map[string]*lateCaller{}
	for i := range 6 {
		for _, kind := range []string{"idle", "busy", "pipelined"} {
			c := dial()
			c.write(head("before") + "\r\n")
			c.receive()
			kept[fmt.Sprint(kind, i)] = c
		}
	}
	for _, s := range f.servers {
		s.SetProcessingTime(400 * time.Millisecond)
	}
	began := time.Now()
	v.stop()
	var callers sync.WaitGroup
	for i := range 6 {
		for _, kind := range []string{"idle", "busy", "pipelined", "new"} {
			callers.Go(func() {
				time.Sleep(time.Until(began.Add(grace*time.Duration(i)/6 + grace/12)))
				name := fmt.Sprint(kind, i)
				c := kept[name]
				if kind == "new" {
					if c = dial(); c == nil {
						return
					}
				}
				first, second := name+"-first", name+"-second"
				switch kind {
				case "busy":
					c.write(head(first) + "\r\n")
					time.Sleep(100 * time.Millisecond)
					c.write(head(second) + "\r\n")
				case "pipelined":
					c.write(head(first) + "\r\n" + head(second) + "\r\n")
				default:
					c.write(head(first) + "\r\n")
				}
				c.collect()
				for _, id := range []string{first, second} {
					status, runs := c.statuses[id], f.countRuns(id)
					if runs > 1 || (runs == 1) != (status == http.StatusOK) || status != 0 && status != http.StatusOK && status != http.StatusServiceUnavailable {
						t.Errorf("%s ran %d times, its answer has status %d (0: none)", id, runs, status)
					}
				}
			})
		}
	}
	callers.Wait()
	<-v.done
	served := 0
	for _, s := range f.servers {
		served += len(s.Runs())
	}
	if before := len(kept); served <= before {
		t.Error("no late request ran")
	}
}
