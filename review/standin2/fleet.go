package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	metricsPort = 9464        // in the command of the deploy file
	probePeriod = time.Second // of the platform's question whether a machine is ready
	ready       = 1           // offsets of the other ports of a machine from that for callers
	control     = 2
	internal    = 3
	internals   = 16 // ports for the machines among themselves
)

// gateway is one machine of the system with its process.
type gateway struct {
	name, ip, boot, log string
	mu                  sync.Mutex
	process             *os.Process   // nil before the start
	ended               chan struct{} // closed when the process has ended
	inRotation          atomic.Bool
}

// fleet holds the gateways and the stand-ins around them.
type fleet struct {
	dir      string
	net      string // first three bytes of the addresses
	store    *store
	servers  []*server
	gateways []*gateway
	port     int // of the machines, for callers
	memoryMB int
	fds      int
	record   *os.File
	recordMu sync.Mutex
	began    time.Time
	closed   atomic.Bool
}

func newFleet(record string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		_ = os.RemoveAll(dir)
		return nil, err
	}
	f := &fleet{dir: dir, net: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250)), record: file, began: time.Now()}
	if f.store, err = startStore(f.net + ".250"); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// note writes a line into the record.
func (f *fleet) note(format string, args ...any) {
	f.recordMu.Lock()
	defer f.recordMu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(f.began).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(f.record, line)
}

// say writes a line into the record and to standard output.
func (f *fleet) say(format string, args ...any) {
	f.note(format, args...)
	fmt.Printf("%8.3f "+format+"\n", append([]any{time.Since(f.began).Seconds()}, args...)...)
}

func (f *fleet) addServers(service string, n int, work time.Duration) error {
	for i := range n {
		s, err := startServer(f.net+".240", fmt.Sprintf("i-%s-%d", service, i), service, work)
		if err != nil {
			return err
		}
		f.servers = append(f.servers, s)
		go s.beat(f.store)
	}
	return nil
}

// addGateways starts n machines, each with the memory and descriptors.
func (f *fleet) addGateways(n int, memoryMB, fds int) error {
	f.memoryMB, f.fds = memoryMB, fds
	for i := range n {
		g := &gateway{name: fmt.Sprintf("edge-z1-%d", i+1), ip: fmt.Sprintf("%s.%d", f.net, i+1)}
		g.boot, g.log = filepath.Join(f.dir, g.name+".conf"), filepath.Join(f.dir, g.name+".log")
		f.gateways = append(f.gateways, g)
	}
	if err := f.choosePorts(); err != nil {
		return err
	}
	for _, g := range f.gateways {
		if err := f.start(g, true); err != nil {
			return err
		}
	}
	return f.awaitReady()
}

