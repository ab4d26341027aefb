package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
)

// listFile is the name of the list, relative to the working directory.
const listFile = "KNOWN-RED.txt"

func main() {
	if err := run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "tests:", err)
		os.Exit(1)
	}
}

// run runs all tests of the module in the working directory. It returns an error if the list is
// malformed, an unlisted test fails, or a listed one passes or does not exist.
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
		return fmt.Errorf("tests not listed in %s: %w", listFile, err)
	}
	for _, e := range entries {
		if err := checkFails(e); err != nil {
			return fmt.Errorf("%s: %w", listFile, err)
		}
		fmt.Fprintln(out, "known to fail:", e)
	}
	return nil
}

// checkExists checks that a listed test exists and that no other package has a test of the same
// name: skipping it by name would skip both.
func checkExists(e entry) error {
	inPackage, err := countTests(e.name, "./"+e.pkg)
	if err != nil {
		return err
	}
	if inPackage == 0 {
		return fmt.Errorf("%s.%s does not exist", e.pkg, e.name)
	}
	inModule, err := countTests(e.name, "./...")
	if err != nil {
		return err
	}
	if inModule != inPackage {
		return fmt.Errorf("test name %s is not unique: several packages have it", e.name)
	}
	return nil
}

// countTests counts the tests with a name in the packages.
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

// runOthers runs all tests that are not listed.
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
		return fmt.Errorf("%s.%s passes; remove it from the list", e.pkg, e.name)
	}
	if !strings.Contains(string(out), "--- FAIL: "+e.name) {
		return fmt.Errorf("%s.%s did not run: %w\n%s", e.pkg, e.name, err, out)
	}
	return nil
}

// exactly returns the pattern that matches whole test names; several are separated by "|".
func exactly(names string) string { return "^(" + names + ")$" }
