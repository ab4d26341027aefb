package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// sample is a module with one package whose tests pass and one with passing and failing tests.
var sample = map[string]string{
	"go.mod": "module sample\n\ngo 1.26\n",
	"good/good_test.go": `package good
import "testing"
func TestGood(t *testing.T) {}
func TestTwin(t *testing.T) {}
`,
	"bad/bad_test.go": `package bad
import "testing"
func TestBad(t *testing.T) { t.Error("for a known cause") }
func TestBadly(t *testing.T) {}
func TestTwin(t *testing.T) {}
`,
}

// Every error in the list and every difference between the list and the tests fails the run; only
// failures of listed tests are tolerated.
func TestOnlyListedFailuresAreTolerated(t *testing.T) {
	program := filepath.Join(t.TempDir(), "knownred")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	const (
		rest = " | go test ./bad, no seed | a failed check | issue 1\n"
		bad  = "bad.TestBad" + rest
	)
	panics := map[string]string{"bad/panics_test.go": "package bad\nimport \"testing\"\nfunc TestPanics(t *testing.T) { panic(1) }\n"}
	broken := map[string]string{"good/broken_test.go": "package good\nfunc {\n"}
	for _, tc := range []struct {
		name  string
		list  string
		extra map[string]string
		want  string // expected in the output; "" for a run that passes
	}{
		{"the failing test is listed", "# a comment\n\n" + bad, nil, ""},
		{"nothing is listed", "", nil, "FAIL: TestBad"},
		{"a line lacks the test", "go test ./bad, no seed | a failed check | issue 1\n", nil, "line 1: want 4 parts"},
		{"a line lacks the command", "bad.TestBad | a failed check | issue 1\n", nil, "line 1: want 4 parts"},
		{"a line lacks what was seen", "bad.TestBad | go test ./bad, no seed | issue 1\n", nil, "line 1: want 4 parts"},
		{"a line lacks the issue", "bad.TestBad | go test ./bad, no seed | a failed check\n", nil, "line 1: want 4 parts"},
		{"a line has a fifth part", strings.TrimSpace(bad) + " | more\n", nil, "line 1: want 4 parts"},
		{"a line has the former three parts", "bad.TestBad | a cause | issue 1\n", nil, "line 1: want 4 parts"},
		{"the test is empty", rest, nil, `line 1: the part "package.Test" is empty`},
		{"the command is empty", "bad.TestBad | | a failed check | issue 1\n", nil, `line 1: the part "command and seed" is empty`},
		{"what was seen is empty", "bad.TestBad | go test ./bad, no seed | | issue 1\n", nil, `line 1: the part "what was seen" is empty`},
		{"the issue is empty", "bad.TestBad | go test ./bad, no seed | a failed check |\n", nil, `line 1: the part "issue" is empty`},
		{"a line names no test", "bad" + rest, nil, "does not name a test function"},
		{"more than three", strings.Repeat(bad, 4), nil, "4 entries, want at most 3"},
		{"a listed test passes", bad + "good.TestGood" + rest, nil, "good.TestGood passes"},
		{"a listed test no longer exists", bad + "bad.TestGone" + rest, nil, "bad.TestGone does not exist"},
		{"a listed test is another package's", bad + "bad.TestGood" + rest, nil, "bad.TestGood does not exist"},
		{"two packages have a test of the same name", bad + "bad.TestTwin" + rest, nil, "test name TestTwin is not unique"},
		{"another test panics", bad, panics, "panic: 1"},
		{"a package does not build", bad, broken, "broken_test.go"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			directory := t.TempDir()
			write(t, directory, sample)
			write(t, directory, tc.extra)
			write(t, directory, map[string]string{listFile: tc.list})
			command := exec.Command(program)
			command.Dir = directory
			out, err := command.CombinedOutput()
			if (err == nil) != (tc.want == "") || !strings.Contains(string(out), tc.want) {
				t.Fatalf("want %q, got error %v and\n%s", tc.want, err, out)
			}
			if tc.want == "" && !strings.Contains(string(out), "known to fail: bad.TestBad: go test ./bad, no seed: a failed check (issue 1)") {
				t.Fatalf("the listed test is not printed:\n%s", out)
			}
		})
	}
}

// write writes files below a directory.
func write(t *testing.T, directory string, files map[string]string) {
	t.Helper()
	for name, content := range files {
		path := filepath.Join(directory, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(content), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}
