package gateway

import (
	"net/http"
	"testing"
	"time"

	"lacewingmount.dev/platform/platformtest"
)

// Load: callers with open connections send requests while the VM stops and none is in
// progress. They get an answer, which says that the request has not run.
func TestShutdownAnswersRequestsOfOpenConnections(t *testing.T) {
	f := newFleet(t, 1)
	f.configure(defaultParameters)
	v := f.startReady("vm-1")
	v.refuseAfter = 100 * time.Millisecond
	const callers = 8
	var connections []*platformtest.Caller
	for range callers {
		c, err := platformtest.Dial(v.callers, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		connections = append(connections, c)
	}
	call := func(id string) platformtest.Call {
		return platformtest.Call{ID: id, Method: http.MethodPost, Path: "/r/", Key: "k1", Deadline: 2 * time.Second}
	}
	for i, c := range connections {
		if reply, err := c.Do(call("before-" + string(rune('a'+i)))); err != nil || reply.Status != http.StatusOK {
			t.Fatalf("%+v, %v", reply, err)
		}
	}
	v.stop()
	f.waitFor("the VM refuses requests", v.refusing.Load)
	for i, c := range connections {
		time.Sleep(quietTime / 4)
		reply, err := c.Do(call("after-" + string(rune('a'+i))))
		if err != nil || reply.Status != http.StatusServiceUnavailable || !reply.Closing {
			t.Errorf("request %d after the start of the shutdown: %+v, %v", i, reply, err)
		}
	}
	<-v.done
}

// Load: the store does not answer, and a request runs until the end of the grace period.
// The process ends before it is killed.
func TestShutdownEndsWithinTheGracePeriodWithoutTheStore(t *testing.T) {
	f := newFleet(t, 1)
	parameters := defaultParameters
	parameters.timeout = "20s"
	f.configure(parameters)
	v := f.startReady("vm-1")
	f.setBehavior(func(*platformtest.Server, string) platformtest.Behavior { return platformtest.Hang })
	connection, err := platformtest.Dial(v.callers, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	go func() {
		_, _ = connection.Do(platformtest.Call{ID: "hangs", Method: http.MethodPost, Path: "/r/", Key: "k1", Deadline: 20 * time.Second}) // ends with the VM
	}()
	f.waitFor("the request is in progress", func() bool { return v.active.Load() == 1 })
	f.store.SetFaults(platformtest.StoreFaults{Silent: true})
	defer f.store.SetFaults(platformtest.StoreFaults{})
	began := time.Now()
	v.stop()
	<-v.done
	if took, limit := time.Since(began), v.settings.Bounds.GracePeriod; took > limit {
		t.Errorf("the shutdown took %v, the grace period is %v", took, limit)
	}
}
