package crowd

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// programs is the directory of the programs under test.
var programs string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "lacewing-crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programs = dir
	build := exec.Command("go", "build", "-o", dir+"/", "./...")
	build.Dir = filepath.Join("..", "..", "cmd")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", output, err)
		return 1
	}
	return m.Run()
}

const samplePeriod = 20 * time.Millisecond

// process is a program under test. Its peaks are sampled from its start on.
type process struct {
	t    *testing.T
	pid  int
	done chan struct{}

	mu      sync.Mutex
	peakMB  float64 // resident memory
	peakFDs int     // open descriptors
	result  error   // how it ended
}

// start starts a program that is killed when the test ends. Its output goes to a file.
func start(t *testing.T, program string, environment []string, arguments ...string) *process {
	t.Helper()
	output := filepath.Join(t.TempDir(), program+".log")
	log, err := os.Create(output)
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command(filepath.Join(programs, program), arguments...)
	command.Env = append(os.Environ(), environment...)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	_ = log.Close() // the process has its own descriptor
	p := &process{t: t, pid: command.Process.Pid, done: make(chan struct{})}
	go func() {
		err := command.Wait()
		p.mu.Lock()
		p.result = err
		p.mu.Unlock()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill() // fails only if it has ended
		<-p.done
		if t.Failed() {
			content, _ := os.ReadFile(output)
			t.Logf("end of the output of %s:\n%s", program, content[max(0, len(content)-3000):])
		}
	})
	go p.sample()
	return p
}

func (p *process) sample() {
	for {
		select {
		case <-p.done:
			return
		case <-time.After(samplePeriod):
		}
		megabytes, descriptors := p.residentMB(), p.openFDs()
		p.mu.Lock()
		p.peakMB, p.peakFDs = max(p.peakMB, megabytes), max(p.peakFDs, descriptors)
		p.mu.Unlock()
	}
}

// residentMB returns the resident memory of the process; 0 if it has ended.
func (p *process) residentMB() float64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			if err != nil {
				return 0
			}
			return float64(kilobytes) / 1024
		}
	}
	return 0
}

func (p *process) openFDs() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	if err != nil {
		return 0
	}
	return len(entries)
}

// check fails the test if the process has ended or has exceeded a bound.
func (p *process) check(maxMB float64, maxFDs int) {
	p.t.Helper()
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.done:
		p.t.Errorf("the process has ended: %v", p.result)
	default:
	}
	p.t.Logf("peaks: %.0f MB resident, %d descriptors", p.peakMB, p.peakFDs)
	if p.peakMB > maxMB {
		p.t.Errorf("%.0f MB resident, %.0f allowed", p.peakMB, maxMB)
	}
	if p.peakFDs > maxFDs {
		p.t.Errorf("%d open descriptors, %d allowed", p.peakFDs, maxFDs)
	}
}