// choosePorts chooses ports that are free on all machines.
func (f *fleet) choosePorts() error {
	for range 50 {
		f.port = 10000 + rand.IntN(20000)
		ports := []int{f.port, f.port + ready, f.port + control, f.port + internal, f.port + internal + 1, metricsPort}
		free := true
		for _, g := range f.gateways {
			for _, port := range ports {
				free = free && isFree(g.ip, port)
			}
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("no free ports, or port %d of the deploy file is in use", metricsPort)
}

// isFree reports whether the port is free for TCP and UDP.
func isFree(ip string, port int) bool {
	address := net.JoinHostPort(ip, strconv.Itoa(port))
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = listener.Close() }()
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return conn.Close() == nil
}

func (f *fleet) settings(g *gateway, first bool) string {
	return fmt.Sprintf(`self.nodeName=%[1]s
self.role=gateway
self.machineClass=edge
self.serves=edge
self.ip=%[2]s
self.zone=z1
self.region=r1
self.inFaultBudget=false
self.bootstrap=%[11]t
self.limits.cpuShare=0.32
self.limits.cpuCores=1
self.limits.memoryMb=%[4]d
self.limits.maxFds=%[5]d
self.limits.linkMbps=1000.0
self.limits.diskMb=0
network.listen.front=%[2]s:%[6]d
network.listen.ready=%[2]s:%[7]d
network.listen.control=%[2]s:%[8]d
network.internalPorts=%[9]d,%[10]d
network.seeds=%[2]s:%[8]d
network.zones.z1=r1
platform.discovery=platform
platform.entry=vip
platform.heartbeat=1500ms
platform.platform.address=%[3]s
platform.platform.form=kv
platform.platform.writesPerS=400
platform.platform.readsPerS=2000
platform.platform.history=20s
platform.platform.valueBytes=1048576
platform.platform.minTtl=1000ms
terms.contracts=base,drain,config,cost,retry,recover,health,tenants,quota,platform
terms.faultTolerance.machines=2
terms.faultTolerance.zones=0
terms.faultTolerance.regions=0
terms.bounds.seedLag=3s
terms.bounds.addrReuse=2s
terms.bounds.stableWindow=3000ms
terms.bounds.ack=4000ms
terms.bounds.catchUp=4s
terms.bounds.drain=2000ms
terms.bounds.grace=6s
terms.bounds.lossSlack=200ms
terms.bounds.configApply=2000ms
terms.bounds.rollbackSlack=250ms
terms.bounds.maxSkew=5000ms
terms.bounds.revokePartitioned=false
terms.bounds.revoke=5000ms
terms.bounds.budgetRatio=0.2
terms.bounds.budgetWindow=10s
terms.bounds.budgetSlack=64
terms.bounds.quotaWindow=5s
terms.bounds.quotaOverage=0.1
terms.bounds.quotaSlack=20
terms.bounds.recovery=15s
terms.bounds.probesPerS=3
terms.bounds.minShare=0.7
`, g.name, g.ip, f.store.address, f.memoryMB, f.fds, f.port, f.port+ready, f.port+control, f.port+internal, f.port+internal+internals-1, first)
}

// start writes the settings of the machine and runs the command of the deploy file. first is
// whether the whole system starts for the first time.
func (f *fleet) start(g *gateway, first bool) error {
	if err := os.WriteFile(g.boot, []byte(f.settings(g, first)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	command := exec.Command("target/lacewing-gateway", "--metrics-port", strconv.Itoa(metricsPort))
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LACEWINGMOUNT_BOOT=" + g.boot}
	command.Stdout, command.Stderr = out, out
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	g.mu.Lock()
	defer g.mu.Unlock()
	if f.closed.Load() {
		return errors.New("the case ends")
	}
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	g.process, g.ended = command.Process, ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	f.note("%s started, process %d", g.name, command.Process.Pid)
	return nil
}

func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.process.Signal(s)
}

// wait waits for the end of the process, and kills it after the grace period.
func (g *gateway) wait(grace time.Duration) {
	g.mu.Lock()
	ended := g.ended
	g.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(grace):
		g.signal(syscall.SIGKILL)
		<-ended
	}
}

func (f *fleet) awaitReady() error {
	for _, g := range f.gateways {
		deadline := time.Now().Add(10 * time.Second)
		for !f.isReady(g) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", g.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
		g.inRotation.Store(true)
		go func() {
			for misses := 0; ; time.Sleep(probePeriod) {
				if f.isReady(g) {
					misses = 0
				} else {
					misses++
				}
				g.inRotation.Store(misses < 2)
			}
		}()
	}
	return nil
}

var probeClient = &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

func (f *fleet) isReady(g *gateway) bool {
	response, err := probeClient.Get(fmt.Sprintf("http://%s:%d/api/ready", g.ip, f.port+ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pick returns a machine for a client's new channel, as the platform does.
func (f *fleet) pick(hash int) *gateway {
	var in []*gateway
	for _, g := range f.gateways {
		if g.inRotation.Load() {
			in = append(in, g)
		}
	}
	if 2*len(in) < len(f.gateways) {
		in = f.gateways
	}
	return in[hash%len(in)]
}

// close ends all processes, waits for their end and removes the folder.
func (f *fleet) close() {
	f.closed.Store(true)
	for _, g := range f.gateways {
		g.mu.Lock()
		process, ended := g.process, g.ended
		g.mu.Unlock()
		if process != nil {
			_ = process.Kill() // does nothing if it has ended
			<-ended
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = exec.Command("cp", "-r", f.dir, keep).Run()
	}
	_ = os.RemoveAll(f.dir)
}

// logLines returns the lines of the machine's log that contain all words.
func logLines(g *gateway, words ...string) []string {
	content, err := os.ReadFile(g.log)
	if err != nil {
		return nil
	}
	var found []string
	for line := range strings.Lines(string(content)) {
		all := true
		for _, word := range words {
			all = all && strings.Contains(line, word)
		}
		if all {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}

// client sends requests on one channel, and opens a new one when it ends.
type client struct {
	f      *fleet
	number int
	conn   net.Conn
	reader *bufio.Reader
	at     *gateway
}

// result is what a client got for a request.
type result struct {
	status int // 0 if the channel ended
	signed bool
	body   int
	err    error
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and reads its answer.
func (c *client) send(method, host, path, id, key string, budget time.Duration, body string) result {
	if c.conn == nil {
		c.at = c.f.pick(c.number)
		conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", c.at.ip, c.f.port), time.Second)
		if err != nil {
			return result{err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(budget))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nKey: %s\r\n", method, path, host, id, budget.Milliseconds(), key)
	if method != http.MethodGet {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c.conn, head+"\r\n"+body); err != nil {
		c.close()
		return result{err: err}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.close()
		return result{err: err}
	}
	n, err := io.Copy(io.Discard, response.Body)
	if err != nil || response.Close {
		c.close()
	}
	return result{status: response.StatusCode, signed: response.Header.Get("Server-Signature") != "", body: int(n), err: err}
}
