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

// stopUnderLoad serves callers that keep their connections and leave them only
// when told to, stops the entry by stop, and returns how many requests were sent
// and how many of these got no whole answer.
func stopUnderLoad(t *testing.T, stop func(e *Entry, server *http.Server, listener net.Listener)) (sent, torn int) {
	t.Helper()
	backend := newRawServer(t, func(c *rawConn, _ int) {
		for c.read() != nil {
			time.Sleep(2 * time.Millisecond)
			c.send("%s", okAnswer)
		}
	})
	e := New(Settings{VM: "vm", Zone: "a", Agent: "127.0.0.1:1", DrainDelay: daemon.Duration(100 * time.Millisecond)}, zap.NewNop())
	e.authority.extend(time.Now(), time.Hour)
	e.stages = []Stage{routeStage{}, e.identify(), newForwardStage(&orderPicker{}, &memoryClaimer{records: map[string]*wire.SettleRequest{}})}
	e.table.Store(newTable(wire.Snapshot{Document: benchDocument(addresses(backend))}, nil))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := newServer(e)
	go func() { _ = server.Serve(listener) }()

	var mu sync.Mutex
	var callers sync.WaitGroup
	for i := range 24 {
		callers.Go(func() {
			for {
				requests, broken, done := useConnection(listener.Addr().String(), time.Duration(i)*time.Millisecond)
				mu.Lock()
				sent, torn = sent+requests, torn+broken
				mu.Unlock()
				if done {
					return
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	stop(e, server, listener)
	callers.Wait()
	return sent, torn
}

// useConnection sends requests on one connection, with a pause between them,
// until it is told to close it or an answer is torn.
func useConnection(address string, pause time.Duration) (sent, torn int, done bool) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0, 0, true
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if _, err := fmt.Fprintf(conn, "GET /read HTTP/1.1\r\nHost: entry\r\n%s: %s\r\n\r\n", keys.Header, benchKey); err != nil {
			return sent + 1, torn + 1, false
		}
		sent++
		answer, err := http.ReadResponse(reader, nil)
		if err != nil {
			return sent, torn + 1, errors.Is(err, net.ErrClosed)
		}
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			return sent, torn + 1, false
		}
		if answer.Close {
			return sent, torn, true // by now the balancer sends its callers elsewhere
		}
		time.Sleep(pause)
	}
}

func TestProofShutdownTearsNoRequestOfConnectedCallers(t *testing.T) {
	sent, torn := stopUnderLoad(t, func(e *Entry, server *http.Server, listener net.Listener) {
		if err := e.shutdown(server, listener); err != nil {
			t.Error(err)
		}
	})
	t.Logf("%d requests, %d torn", sent, torn)
	if torn > 0 {
		t.Errorf("%d of %d requests got no whole answer", torn, sent)
	}
}

// The control: closing at once tears requests, and the check sees it.
func TestControlShutdownClosingAtOnceTearsRequests(t *testing.T) {
	sent, torn := stopUnderLoad(t, func(_ *Entry, server *http.Server, _ net.Listener) { _ = server.Close() })
	t.Logf("%d requests, %d torn", sent, torn)
	if torn == 0 {
		t.Error("the check found nothing")
	}
}
