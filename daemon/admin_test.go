package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"lacewingmount.dev/errs"
	"lacewingmount.dev/timeline"
)

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func get(t *testing.T, url string) (int, string) {
	t.Helper()
	answer, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer.StatusCode, string(body)
}

func TestAdminEndpoints(t *testing.T) {
	ring := timeline.NewRing(timeline.NewClock(time.Now), "vm-1", "test")
	ring.Add(timeline.Event{Kind: timeline.KindStarted})
	for _, profiled := range []bool{false, true} {
		admin := NewAdmin(ring)
		if profiled {
			admin.EnableProfiling()
		}
		address := freeAddress(t)
		if err := admin.Start(t.Context(), address); err != nil {
			t.Fatal(err)
		}
		base := "http://" + address
		if status, _ := get(t, base+"/livez"); status != http.StatusOK {
			t.Errorf("/livez answers %d", status)
		}
		for _, ready := range []bool{false, true, false} {
			admin.SetReady(ready)
			if status, _ := get(t, base+"/readyz"); (status == http.StatusOK) != ready {
				t.Errorf("ready %t, but /readyz answers %d", ready, status)
			}
		}
		if _, body := get(t, base+"/metrics"); !strings.Contains(body, "process_cpu_seconds_total") {
			t.Errorf("/metrics answers %q", body)
		}
		var events []timeline.Event
		if _, body := get(t, base+"/timeline"); json.Unmarshal([]byte(body), &events) != nil || len(events) != 1 || events[0].VM != "vm-1" {
			t.Errorf("/timeline answers %q", body)
		}
		if status, _ := get(t, base+"/debug/pprof/goroutine"); (status == http.StatusOK) != profiled {
			t.Errorf("profiling %t, but /debug/pprof answers %d", profiled, status)
		}
	}
}

func TestListenErrorNamesTheAddress(t *testing.T) {
	address := freeAddress(t)
	occupied, err := Listen(context.Background(), address)
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	err = ServeHTTP(t.Context(), address, http.NotFoundHandler())
	if errs.KindOf(err) != errs.Invalid || !strings.Contains(err.Error(), address) {
		t.Fatal(err)
	}
}
