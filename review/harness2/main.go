// Command harness2 plays the cases 4 to 8 of the review against real controller processes on
// loopback. Everything around them is a stand-in of this folder that follows the users' pages.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// testCase is a case of the review. run returns an error if it could not be run.
type testCase struct {
	run func(c *cluster, trouble bool) error
	// production: the controllers run the version in production at first.
	production bool
}

// cases are the cases by name.
var cases = map[string]testCase{
	"smoke":     {run: smoke},
	"gangholds": {run: gangHolds},
	"onezone":   {run: oneZone},
	"faulty":    {run: faulty},
	"upgrade":   {run: upgrade, production: true},
	"pipeline":  {run: pipeline},
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]].run == nil {
		fmt.Fprintln(os.Stderr, "usage: harness2 CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

// program returns the command of the deploy file.
func program(root string) ([]string, error) {
	raw, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		return nil, err
	}
	for line := range strings.SplitSeq(string(raw), "\n") {
		if key, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(key) == "run" {
			words := strings.Fields(strings.Trim(strings.TrimSpace(value), `"`))
			words[0] = filepath.Join(root, words[0])
			_, err := os.Stat(words[0])
			return words, err
		}
	}
	return nil, fmt.Errorf("the deploy file has no run command")
}

// play plays a case: 0 if the rule held, 1 if it was broken, 2 if the case could not be run.
func play(name, root, path string) int {
	record, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	command, err := program(root)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	trouble := os.Getenv("TROUBLE") != "0"
	c := trivia(record)
	c.record("case %s, with the disruption: %v", name, trouble)
	c.current = command
	first := command
	if cases[name].production {
		first = append([]string{command[0] + "-production"}, command[1:]...)
	}
	err = c.start(first, 3)
	if err == nil && !c.awaitReady(20*time.Second) {
		err = fmt.Errorf("the controllers are not ready after 20 s")
	}
	if err == nil {
		err = cases[name].run(c, trouble)
	}
	c.close()
	c.check.mu.Lock()
	defer c.check.mu.Unlock()
	switch {
	case len(c.check.violations) > 0:
		fmt.Printf("%s: the rule was broken: %s\n", name, strings.Join(c.check.violations[:min(3, len(c.check.violations))], "; "))
		return 1
	case err != nil:
		c.record("the case could not be run: %v", err)
		fmt.Printf("%s: could not be run: %v\n", name, err)
		return 2
	}
	fmt.Printf("%s: the rule held\n", name)
	return 0
}
