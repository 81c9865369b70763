// Command reviewcases plays the cases of the second review: it starts the gateways of a small
// deployment as separate processes with the command of the deploy file, and stand-ins of the
// store, the servers and the clients. It exits with 1 if the rule of the case was broken, with
// 0 if it held, and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
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

// cases are the cases by name. trouble is whether the disruption is played.
var cases = map[string]func(f *fleet, trouble bool) (int, error){
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
	end := func(result int) {
		f.say("result %d", result)
		f.close()
		os.Exit(result)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(longest):
		}
		f.say("given up")
		end(failed)
	}()
	result, err := cases[os.Args[1]](f, os.Getenv("TROUBLE") != "0")
	if err != nil {
		f.say("the case could not run: %v", err)
		result = failed
	}
	end(result)
}
