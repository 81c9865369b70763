package scenario

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"lacewingmount.dev/config"
	"lacewingmount.dev/daemon"
)

const questionnaire = "questionnaire.yaml"

var zones = []string{"a", "b"}

// cmdFleet starts a fleet with the platform and backend servers around it, and applies
// questionnaire.yaml.
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	vms, err := strconv.Atoi(args[0])
	ts.Check(err)
	expandFile(ts, questionnaire)
	section := generateSection(ts)
	startPlatform(ts, vms)
	startBackends(ts, section)
	for i := 1; i <= vms; i++ {
		startVM(ts, i)
	}
	for i := 1; i <= vms; i++ {
		await(ts, fmt.Sprintf("http://%s.100.%d:7101/readyz", ts.Getenv("NET"), i), "", true)
	}
	runCtl(ts, "apply", "section.yaml")
	for i := 1; i <= vms; i++ {
		await(ts, fmt.Sprintf("http://%s.100.%d:8001/readyz", ts.Getenv("NET"), i), "", true)
	}
	awaitMembers(ts, vms)
}

// awaitMembers waits until every VM has all VMs in its member list. Until then the
// ownership of claim buckets, services and accounts may still move between VMs.
func awaitMembers(ts *testscript.TestScript, vms int) {
	wanted := fmt.Sprintf(" members=%d ", vms)
	for start := time.Now(); time.Since(start) < awaitTimeout; time.Sleep(awaitPeriod) {
		ts.Check(runCtl(ts, "status"))
		if strings.Count(ts.ReadFile("stdout"), wanted) == vms {
			return
		}
	}
	ts.Fatalf("not all VMs report%sin time", wanted)
}

func generateSection(ts *testscript.TestScript) config.Section {
	ts.Check(ts.Exec(filepath.Join(binaryDir, "lacewingctl"), "generate", questionnaire, "-o", "section.yaml"))
	var section config.Section
	ts.Check(daemon.LoadYAML(ts.MkAbs("section.yaml"), &section))
	return section
}

func startPlatform(ts *testscript.TestScript, vms int) {
	settings := "listen: $NET.0.1:7000\nvms:\n"
	for i := 1; i <= vms; i++ {
		settings += fmt.Sprintf("  - {name: vm-%d, zone: %s, address: \"$NET.100.%d:7100\"}\n", i, zones[i%2], i)
	}
	writeFileIfAbsent(ts, "platform.yaml", settings)
	startProgram(ts, "platform", "standin-platform", "platform.yaml")
}

func startBackends(ts *testscript.TestScript, section config.Section) {
	settings := "admin: $NET.0.2:7002\nservers:\n"
	for _, service := range section.Services {
		for _, server := range service.Servers {
			settings += fmt.Sprintf("  - {name: %s, listen: \"%s\"}\n", server.Name, server.Address)
		}
	}
	writeFileIfAbsent(ts, "backend.yaml", settings)
	startProgram(ts, "backend", "standin-backend", "backend.yaml")
	await(ts, "http://"+ts.Getenv("NET")+".0.2:7002/report", "", true)
}

// startVM writes the settings of VM i, unless the script contains them, and starts its programs.
func startVM(ts *testscript.TestScript, i int) {
	address := fmt.Sprintf("$NET.100.%d", i)
	agent, entry := fmt.Sprintf("agent-%d", i), fmt.Sprintf("entry-%d", i)
	writeFileIfAbsent(ts, agent+".yaml", fmt.Sprintf("vm: vm-%d\nzone: %s\nlisten: %s:7100\nadmin: %s:7101\nplatform: http://$NET.0.1:7000\n",
		i, zones[i%2], address, address))
	writeFileIfAbsent(ts, entry+".yaml", fmt.Sprintf("vm: vm-%d\nzone: %s\nlisten: %s:8000\nadmin: %s:8001\nagent: %s:7100\ndrain_delay: 100ms\n",
		i, zones[i%2], address, address, address))
	startProgram(ts, agent, "lacewing-agent", agent+".yaml")
	startProgram(ts, entry, "lacewing-entry", entry+".yaml")
}

// writeFileIfAbsent writes a file in the script's directory, unless the script contains it.
func writeFileIfAbsent(ts *testscript.TestScript, name, content string) {
	if _, err := os.Stat(ts.MkAbs(name)); err == nil {
		return // the script contains the file
	}
	ts.Check(os.WriteFile(ts.MkAbs(name), []byte(content), 0o644))
}

func cmdExpand(ts *testscript.TestScript, _ bool, args []string) {
	for _, file := range args {
		expandFile(ts, file)
	}
}

// expandFile replaces the script's variables in a file.
func expandFile(ts *testscript.TestScript, name string) {
	content := os.Expand(ts.ReadFile(name), ts.Getenv)
	ts.Check(os.WriteFile(ts.MkAbs(name), []byte(content), 0o644))
}

func cmdCtl(ts *testscript.TestScript, neg bool, args []string) {
	if err := runCtl(ts, args...); (err != nil) != neg {
		ts.Fatalf("lacewingctl ended with %v", err)
	}
}

// runCtl runs lacewingctl. Commands that call the fleet get the address of the platform
// and the credential.
func runCtl(ts *testscript.TestScript, args ...string) error {
	ts.Setenv("LACEWING_CREDENTIAL", ts.Getenv("CREDENTIAL"))
	switch args[0] {
	case "apply", "diff", "key", "status", "credential", "timeline":
		args = append(args, "--platform", "http://"+ts.Getenv("NET")+".0.1:7000")
	}
	return ts.Exec(filepath.Join(binaryDir, "lacewingctl"), args...)
}

func cmdGrant(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: grant VAR ACCOUNT")
	}
	ts.Check(runCtl(ts, "key", "grant", "--partner", "test", "--account", args[1]))
	ts.Setenv(args[0], strings.TrimSpace(ts.ReadFile("stdout")))
}
