package entry

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"lacewingmount.dev/daemon"
	"lacewingmount.dev/keys"
	"lacewingmount.dev/wire"
)

// stopUnderLoad starts an entry and callers that keep their connections until a response
// tells them to close. It stops the entry with stop and returns the number of requests
// sent and the number of those without a complete response.
func stopUnderLoad(t *testing.T, stop func(e *Entry, server *daemon.CallerServer)) (sent, incomplete int) {
	t.Helper()
	backend := newRawServer(t, func(c *rawConn, _ int) {
		for c.read() != nil {
			time.Sleep(2 * time.Millisecond)
			c.send("%s", okResponse)
		}
	})
	e := New(Settings{VM: "vm", Zone: "a", Agent: "127.0.0.1:1", DrainDelay: daemon.Duration(100 * time.Millisecond)}, zap.NewNop())
	e.authority.extend(time.Now(), time.Hour)
	e.stages = []Stage{routeStage{}, e.newIdentifyStage(), newForwardStage(&sequentialPicker{}, newSettler(&inMemoryClaimer{records: map[string]*wire.SettleRequest{}}))}
	e.table.Store(newTable(wire.Snapshot{Document: testDocument(addresses(backend))}, nil))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := e.serve(listener)

	var mu sync.Mutex
	var callers sync.WaitGroup
	for i := range 24 {
		callers.Go(func() {
			for {
				requests, broken, done := useConnection(listener.Addr().String(), time.Duration(i)*time.Millisecond)
				mu.Lock()
				sent, incomplete = sent+requests, incomplete+broken
				mu.Unlock()
				if done {
					return
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	stop(e, server)
	callers.Wait()
	return sent, incomplete
}

// useConnection sends requests on one connection, with a pause between them, until a
// response says that the connection closes, or a response is incomplete.
func useConnection(address string, pause time.Duration) (sent, incomplete int, done bool) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, 0, true
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if _, err := fmt.Fprintf(conn, "GET /read HTTP/1.1\r\nHost: entry\r\n%s: %s\r\n\r\n", keys.Header, testKey); err != nil {
			return sent + 1, incomplete + 1, false
		}
		sent++
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			return sent, incomplete + 1, errors.Is(err, net.ErrClosed)
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return sent, incomplete + 1, false
		}
		if answer.Close {
			return sent, incomplete, true // by now a load balancer would have removed this VM
		}
		time.Sleep(pause)
	}
}

func TestProofShutdownTearsNoRequestOfConnectedCallers(t *testing.T) {
	sent, incomplete := stopUnderLoad(t, func(e *Entry, server *daemon.CallerServer) {
		if err := e.shutdown(server); err != nil {
			t.Error(err)
		}
	})
	t.Logf("%d requests, %d without a complete response", sent, incomplete)
	if incomplete > 0 {
		t.Errorf("%d of %d requests got no complete response", incomplete, sent)
	}
}

// TestControlShutdownClosingAtOnceTearsRequests checks that stopUnderLoad detects incomplete
// responses: the server is closed without waiting for requests in flight.
func TestControlShutdownClosingAtOnceTearsRequests(t *testing.T) {
	sent, incomplete := stopUnderLoad(t, func(_ *Entry, server *daemon.CallerServer) { _ = server.Close() })
	t.Logf("%d requests, %d without a complete response", sent, incomplete)
	if incomplete == 0 {
		t.Error("no incomplete response was detected")
	}
}
