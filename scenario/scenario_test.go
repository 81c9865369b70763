package scenario

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binaryDir is the directory of the programs under test.
var binaryDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "lacewing-bin")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+"/", "./...")
	build.Dir = filepath.Join("..", "cmd")
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", output, err)
		return 1
	}
	binaryDir = dir
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":      cmdFleet,
			"start":      cmdStart,
			"signal":     cmdSignal,
			"await-exit": cmdAwaitExit,
			"await":      cmdAwait,
			"request":    cmdRequest,
			"put":        cmdPut,
			"get":        cmdGet,
			"grant":      cmdGrant,
			"uuid":       cmdUUID,
			"background": cmdBackground,
			"retry":      cmdRetry,
			"ctl":        cmdCtl,
			"expand":     cmdExpand,
			"mark":       cmdMark,
			"within":     cmdWithin,
			"exceeds":    cmdExceeds,
		},
	})
}

const (
	firstNetwork = 100 // scripts use the networks 127.100.0.0/16 to 127.250.0.0/16
	lastNetwork  = 250
)

// setup gives each script its own loopback network, the path of the programs and the
// default questionnaire.
func setup(env *testscript.Env) error {
	network, err := reserveNetwork(env)
	if err != nil {
		return err
	}
	env.Setenv("NET", network)
	env.Setenv("PATH", binaryDir+string(os.PathListSeparator)+os.Getenv("PATH"))
	env.Setenv("CREDENTIAL", "test-operator")
	env.Values[processesKey{}] = newProcesses(env)
	env.Values[marksKey{}] = map[string]mark{}
	if _, err := os.Stat(filepath.Join(env.WorkDir, questionnaire)); err == nil {
		return nil
	}
	content, err := os.ReadFile("testdata/" + questionnaire)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(env.WorkDir, questionnaire), content, 0o644)
}

// reserveNetwork reserves a network that no other script uses, also none of another
// checkout on this host. It listens on a port of the network until the script ends.
func reserveNetwork(env *testscript.Env) (string, error) {
	for i := firstNetwork; i <= lastNetwork; i++ {
		network := fmt.Sprintf("127.%d", i)
		listener, err := net.Listen("tcp", network+".255.254:6999")
		if err != nil {
			continue
		}
		env.Defer(func() { _ = listener.Close() })
		return network, nil
	}
	return "", errors.New("all loopback networks from 127.100 to 127.250 are in use; wait until other runs of the scenarios have ended")
}
