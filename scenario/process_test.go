package scenario

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"
)

type processesKey struct{}

// processes are the programs that one script has started, by name.
type processes struct {
	running map[string]*process
}

type process struct {
	command *exec.Cmd
	done    chan struct{}
	err     error
}

func newProcesses(env *testscript.Env) *processes {
	started := &processes{running: map[string]*process{}}
	env.Defer(started.killAll)
	return started
}

func (p *processes) killAll() {
	for _, running := range p.running {
		_ = running.command.Process.Kill()
		<-running.done
	}
}

func processesOf(ts *testscript.TestScript) *processes {
	return ts.Value(processesKey{}).(*processes)
}

func startedProcess(ts *testscript.TestScript, name string) *process {
	running, ok := processesOf(ts).running[name]
	if !ok {
		ts.Fatalf("no program with the name %s was started", name)
	}
	return running
}

// startProgram starts a program. Its output is appended to NAME.log in the script's
// directory.
func startProgram(ts *testscript.TestScript, name, program, settings string) {
	expandFile(ts, settings)
	log, err := os.OpenFile(ts.MkAbs(name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	ts.Check(err)
	defer log.Close()
	command := exec.Command(filepath.Join(binaryDir, program), ts.MkAbs(settings))
	command.Stderr, command.Stdout = log, log
	ts.Check(command.Start())
	running := &process{command: command, done: make(chan struct{})}
	processesOf(ts).running[name] = running
	go func() {
		running.err = command.Wait()
		close(running.done)
	}()
}

func cmdStart(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 3 {
		ts.Fatalf("usage: start NAME PROGRAM SETTINGS")
	}
	startProgram(ts, args[0], args[1], args[2])
}

var signals = map[string]os.Signal{
	"TERM": syscall.SIGTERM, "KILL": syscall.SIGKILL, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT,
}

func cmdSignal(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 || signals[args[1]] == nil {
		ts.Fatalf("usage: signal NAME TERM|KILL|STOP|CONT")
	}
	running := startedProcess(ts, args[0])
	ts.Check(running.command.Process.Signal(signals[args[1]]))
	if args[1] == "KILL" {
		<-running.done
	}
}

func cmdAwaitExit(ts *testscript.TestScript, neg bool, args []string) {
	running := startedProcess(ts, args[0])
	<-running.done
	if failed := running.err != nil; failed != neg {
		ts.Fatalf("%s ended with %v", args[0], running.err)
	}
}
