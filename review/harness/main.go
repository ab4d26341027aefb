// Command harness runs one case of the review: it starts controllers as separate processes beside
// small stand-ins for the state service, the cloud, the workers, the load balancer and the users,
// causes one disruption and judges what the stand-ins saw.
//
// The exit status is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
// TROUBLE=0 in the environment everything but the disruption is done.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// errBroken is the outcome of a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by name.
var cases = map[string]func(*cluster) error{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		return 2
	}
	c, err := newCluster(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "harness:", err)
		return 2
	}
	defer c.close()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	outcome := make(chan error, 1)
	go func() { outcome <- cases[os.Args[1]](c) }()
	select {
	case err = <-outcome:
	case err = <-c.failed:
	case <-interrupted:
		err = errors.New("interrupted")
	}
	switch {
	case errors.Is(err, errBroken):
		c.note("result", "BROKEN: %v", err)
		return 1
	case err != nil:
		c.note("result", "could not run: %v", err)
		return 2
	}
	c.note("result", "held")
	return 0
}
