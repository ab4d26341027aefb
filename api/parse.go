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

// MaxTasks is the largest number of tasks that a job may have.
const MaxTasks = 100_000

// MaxBody is the largest request body in bytes.
const MaxBody = 64 << 10

const maxName = 200

// FieldDependencies is the name on the wire of the list of jobs that a job depends on.
const FieldDependencies = "roots"

var jobID = regexp.MustCompile(`^req-[0-9]{1,40}$`)

// ValidJobID tells whether s has the form of a job id.
func ValidJobID(s string) bool { return jobID.MatchString(s) }

// FieldError names the field of a submission that is missing or invalid.
type FieldError struct{ Field, Problem string }

func (e *FieldError) Error() string { return e.Field + ": " + e.Problem }

var errNotObject = errors.New("not a JSON object")

// ParseJob reads a submission strictly: every field must have its type, those
// that may not be null must be there, and amounts must make sense. What comes with an
// error has nothing but its ID, if that is valid: a malformed submission may repeat one
// that was accepted.
func ParseJob(body []byte) (Job, error) {
	if len(body) > MaxBody {
		return Job{}, errors.New("body too large")
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
			p.fail("stocks", "not a list of names")
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
		j.Dependencies = p.ids(FieldDependencies)
	}
	if !ValidJobID(j.ID) {
		p.fail("uid", "not in the form of a job id")
		return Job{}, p.err
	}
	j.check(&p)
	if p.err != nil {
		return Job{ID: j.ID}, p.err
	}
	return j, nil
}

// check refuses values that have their type but make no sense.
func (j *Job) check(p *parser) {
	switch {
	case slices.Contains(j.Dependencies, j.ID):
		p.fail(FieldDependencies, "names the job itself")
	case j.Form != FormArray && j.Form != FormGang && j.Form != FormService:
		p.fail("form", "unknown")
	case j.Rank != RankProduction && j.Rank != RankHigh && j.Rank != RankStandard && j.Rank != RankBestEffort:
		p.fail("rank", "unknown")
	case j.Tasks < 1 || j.Tasks > MaxTasks:
		p.fail("spores", fmt.Sprintf("must be from 1 to %d", MaxTasks))
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

func (p *parser) take(field string, into any, problem string) bool {
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
	if p.take(field, &s, "not a string") && (s == "" || len(s) > maxName) {
		p.fail(field, "empty or too long")
	}
	return s
}

// ids reads a list of job ids; repeats count once.
func (p *parser) ids(field string) (out []string) {
	var list []*string
	if !p.take(field, &list, "not a list of job ids") {
		return nil
	}
	seen := map[string]bool{}
	for _, id := range list {
		switch {
		case id == nil || !ValidJobID(*id):
			p.fail(field, "not a list of job ids")
			return nil
		case !seen[*id]:
			seen[*id] = true
			out = append(out, *id)
		}
	}
	return out
}

func (p *parser) amount(field string) (f float64) {
	if p.take(field, &f, "not a number") && (f < 0 || math.IsInf(f, 0) || f > 1e9) {
		p.fail(field, "negative or too large")
	}
	return f
}

func (p *parser) count(field string) (n int) {
	p.take(field, &n, "not a whole number")
	return n
}

func (p *parser) flag(field string) (b bool) {
	p.take(field, &b, "not true or false")
	return b
}
