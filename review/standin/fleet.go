package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryMB     = 284
	restartDelay = time.Second
)

// machine runs one process of the gateway, as deploy/system.toml says.
type machine struct {
	name, ip          string
	front, ready      string
	fleetPort         int
	settings, logPath string
	rec               *record
	root              string

	mu      sync.Mutex
	process *exec.Cmd
	inUse   bool // the platform sends new channels
	down    bool // killed by the test and not to be restarted
	ended   bool // the case is over; nothing is started any more
	ends    int  // times that the process was ended because of its memory
	peakMB  int
}

// fleet is all machines.
type fleet struct {
	machines []*machine
	stop     chan struct{}
	once     sync.Once
}

// freePort returns a port that is free on the host for TCP and, if asked for, UDP.
func freePort(host string, udp bool) (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		l.Close()
		if !udp {
			return port, nil
		}
		u, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", host, port))
		if err == nil {
			u.Close()
			return port, nil
		}
	}
	return 0, fmt.Errorf("no free port on %s", host)
}

// startFleet starts machines of the given names on loopback addresses and waits until all are ready.
func startFleet(e *env, names ...string) (*fleet, error) {
	f := &fleet{stop: make(chan struct{})}
	e.onEnd(f.end)
	for i, name := range names {
		m := &machine{name: name, ip: fmt.Sprintf("%s.%d", e.base, i+11), rec: e.rec, root: e.root}
		ports := make([]int, 3)
		for j := range ports {
			var err error
			if ports[j], err = freePort(m.ip, j == 2); err != nil {
				return nil, err
			}
		}
		m.front, m.ready, m.fleetPort = fmt.Sprintf("%s:%d", m.ip, ports[0]), fmt.Sprintf("%s:%d", m.ip, ports[1]), ports[2]
		storeAddress, err := e.store.listenFor(m.name)
		if err != nil {
			return nil, err
		}
		m.settings, m.logPath = filepath.Join(e.dir, m.name+".conf"), filepath.Join(e.dir, m.name+".log")
		if err := os.WriteFile(m.settings, []byte(m.settingsText(storeAddress)), 0o644); err != nil {
			return nil, err
		}
		f.machines = append(f.machines, m)
	}
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return nil, err
		}
		go m.probe(f.stop)
		go m.watchMemory(f.stop)
	}
	for end := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, m := range f.machines {
			all = all && m.takesChannels()
		}
		if all {
			return f, nil
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("not all machines became ready")
		}
	}
}

func (m *machine) settingsText(storeAddress string) string {
	zone := strings.Split(m.name, "-")[1]
	return fmt.Sprintf(`self.nodeName=%s
self.role=gateway
self.machineClass=edge
self.serves=edge
self.ip=%s
self.zone=%s
self.region=honam
self.inFaultBudget=false
self.bootstrap=true
self.limits.cpuShare=0.32
self.limits.cpuCores=1
self.limits.memoryMb=%d
self.limits.maxFds=4100
self.limits.linkMbps=1000.0
self.limits.diskMb=0
network.listen.front=%s
network.listen.ready=%s
network.internalPorts=%d,%d
network.zones.jeonju=honam
network.zones.gwangju=honam
network.zones.mokpo=honam
platform.discovery=platform
platform.entry=vip
platform.heartbeat=1500ms
platform.platform.address=%s
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
`, m.name, m.ip, zone, memoryMB, m.front, m.ready, m.fleetPort, m.fleetPort, storeAddress)
}

// runWords returns the words of the run line of the role gateway in the deploy file.
func runWords(root string) ([]string, error) {
	file, err := os.Open(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return nil, err
	}
	defer file.Close()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), "=")
		if ok && strings.TrimSpace(name) == "run" {
			return strings.Fields(strings.Trim(strings.TrimSpace(value), `"`)), nil
		}
	}
	return nil, fmt.Errorf("deploy/system.toml has no run line")
}

