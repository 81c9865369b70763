package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	slots         = 6
	queueLength   = 24
	heartbeat     = 1500 * time.Millisecond
	idleClose     = 10 * time.Second
	responseBytes = 5000
	firstPart     = 32 << 10 // of a body, read before the work where lateBody is set
)

// run is one execution of a request at a server.
type run struct {
	id, server, service string
	at                  time.Time // when the request arrived
	workUntil           time.Time // when its work ends
}

// runLog holds all executions.
type runLog struct {
	mu   sync.Mutex
	runs []run
}

func (l *runLog) add(r run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

func (l *runLog) all() []run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]run(nil), l.runs...)
}

func (l *runLog) byID() map[string][]run {
	runs := map[string][]run{}
	for _, r := range l.all() {
		runs[r.id] = append(runs[r.id], r)
	}
	return runs
}

// server is a stand-in for a backend server.
type server struct {
	id, service string
	listener    net.Listener
	store       *store
	rec         *record
	log         *runLog
	started     time.Time
	free        chan struct{} // one value for each free slot
	meanWork    time.Duration

	mu         sync.Mutex
	waiting    int
	refuse     float64 // share of the requests that are refused as not run, while the server is in trouble
	copies     float64 // share of the answers of which a second copy comes late
	registered bool
	sequence   int
	lateBody   bool          // works on a request before it has read the whole body
	maxWork    time.Duration // longest work, if lateBody is set
}

func newServer(s *store, rec *record, log *runLog, host, id, service string, meanWork time.Duration) (*server, error) {
	listener, err := listenSmall(host + ":0")
	if err != nil {
		return nil, err
	}
	v := &server{id: id, service: service, listener: listener, store: s, rec: rec, log: log, started: time.Now(), free: make(chan struct{}, slots), meanWork: meanWork, registered: true}
	for range slots {
		v.free <- struct{}{}
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go v.serve(conn)
		}
	}()
	v.register()
	go func() {
		time.Sleep(time.Duration(rand.Float64() * float64(heartbeat)))
		for range time.Tick(heartbeat) {
			v.register()
		}
	}()
	return v, nil
}

// listenSmall listens with the small receive windows that the pages tell of.
func listenSmall(address string) (net.Listener, error) {
	const window = 64 << 10
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var result error
		err := raw.Control(func(fd uintptr) {
			result = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window/2) // Linux doubles it
		})
		if err != nil {
			return err
		}
		return result
	}}
	return config.Listen(context.Background(), "tcp", address)
}

// register writes the server's record, unless it has left or the store is down.
func (v *server) register() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.store.mu.Lock()
	down := v.store.busy
	v.store.mu.Unlock()
	if !v.registered || down {
		return
	}
	v.sequence++
	v.store.put("servers/"+v.id, map[string]any{
		"service": v.service, "address": v.listener.Addr().String(), "zone": "jeonju", "version": "v1", "slots": slots,
		"state": "ready", "coldRemaining": "0ms", "sequence": v.sequence, "born": v.started.UnixMilli(),
	})
}

// leave removes the server's record without reporting draining before. The server goes on serving.
func (v *server) leave() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.registered = false
	at := v.store.remove("servers/" + v.id)
	v.rec.log("store acknowledged removal of servers/%s", v.id)
	return at
}

func (v *server) setTrouble(refuse, copies float64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refuse, v.copies = refuse, copies
}

// serve answers the requests of one channel, one at a time.
func (v *server) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var late []byte // second copy of an earlier answer, sent when the next one is expected
	var lateID string
	for {
		conn.SetReadDeadline(time.Now().Add(idleClose))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		arrived := time.Now()
		conn.SetReadDeadline(time.Now().Add(30 * time.Second))
		if v.lateBody {
			_, err = io.CopyN(io.Discard, r.Body, min(r.ContentLength, firstPart))
		} else {
			_, err = io.Copy(io.Discard, r.Body)
		}
		if err != nil {
			return
		}
		id := r.Header.Get("Request-Id")
		if late != nil {
			v.rec.log("server %s sends the second copy of its answer to %s, as %s has arrived", v.id, lateID, id)
			if _, err := conn.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer := v.handle(r, arrived)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			v.rec.log("server %s could not read the rest of the body of %s: %v", v.id, id, err)
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
		v.mu.Lock()
		if rand.Float64() < v.copies {
			late, lateID = answer, id
		}
		v.mu.Unlock()
	}
}

// handle runs the request or refuses it, and returns the answer.
func (v *server) handle(r *http.Request, arrived time.Time) []byte {
	id := r.Header.Get("Request-Id")
	head := func(status int) string {
		return fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nKeep-Alive: timeout=%d\r\n", status, http.StatusText(status), id, v.id, int(idleClose.Seconds()))
	}
	notRun := func(status int, why string) []byte {
		v.rec.log("server %s answers %d (not run, %s) to %s", v.id, status, why, id)
		return []byte(head(status) + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != v.id {
		return notRun(421, "other instance")
	}
	if r.URL.Path == "/health" {
		return []byte(head(200) + "Content-Length: 0\r\n\r\n")
	}
	if id == "" {
		return notRun(400, "no id")
	}
	left, err := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	if err != nil {
		left = 30000
	}
	v.mu.Lock()
	refuse := rand.Float64() < v.refuse
	full := v.waiting >= queueLength
	if !refuse && !full {
		v.waiting++
	}
	v.mu.Unlock()
	if refuse {
		return notRun(503, "in trouble")
	}
	if full {
		return notRun(503, "full")
	}
	deadline := time.NewTimer(time.Until(arrived.Add(time.Duration(left) * time.Millisecond)))
	defer deadline.Stop()
	inTime := true
	select {
	case <-v.free:
	case <-deadline.C:
		inTime = false
	}
	v.mu.Lock()
	v.waiting--
	v.mu.Unlock()
	if !inTime {
		return notRun(503, "time budget over in the queue")
	}
	defer func() { v.free <- struct{}{} }()
	work := time.Duration((0.5 + rand.Float64()) * float64(v.meanWork))
	if v.lateBody {
		work = v.meanWork + time.Duration(rand.Float64()*float64(v.maxWork-v.meanWork))
	}
	v.log.add(run{id, v.id, v.service, arrived, time.Now().Add(work)})
	v.rec.log("server %s runs %s", v.id, id)
	time.Sleep(work)
	body := make([]byte, responseBytes)
	for i := range body {
		body[i] = 'a' + byte(i%26)
	}
	return append([]byte(head(200)+fmt.Sprintf("Server-Signature: %s.%s\r\nContent-Length: %d\r\n\r\n", v.id, id, len(body))), body...)
}
