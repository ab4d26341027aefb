package state

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// layers returns the records of a pipeline in which each job needs all jobs of the layer before.
func layers(count, width int) (records []Job) {
	for layer := range count {
		var dependencies []string
		for i := range width {
			if layer > 0 {
				dependencies = append(dependencies, fmt.Sprintf("req-%06d", (layer-1)*width+i))
			}
		}
		for i := range width {
			deadline := 0.0
			if layer == count-1 {
				deadline = 1e6 - float64(i) // each job of the last layer is more urgent than the one before
			}
			records = append(records, acceptedJob(fmt.Sprintf("req-%06d", layer*width+i), api.RankStandard, deadline, dependencies...))
		}
	}
	return records
}

// sharedChain returns the records of a chain of n jobs and of n jobs that each need its end and have an
// earlier deadline than those before.
func sharedChain(n int) (records []Job) {
	for i := range 2 * n {
		var dependencies []string
		deadline := 0.0
		if i > 0 {
			dependencies = []string{fmt.Sprintf("req-%06d", min(i, n)-1)}
		}
		if i >= n {
			deadline = 1e8 - float64(i)
		}
		records = append(records, acceptedJob(fmt.Sprintf("req-%06d", i), api.RankStandard, deadline, dependencies...))
	}
	return records
}

// BenchmarkPipeline measures what pipelines of several shapes and sizes cost: one submission after
// the other with an urgency asked for every 40 of them, a load of all keys in no order, the ends of
// all jobs and the cancellation of the first one. Times are per job and link; memory is what is
// held per job and link once all are submitted.
func BenchmarkPipeline(b *testing.B) {
	growing := func(fork, branch int) float64 {
		return 1 + float64(1-branch)*math.Pow(2, float64(min(fork, 40)))/1000
	}
	for _, shape := range []struct {
		name    string
		records []Job
	}{
		{"forks/20", forksAndJoins(20, growing)},
		{"forks/2000", forksAndJoins(2000, growing)},
		{"forks/8000", forksAndJoins(8000, growing)},
		{"layers/10x32", layers(10, 32)},
		{"layers/10x128", layers(10, 128)},
		{"layers/10x512", layers(10, 512)},
		{"chain/1000", sharedChain(1000)},
		{"chain/4000", sharedChain(4000)},
	} {
		b.Run(shape.name, func(b *testing.B) { benchmarkShape(b, shape.records) })
	}
}

func benchmarkShape(b *testing.B, records []Job) {
	size := len(records)
	for _, j := range records {
		size += len(j.Spec.Dependencies)
	}
	first := records[0].Spec.ID
	h := &jobHistory{m: newTestMirror(0)}
	for _, j := range records {
		h.write(j)
	}
	submitted := append([]api.Event(nil), h.all...)
	submit := func() *Mirror {
		m := newTestMirror(0)
		for i, e := range submitted {
			m.applyEvents([]api.Event{e})
			if i%40 == 0 {
				inherited(m, first)
			}
		}
		return m
	}
	perUnit := func(b *testing.B) {
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*size), "ns/unit")
	}
	b.Run("submit", func(b *testing.B) {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var m *Mirror
		for b.Loop() {
			m = submit()
		}
		perUnit(b)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(size), "B-held/unit")
		runtime.KeepAlive(m)
	})
	b.Run("load", func(b *testing.B) {
		events := append([]api.Event(nil), submitted...)
		rand.New(rand.NewPCG(4, 1)).Shuffle(len(events), func(a, b int) { events[a], events[b] = events[b], events[a] })
		for b.Loop() {
			m := newTestMirror(0)
			m.applyEvents(events)
			inherited(m, first)
		}
		perUnit(b)
	})
	b.Run("end", func(b *testing.B) {
		for b.Loop() {
			b.StopTimer()
			m := submit()
			b.StartTimer()
			for i, j := range records {
				endJob(m, uint64(len(records)+i+1), j, JobDone)
			}
		}
		perUnit(b)
	})
	b.Run("cancel", func(b *testing.B) {
		for b.Loop() {
			b.StopTimer()
			m := submit()
			b.StartTimer()
			endJob(m, uint64(len(records)+1), records[0], JobCancelled)
		}
		perUnit(b)
	})
}

// BenchmarkReadySoon measures what a plan needs to find the jobs that are ready soon: a layer of jobs runs,
// and each job of the next layer needs all of them.
func BenchmarkReadySoon(b *testing.B) {
	const width = 600
	records := layers(2, width)
	m := submitted(records).m
	running := map[core.JobID]int{}
	for _, j := range records[:width] {
		running[core.JobID(j.Spec.ID)] = 1
	}
	soon := 0
	for b.Loop() {
		m.NoteRunning(running)
		soon = 0
		for _, e := range m.Jobs {
			if e.ReadySoon() {
				soon++
			}
		}
	}
	if soon != len(records) {
		b.Fatalf("%d jobs are ready soon, want %d", soon, len(records))
	}
}

// endJob applies the record of a finished job, and asks for the readiness of all jobs that this
// changed, as a controller does.
func endJob(m *Mirror, version uint64, j Job, phase JobPhase) {
	m.OnChange = func(t ChangeSet) {
		for _, id := range t.Jobs {
			if e := m.Jobs[id]; e.Spec != nil {
				e.ReadyAt()
			}
		}
	}
	m.applyEvents([]api.Event{{Set: KeyJob(core.JobID(j.Spec.ID)), Value: Put("", j.End(phase, 5000)).Value, Version: version}})
	m.OnChange = nil
}