// start starts the process of the machine.
func (m *machine) start() error {
	words, err := runWords(m.root)
	if err != nil {
		return err
	}
	logFile, err := os.OpenFile(m.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	process := exec.Command(filepath.Join(m.root, words[0]), words[1:]...)
	process.Dir = m.root
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LACEWINGMOUNT_BOOT=" + m.settings}
	process.Stdout, process.Stderr = logFile, logFile
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // if this program itself is killed
	m.mu.Lock()
	if m.ended {
		m.mu.Unlock()
		return logFile.Close()
	}
	if err := process.Start(); err != nil {
		m.mu.Unlock()
		return err
	}
	m.process, m.down = process, false
	m.mu.Unlock()
	m.rec.log("machine %s started, process %d", m.name, process.Process.Pid)
	go func() {
		err := process.Wait()
		logFile.Close()
		m.rec.log("machine %s ended: %v", m.name, err)
		time.Sleep(restartDelay)
		m.mu.Lock()
		again := !m.down
		m.mu.Unlock()
		if again {
			if err := m.start(); err != nil {
				m.rec.log("machine %s not restarted: %v", m.name, err)
			}
		}
	}()
	return nil
}

// kill sends SIGKILL. The machine stays down.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down, m.inUse = true, false
	m.process.Process.Kill()
}

// terminate sends SIGTERM, and SIGKILL after the grace period. The machine is started again.
func (m *machine) terminate(grace time.Duration) {
	m.mu.Lock()
	process := m.process
	m.mu.Unlock()
	m.rec.log("machine %s gets SIGTERM", m.name)
	process.Process.Signal(syscall.SIGTERM)
	time.AfterFunc(grace, func() { process.Process.Kill() }) // no effect on a process that has ended
}

func (m *machine) takesChannels() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inUse
}

// probe asks once a second whether the machine is ready, as the platform's entry does. After two
// misses the machine gets no new channels until it answers again.
func (m *machine) probe(stop chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	misses := 0
	for {
		response, err := client.Get("http://" + m.ready + "/api/ready")
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			response.Body.Close()
		}
		m.mu.Lock()
		if ok {
			misses, m.inUse = 0, !m.down
		} else if misses++; misses >= 2 {
			m.inUse = false
		}
		m.mu.Unlock()
		period := time.Second
		if misses > 0 && !m.takesChannels() {
			period = 100 * time.Millisecond // only at the start and after an end
		}
		select {
		case <-stop:
			return
		case <-time.After(period):
		}
	}
}

// watchMemory kills the process when it exceeds the machine's memory, as the platform does.
func (m *machine) watchMemory(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		m.mu.Lock()
		if m.process != nil && !m.down {
			used := residentMB(m.process.Process.Pid)
			m.peakMB = max(m.peakMB, used)
			if used > memoryMB {
				m.rec.log("platform kills machine %s: its process holds %d MB of %d", m.name, used, memoryMB)
				m.ends++
				m.process.Process.Kill()
				m.process = nil
			}
		}
		m.mu.Unlock()
	}
}

// residentMB returns the resident memory of a process in MB; 0 if it has ended.
func residentMB(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(text)[0])
			return kb >> 10
		}
	}
	return 0
}

// end kills all processes that the fleet started, by their ids. Later calls do nothing.
func (f *fleet) end() {
	f.once.Do(f.killAll)
}

func (f *fleet) killAll() {
	close(f.stop)
	for _, m := range f.machines {
		m.mu.Lock()
		m.down, m.ended = true, true
		if m.process != nil {
			m.process.Process.Kill()
		}
		m.mu.Unlock()
	}
	time.Sleep(200 * time.Millisecond)
}

// pick returns the address of a machine that takes new channels, by the client's number.
func (f *fleet) pick(number int) string {
	for i := range f.machines {
		if m := f.machines[(number+i)%len(f.machines)]; m.takesChannels() {
			return m.front
		}
	}
	return ""
}
