package state

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"lichenstair/api"
	"lichenstair/internal/core"
)

// All keys stand below one root, so that one watch sees them all in order.
const (
	root      = "lichenstair/"
	KeyLeader = root + "leader"
	KeyTerm   = root + "term"
	KeyTypes  = root + "types"
	members   = root + "member/"
	blocks    = root + "block/"
	machines  = root + "machines/"
	jobs      = root + "job/"
	rounds    = root + "round/"
	keyNever  = root + "never"

	keyArrivals = root + "arrivals"
)

// KeyMember is the key of a controller.
func KeyMember(h core.Host) string { return members + string(h) }

// KeyBlock is the key of a block.
func KeyBlock(n int) string { return blocks + strconv.Itoa(n) }

// KeyJob is the key of a job.
func KeyJob(id core.JobID) string { return jobs + string(id) }

// KeyCompletionBatch is the key of a round of done tasks.
func KeyCompletionBatch(n int, term core.Term, seq int) string {
	return fmt.Sprintf("%s%d/%d-%d", rounds, n, term, seq)
}

// Put sets a key to a record.
func Put(key string, record any) api.Change {
	raw, err := json.Marshal(record)
	if err != nil {
		panic(err) // our own records always can be written as JSON
	}
	return api.Change{Set: key, Value: raw}
}

// Member is the record of a live controller, attached to its tenure.
type Member struct {
	Host    core.Host    `json:"host"`
	LeaseID core.LeaseID `json:"tenure"`
}

// Leader is the record of the leader, attached to its tenure.
type Leader struct {
	Host    core.Host    `json:"host"`
	LeaseID core.LeaseID `json:"tenure"`
	Term    core.Term    `json:"term"`
}

// TermCounter is the one counter from which all terms are allocated.
type TermCounter struct {
	Last core.Term `json:"last"`
}

// AdditionCounter counts the transactions that brought machines into the inventories.
type AdditionCounter struct {
	Count uint64 `json:"count"`
}

// Machine is a machine in a block or in the pool.
type Machine struct {
	ID   core.MachineID `json:"id"`
	Addr string         `json:"addr,omitempty"`
	Type string         `json:"type"`
	Zone string         `json:"zone"`
	Spot bool           `json:"spot,omitempty"`
	// InUse is set, durably, before the first task of the block is started on it.
	InUse bool `json:"up,omitempty"`
	// Draining: the leader wants the machine back for another block.
	Draining bool `json:"asked,omitempty"`
	// ReturnRequested: the holder wants the machine to be returned to the cloud.
	ReturnRequested bool `json:"lost,omitempty"`
	// Expiring: the cloud takes the machine back, or its lease has run out; it is
	// no capacity to count on.
	Expiring bool `json:"doomed,omitempty"`
	// Since is when the machine was rented or first seen.
	Since core.WallTime `json:"since,omitempty"`
	// LastTerm is the term under which its last block commanded it (pool only).
	LastTerm core.Term `json:"seen,omitempty"`
	// Term is allocated when the machine is assigned to a block; the holder commands
	// it under this or, once the block has been granted anew, the block's.
	Term core.Term `json:"term,omitempty"`
	// PoolState says what becomes of a machine in the pool.
	PoolState PoolState `json:"fate,omitempty"`
}

// PoolState is what becomes of a machine in the pool.
type PoolState string

const (
	// PoolFree: it can be assigned to a block.
	PoolFree PoolState = ""
	// PoolReturning: it is being returned to the cloud and must not be assigned.
	PoolReturning PoolState = "returning"
	// PoolGone: the cloud has confirmed that it and all on it are gone.
	PoolGone PoolState = "gone"
)

// Block is the record of a block; its machines are in the inventory of its number.
type Block struct {
	Number  int          `json:"number"`
	Holder  core.Host    `json:"holder"`
	LeaseID core.LeaseID `json:"tenure"`
	// Term is that of the grant.
	Term  core.Term `json:"term"`
	Teams []string  `json:"teams"`
	// Limits holds what each team may use, for when the settings no longer name it.
	Limits map[string]Limit `json:"limits,omitempty"`
}

// Limit is what a team may use at any time.
type Limit struct {
	CPUs float64 `json:"cpus"`
	GPUs float64 `json:"gpus,omitempty"`
}

// Clone copies the record, so that a changed one can be written.
func (b *Block) Clone() *Block {
	c := *b
	c.Teams, c.Limits = slices.Clone(b.Teams), maps.Clone(b.Limits)
	return &c
}

// JobPhase is the durable state of a job.
type JobPhase string

const (
	JobAccepted  JobPhase = "accepted"
	JobDone      JobPhase = "done"
	JobCancelled JobPhase = "cancelled"
)

// Job is the record of a job. When the job is over, Spec is dropped; what a
// task uses stays, since tasks of a cancelled job count until they are gone.
type Job struct {
	Phase      JobPhase      `json:"phase"`
	Tasks      int           `json:"tasks"`
	AcceptedAt core.WallTime `json:"at,omitempty"`
	// EndedAt is when the job was found to be done, for the jobs that depend on it.
	EndedAt  core.WallTime `json:"ended,omitempty"`
	Team     string        `json:"team"`
	CPUs     float64       `json:"cpus"`
	GPUs     float64       `json:"gpus,omitempty"`
	MemoryGB float64       `json:"memory,omitempty"`
	Spec     *api.Job      `json:"spec,omitempty"`
}

// End returns the record of the job once it is over; at is when it was done.
func (j Job) End(p JobPhase, at core.WallTime) Job {
	j.Phase, j.Spec, j.EndedAt = p, nil, at
	return j
}

// Finished tells whether the job has reached a final phase.
func (j *Job) Finished() bool { return j.Phase != JobAccepted }

// CompletionBatch is a record of tasks done, by job.
type CompletionBatch struct {
	Done map[core.JobID]core.IndexSet `json:"done"`
}

func blockOfRound(key string) int {
	n, _, _ := strings.Cut(strings.TrimPrefix(key, rounds), "/")
	i, err := strconv.Atoi(n)
	if err != nil {
		return -1
	}
	return i
}
