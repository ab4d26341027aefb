package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
)

// listFile is the list's name, in the directory where the program is run.
const listFile = "KNOWN-RED.txt"

func main() {
	if err := run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "tests:", err)
		os.Exit(1)
	}
}

// run runs all tests of the module in the current directory. It returns an error if the
// list is not in order, if a test that is not listed fails, or if a listed one does not.
func run(out io.Writer) error {
	entries, err := readList(listFile)
	if err != nil {
		return fmt.Errorf("%s: %w", listFile, err)
	}
	for _, e := range entries {
		if err := checkExists(e); err != nil {
			return fmt.Errorf("%s: %w", listFile, err)
		}
	}
	if err := runOthers(out, entries); err != nil {
		return fmt.Errorf("tests that are not in %s: %w", listFile, err)
	}
	for _, e := range entries {
		if err := checkFails(e); err != nil {
			return fmt.Errorf("%s: %w", listFile, err)
		}
		fmt.Fprintln(out, "known to fail:", e)
	}
	return nil
}

// checkExists checks that a listed test exists, and that no other package has one of the
// same name: leaving it out by name would leave out both.
func checkExists(e entry) error {
	here, err := countTests(e.name, "./"+e.pkg)
	if err != nil {
		return err
	}
	if here == 0 {
		return fmt.Errorf("%s.%s does not exist", e.pkg, e.name)
	}
	everywhere, err := countTests(e.name, "./...")
	if err != nil {
		return err
	}
	if everywhere != here {
		return fmt.Errorf("%s is the name of tests in several packages", e.name)
	}
	return nil
}

// countTests counts the tests of a name in packages.
func countTests(name, packages string) (int, error) {
	out, err := exec.Command("go", "test", "-list", exactly(name), packages).CombinedOutput()
	if err != nil {
		return 0, fmt.Errorf("listing tests of %s: %w\n%s", packages, err, out)
	}
	count := 0
	for line := range strings.Lines(string(out)) {
		if strings.TrimSpace(line) == name {
			count++
		}
	}
	return count, nil
}

// runOthers runs all tests but those that are listed.
func runOthers(out io.Writer, listed []entry) error {
	arguments := []string{"test", "-count=1"}
	if len(listed) > 0 {
		var names []string
		for _, e := range listed {
			names = append(names, e.name)
		}
		arguments = append(arguments, "-skip", exactly(strings.Join(names, "|")))
	}
	command := exec.Command("go", append(arguments, "./...")...)
	command.Stdout, command.Stderr = out, out
	return command.Run()
}

// checkFails runs a listed test and checks that it fails.
func checkFails(e entry) error {
	out, err := exec.Command("go", "test", "-count=1", "-run", exactly(e.name), "./"+e.pkg).CombinedOutput()
	if err == nil {
		return fmt.Errorf("%s.%s passes; take it off the list", e.pkg, e.name)
	}
	if !strings.Contains(string(out), "--- FAIL: "+e.name) {
		return fmt.Errorf("%s.%s did not run: %w\n%s", e.pkg, e.name, err, out)
	}
	return nil
}

// exactly returns the pattern of a test's whole name, or of several.
func exactly(names string) string { return "^(" + names + ")$" }
