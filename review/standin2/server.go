package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	serverSlots     = 6
	serverQueue     = 24
	heartbeatPeriod = 1500 * time.Millisecond
)

// arrival is a request that reached a server.
type arrival struct {
	id  string
	at  time.Time
	ran bool
}

// server is a stand-in of an upstream: it runs up to serverSlots requests at a time and queues
// a few more.
type server struct {
	id, service, address string
	born                 int64
	slots                chan struct{}
	queued               chan struct{}

	mu       sync.Mutex
	work     time.Duration
	size     int                  // bytes of an answer's body
	shed     func(id string) bool // whether the server rejects the request without running it
	arrivals []arrival
	runs     map[string]int
	answered map[string]bool // runs whose answer was sent
	conns    map[net.Conn]struct{}
	listener net.Listener
	ended    bool
}

func startServer(ip, id, service string, work time.Duration) (*server, error) {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &server{
		id: id, service: service, address: listener.Addr().String(), born: time.Now().UnixMilli(), work: work, size: 1500,
		slots: make(chan struct{}, serverSlots), queued: make(chan struct{}, serverSlots+serverQueue), runs: map[string]int{},
		answered: map[string]bool{}, conns: map[net.Conn]struct{}{}, listener: listener,
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = struct{}{}
			s.mu.Unlock()
			go s.serve(conn)
		}
	}()
	return s, nil
}

// beat writes the server's entry in the store until the process ends.
func (s *server) beat(st *store) {
	for sequence := 1; ; sequence++ {
		st.put("servers/"+s.id, fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"z1","version":"v1","slots":%d,"state":"ready","coldRemaining":"0ms","sequence":%d,"born":%d}`,
			s.service, s.address, serverSlots, sequence, s.born))
		time.Sleep(heartbeatPeriod)
	}
}

func (s *server) setShed(shed func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shed = shed
}

// exit ends the server with all its channels.
func (s *server) exit() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ended = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !s.handle(conn, r) {
			return
		}
	}
}

func (s *server) handle(conn net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Id")
	answer := func(status int, headers, body string) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\nKeep-Alive: timeout=10\r\n%sContent-Length: %d\r\n\r\n%s", status, id, headers, len(body), body)
		return err == nil
	}
	if r.Header.Get("Target-Instance") != s.id {
		return answer(http.StatusMisdirectedRequest, "Instance-Id: "+s.id+"\r\n", "")
	}
	if id == "" {
		return answer(http.StatusBadRequest, "Not-Executed: 1\r\n", "")
	}
	s.mu.Lock()
	rejects := s.shed != nil && s.shed(id)
	s.mu.Unlock()
	if !rejects {
		select {
		case s.queued <- struct{}{}:
		default:
			rejects = true
		}
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{id, time.Now(), !rejects})
	if !rejects {
		s.runs[id]++
	}
	work, size := s.work, s.size
	s.mu.Unlock()
	if rejects {
		return answer(http.StatusServiceUnavailable, "Not-Executed: 1\r\n", "")
	}
	s.slots <- struct{}{}
	time.Sleep(work)
	<-s.slots
	<-s.queued
	s.mu.Lock()
	ended := s.ended
	s.answered[id] = !ended
	s.mu.Unlock()
	return !ended && answer(http.StatusOK, "Server-Signature: sig-"+id+"\r\n", strings.Repeat("b", size))
}
