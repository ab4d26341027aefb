package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"lichenstair/internal/sim"
)

// buildProgram builds the program as it is deployed.
func buildProgram(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "lichenstair")
	out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", program, "lichenstair/cmd/lichenstair").CombinedOutput()
	if err != nil {
		t.Fatalf("building the program: %v\n%s", err, out)
	}
	return program
}

// Plays random faults against real processes. The defaults are meant for each run of the tests;
// SOAK_SEEDS and the other variables of Options make it longer.
func TestSoak(t *testing.T) {
	o, err := ReadOptions(Options{Seeds: 2, FirstSeed: 1, Parallel: 2, Controllers: 3, Machines: 40, Faults: 10 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	program := buildProgram(t)
	slots := make(chan int, o.Parallel)
	for i := range o.Parallel {
		slots <- i
	}
	t.Run("seeds", func(t *testing.T) {
		for i := range o.Seeds {
			seed := o.FirstSeed + i
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				instance := <-slots
				defer func() { slots <- instance }()
				playSeed(t, o, seed, program, instance)
			})
		}
	})
}

// playSeed plays one seed and keeps the controllers' logs if it fails.
func playSeed(t *testing.T, o Options, seed int, program string, instance int) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		t.Fatal(err)
	}
	result, err := Play(o, seed, program, dir, instance)
	if err == nil && len(result.Violations) == 0 {
		os.RemoveAll(dir)
		t.Logf("seed %d: %s", seed, result.Summary)
		return
	}
	var faults []string
	for _, f := range result.Faults {
		faults = append(faults, f.String())
	}
	t.Errorf("seed %d: broken %v, error %v\n%s\nfaults:\n  %s\ncommand: %s\nlogs of the controllers: %s",
		seed, result.Violations, err, result.Summary, strings.Join(faults, "\n  "), o.Command(seed), dir)
}

// A value that no run can use is refused by its name, with the accepted range.
func TestOptionsOutOfRangeAreRefused(t *testing.T) {
	for _, o := range options {
		for _, text := range []string{"many", "-1", fmt.Sprint(o.least - 1), fmt.Sprint(o.most + 1)} {
			t.Setenv(o.name, text)
			_, err := ReadOptions(Options{})
			if want := fmt.Sprintf("%s: %q is not a whole number from %d to %d", o.name, text, o.least, o.most); err == nil || err.Error() != want {
				t.Errorf("%s=%s: got %v, want %s", o.name, text, err, want)
			}
		}
		t.Setenv(o.name, "")
	}
}

// A missing program fails at once and by name.
func TestMissingProgramIsRefused(t *testing.T) {
	_, err := Play(Options{Controllers: 3, Machines: 20, Faults: time.Second}, 1, "/missing/program", t.TempDir(), sim.MaxInstances-2)
	if err == nil || !strings.Contains(err.Error(), "/missing/program") {
		t.Fatalf("got %v, want an error that names the program", err)
	}
}

// A port that is in use fails at once and by its address. The failed run leaves nothing open: once the
// port is free, the same addresses can be used.
func TestUsedAddressIsRefused(t *testing.T) {
	dir, program := t.TempDir(), "/bin/true"
	first, err := holdAddresses(program, dir, sim.MaxInstances-1)
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	_, err = Play(Options{Controllers: 3, Machines: 20, Faults: time.Second}, 1, program, dir, sim.MaxInstances-1)
	if err == nil || !strings.Contains(err.Error(), "address already in use") || !strings.Contains(err.Error(), "127.") {
		t.Fatalf("got %v, want an error that names the address in use", err)
	}
	first.Close()
	again, err := holdAddresses(program, dir, sim.MaxInstances-1)
	if err != nil {
		t.Fatalf("the addresses are still in use: %v", err)
	}
	again.Close()
}

// An address of a controller that is in use fails at once too, and the failed run leaves nothing open.
func TestUsedAddressOfAControllerIsRefused(t *testing.T) {
	dir, program := t.TempDir(), "/bin/true"
	addr, err := controllerAddress(program, dir, sim.MaxInstances-1)
	if err != nil {
		t.Fatal(err)
	}
	occupied, err := net.Listen("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := holdAddresses(program, dir, sim.MaxInstances-1); err == nil || !strings.Contains(err.Error(), "address of a controller") {
		t.Fatalf("got %v, want an error about the address of a controller", err)
	}
	occupied.Close()
	again, err := holdAddresses(program, dir, sim.MaxInstances-1)
	if err != nil {
		t.Fatalf("the addresses are still in use: %v", err)
	}
	again.Close()
}
