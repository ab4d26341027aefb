package api

import (
	"errors"
	"strings"
	"testing"
)

const validJob = `{"uid":"req-000412","strain":"train","crew":"vision","form":"group","rank":"high","spores":16,
"cpus":8.0,"gpus":0,"ramGb":64.0,"seedcase":"img-07","pullGb":0,"stocks":["g8"],"patch":null,"oneZone":true,"scatter":false,
"windfall":true,"growS":240.0,"moltS":0,"shedS":0,"ripeS":900.0,"unheard":[1,{}]}`

func TestParseJob(t *testing.T) {
	j, err := ParseJob([]byte(validJob))
	if err != nil || j.Tasks != 16 || j.Zone != nil || *j.DeadlineS != 900 {
		t.Fatalf("%+v, %v", j, err)
	}
	for _, tc := range []struct{ old, new string }{
		{validJob, `[]`}, {validJob, `null`}, {validJob, `7`}, {validJob, ``}, {validJob, `{"uid":`},
		{`"req-000412"`, `"job-1"`}, {`"req-000412"`, `"req-"`}, {`"req-000412"`, `7`},
		{`"strain":"train",`, ``}, {`"strain":"train"`, `"strain":null`}, {`"form":"group"`, `"form":"other"`}, {`"rank":"high"`, `"rank":"top"`},
		{`"spores":16`, `"spores":0`}, {`"spores":16`, `"spores":100001`}, {`"spores":16`, `"spores":1.5`}, {`"spores":16`, `"spores":"16"`},
		{`"cpus":8.0`, `"cpus":0`}, {`"cpus":8.0`, `"cpus":-1`}, {`"cpus":8.0`, `"cpus":1e400`}, {`"gpus":0`, `"gpus":-0.5`},
		{`"stocks":["g8"]`, `"stocks":"g8"`}, {`"oneZone":true`, `"oneZone":1`}, {`"growS":240.0`, `"growS":null`}, {`"ripeS":900.0`, `"ripeS":-3`},
		{`"moltS":0,`, ``}, {`"patch":null`, `"patch":3`}, {validJob, validJob + `{}`},
	} {
		if _, err := ParseJob([]byte(strings.Replace(validJob, tc.old, tc.new, 1))); err == nil {
			t.Errorf("%.30s -> %.30s was accepted", tc.old, tc.new)
		}
	}
}

func TestParseDependencies(t *testing.T) {
	with := func(roots string) (Job, error) {
		return ParseJob([]byte(strings.Replace(validJob, `"unheard"`, `"roots":`+roots+`,"unheard"`, 1)))
	}
	for roots, want := range map[string]int{`null`: 0, `[]`: 0, `["req-000398"]`: 1, `["req-000398","req-000405","req-000398"]`: 2} {
		if j, err := with(roots); err != nil || len(j.Dependencies) != want {
			t.Errorf("%s: %v, %v", roots, j.Dependencies, err)
		}
	}
	for _, roots := range []string{`"req-000398"`, `[1]`, `[null]`, `{}`, `["job-1"]`, `["req-000412"]`, `[["req-000398"]]`, `7`, `[""]`} {
		var fe *FieldError
		if _, err := with(roots); !errors.As(err, &fe) || fe.Field != "roots" {
			t.Errorf("%s: %v", roots, err)
		}
	}
}
