package api

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"regexp"
	"slices"
)

// MaxTasks is the maximum number of tasks of a job.
const MaxTasks = 100_000

// MaxBody is the maximum size of a request body, in bytes.
const MaxBody = 64 << 10

const maxTextLength = 200 // bytes

// FieldDependencies is the JSON name of the list of jobs that a job depends on.
const FieldDependencies = "roots"

var jobIDPattern = regexp.MustCompile(`^req-[0-9]{1,40}$`)

// ValidJobID reports whether s has the form of a job id.
func ValidJobID(s string) bool { return jobIDPattern.MatchString(s) }

// FieldError is the error for a field of a submission that is missing or invalid.
type FieldError struct{ Field, Problem string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

var errNotObject = errors.New("not a JSON object")

// ParseJob parses a submission strictly: every field must have its type, fields that must not be
// null must be present, and values must be in range. With an error it returns only the job's ID, if
// that is valid, since a malformed submission may repeat one that was accepted.
func ParseJob(body []byte) (Job, error) {
	if len(body) > MaxBody {
		return Job{}, fmt.Errorf("body of %d bytes exceeds the limit of %d", len(body), MaxBody)
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	var fields map[string]json.RawMessage
	if err := dec.Decode(&fields); err != nil || fields == nil {
		return Job{}, errNotObject
	}
	if _, err := dec.Token(); err == nil || dec.More() {
		return Job{}, errNotObject
	}
	p := parser{fields: fields}
	j := Job{
		ID: p.text("uid"), Class: p.text("strain"), Team: p.text("crew"), Form: p.text("form"), Rank: p.text("rank"),
		Tasks: p.count("spores"), CPUs: p.amount("cpus"), GPUs: p.amount("gpus"), MemoryGB: p.amount("ramGb"),
		Image: p.text("seedcase"), ImageGB: p.amount("pullGb"),
		OneZone: p.flag("oneZone"), SpreadZones: p.flag("scatter"), Spot: p.flag("windfall"),
		EstimateS: p.amount("growS"), CheckpointS: p.amount("moltS"), SaveS: p.amount("shedS"),
	}
	if p.present("stocks") {
		if err := json.Unmarshal(fields["stocks"], &j.Types); err != nil {
			p.fail("stocks", "must be a list of strings")
		}
	}
	if p.present("patch") {
		z := p.text("patch")
		j.Zone = &z
	}
	if p.present("ripeS") {
		d := p.amount("ripeS")
		j.DeadlineS = &d
	}
	if p.present(FieldDependencies) {
		j.Dependencies = p.jobIDs(FieldDependencies)
	}
	if !ValidJobID(j.ID) {
		p.fail("uid", "must be \"req-\" followed by 1 to 40 digits")
		return Job{}, p.err
	}
	j.check(&p)
	if p.err != nil {
		return Job{ID: j.ID}, p.err
	}
	return j, nil
}

// check rejects values that have the right type but are out of range or inconsistent.
func (j *Job) check(p *parser) {
	switch {
	case slices.Contains(j.Dependencies, j.ID):
		p.fail(FieldDependencies, "contains the job itself")
	case j.Form != FormArray && j.Form != FormGang && j.Form != FormService:
		p.fail("form", fmt.Sprintf("must be batch, group or standing, got %q", j.Form))
	case j.Rank != RankProduction && j.Rank != RankHigh && j.Rank != RankStandard && j.Rank != RankBestEffort:
		p.fail("rank", fmt.Sprintf("must be prod, high, standard or best_effort, got %q", j.Rank))
	case j.Tasks < 1 || j.Tasks > MaxTasks:
		p.fail("spores", fmt.Sprintf("must be from 1 to %d, got %d", MaxTasks, j.Tasks))
	case j.CPUs == 0:
		p.fail("cpus", "must be positive")
	}
}

type parser struct {
	fields map[string]json.RawMessage
	err    error
}

func (p *parser) fail(field, problem string) {
	if p.err == nil {
		p.err = &FieldError{field, problem}
	}
}

func (p *parser) present(field string) bool {
	raw, ok := p.fields[field]
	return ok && string(raw) != "null"
}

func (p *parser) decode(field string, into any, problem string) bool {
	if !p.present(field) {
		p.fail(field, "missing")
		return false
	}
	if err := json.Unmarshal(p.fields[field], into); err != nil {
		p.fail(field, problem)
		return false
	}
	return true
}

func (p *parser) text(field string) (s string) {
	if p.decode(field, &s, "must be a string") && (s == "" || len(s) > maxTextLength) {
		p.fail(field, fmt.Sprintf("must have 1 to %d bytes", maxTextLength))
	}
	return s
}

// jobIDs decodes a list of job ids without duplicates.
func (p *parser) jobIDs(field string) (out []string) {
	var list []*string
	if !p.decode(field, &list, "must be a list of job ids") {
		return nil
	}
	seen := map[string]bool{}
	for _, id := range list {
		switch {
		case id == nil || !ValidJobID(*id):
			p.fail(field, "must be a list of job ids")
			return nil
		case !seen[*id]:
			seen[*id] = true
			out = append(out, *id)
		}
	}
	return out
}

func (p *parser) amount(field string) (f float64) {
	if p.decode(field, &f, "must be a number") && (f < 0 || math.IsInf(f, 0) || f > 1e9) {
		p.fail(field, fmt.Sprintf("must be from 0 to 1e9, got %g", f))
	}
	return f
}

func (p *parser) count(field string) (n int) {
	p.decode(field, &n, "must be an integer")
	return n
}

func (p *parser) flag(field string) (b bool) {
	p.decode(field, &b, "must be true or false")
	return b
}
