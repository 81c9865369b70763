// Command reviewcases plays the cases of the second review: it starts the gateways of a small
// deployment as separate processes with the command of the deploy file, and stand-ins of the
// store, the servers and the clients. It exits with 1 if the rule of the case was broken, with
// 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Results of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// longest is the time after which a case is given up.
const longest = 115 * time.Second

// trouble is what TROUBLE asks for.
type trouble int

// Troubles.
const (
	all  trouble = iota // all disruptions of the case
	part                // TROUBLE=part: only the one that comes from clients or servers
	none                // TROUBLE=0
)

// cases are the cases by name.
var cases = map[string]func(f *fleet, played trouble) (int, error){
	"budget-returning-owner":  budgetReturningOwner,
	"quota-lost-registration": quotaLostRegistration,
	"drain-late-beat":         drainLateBeat,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: reviewcases CASE RECORD")
		os.Exit(failed)
	}
	f, err := newFleet(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	var once sync.Mutex // is not unlocked: only the first caller ends the case
	end := func(result int) {
		once.Lock()
		f.say("result %d", result)
		f.close()
		os.Exit(result)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP, syscall.SIGQUIT)
	go func() {
		select {
		case s := <-signals:
			f.say("interrupted by %v", s)
		case <-time.After(longest):
			f.say("given up")
		}
		end(failed)
	}()
	played := map[string]trouble{"0": none, "part": part}[os.Getenv("TROUBLE")] // all by default
	result, err := cases[os.Args[1]](f, played)
	if err != nil {
		f.say("the case could not run: %v", err)
		result = failed
	}
	end(result)
}
