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

// All keys share one prefix, so that a single watch delivers their changes in order.
const (
	root             = "lichenstair/"
	KeyLeader        = root + "leader"
	KeyTerm          = root + "term"
	KeyTypes         = root + "types"
	memberPrefix     = root + "member/"
	blockPrefix      = root + "block/"
	machinePrefix    = root + "machines/"
	jobPrefix        = root + "job/"
	completionPrefix = root + "round/"
	keyNonexistent   = root + "never" // never written; see readIndex

	keyAdditions = root + "arrivals"
)

// KeyMember returns the key of a controller's member record.
func KeyMember(h core.Host) string { return memberPrefix + string(h) }

// KeyBlock returns the key of a block.
func KeyBlock(n int) string { return blockPrefix + strconv.Itoa(n) }

// KeyJob returns the key of a job.
func KeyJob(id core.JobID) string { return jobPrefix + string(id) }

// KeyCompletionBatch returns the key of a batch of completions of block n.
func KeyCompletionBatch(n int, term core.Term, seq int) string {
	return fmt.Sprintf("%s%d/%d-%d", completionPrefix, n, term, seq)
}

// Put returns the change that sets a key to a record.
func Put(key string, record any) api.Change {
	raw, err := json.Marshal(record)
	if err != nil {
		panic(err) // records of this package always encode to JSON
	}
	return api.Change{Set: key, Value: raw}
}

// Member is the record of a live controller, attached to its lease.
type Member struct {
	Host    core.Host    `json:"host"`
	LeaseID core.LeaseID `json:"tenure"`
}

// Leader is the record of the leader, attached to its lease.
type Leader struct {
	Host    core.Host    `json:"host"`
	LeaseID core.LeaseID `json:"tenure"`
	Term    core.Term    `json:"term"`
}

// TermCounter is the single counter from which all terms are allocated.
type TermCounter struct {
	Last core.Term `json:"last"`
}

// AdditionCounter counts the transactions that added machines to the inventories.
type AdditionCounter struct {
	Count uint64 `json:"count"`
}

// Machine is the record of a machine in a block or in the pool.
type Machine struct {
	ID   core.MachineID `json:"id"`
	Addr string         `json:"addr,omitempty"`
	Type string         `json:"type"`
	Zone string         `json:"zone"`
	Spot bool           `json:"spot,omitempty"`
	// InUse is set durably before the first task of the block is started on the machine.
	InUse bool `json:"up,omitempty"`
	// Draining: the leader wants to move the machine to another block.
	Draining bool `json:"asked,omitempty"`
	// ReturnRequested: the block's holder wants the machine to be returned to the cloud.
	ReturnRequested bool `json:"lost,omitempty"`
	// Expiring: the cloud is reclaiming the machine, or its lease has run out; it does not count
	// as capacity.
	Expiring bool `json:"doomed,omitempty"`
	// Since is the wall time at which the machine was rented or first seen.
	Since core.WallTime `json:"since,omitempty"`
	// LastTerm is the term under which the machine's last block commanded it (pool only).
	LastTerm core.Term `json:"seen,omitempty"`
	// Term is allocated when the machine is assigned to a block. The block's holder commands the
	// machine under this term or, once the block has been granted again, under the block's.
	Term core.Term `json:"term,omitempty"`
	// PoolState is the state of a machine in the pool.
	PoolState PoolState `json:"fate,omitempty"`
}

// PoolState is the state of a machine in the pool.
type PoolState string

const (
	// PoolFree: the machine can be assigned to a block.
	PoolFree PoolState = ""
	// PoolReturning: the machine is being returned to the cloud and must not be assigned.
	PoolReturning PoolState = "returning"
	// PoolGone: the cloud has confirmed that the machine and everything on it are gone.
	PoolGone PoolState = "gone"
)

// Block is the record of a block; its machines are in the inventory of the same number.
type Block struct {
	Number  int          `json:"number"`
	Holder  core.Host    `json:"holder"`
	LeaseID core.LeaseID `json:"tenure"` // lease of the holder
	// Term is the term of the block's grant.
	Term core.Term `json:"term"`
	// Teams lists the teams whose jobs run in the block.
	Teams []string `json:"teams"`
	// Limits holds the last quota of each team by its name, for teams that are no longer
	// configured.
	Limits map[string]Limit `json:"limits,omitempty"`
}

// Limit is the quota of a team: the maximum of resources that it may use at any time.
type Limit struct {
	CPUs float64 `json:"cpus"`
	GPUs float64 `json:"gpus,omitempty"`
}

// Clone returns a copy of the record, so that the original is not modified.
func (b *Block) Clone() *Block {
	c := *b
	c.Teams, c.Limits = slices.Clone(b.Teams), maps.Clone(b.Limits)
	return &c
}

// JobPhase is the durable phase of a job.
type JobPhase string

const (
	JobAccepted  JobPhase = "accepted"
	JobDone      JobPhase = "done"
	JobCancelled JobPhase = "cancelled"
)

// Job is the record of a job. Spec is dropped when the job is finished. The resources of a task are
// kept, since tasks of a cancelled job count against the team's quota until they are released.
type Job struct {
	Phase      JobPhase      `json:"phase"`
	Tasks      int           `json:"tasks"`
	AcceptedAt core.WallTime `json:"at,omitempty"`
	// EndedAt is the wall time at which the job was found to be done; dependents are ready from
	// then on.
	EndedAt  core.WallTime `json:"ended,omitempty"`
	Team     string        `json:"team"`
	CPUs     float64       `json:"cpus"`
	GPUs     float64       `json:"gpus,omitempty"`
	MemoryGB float64       `json:"memory,omitempty"`
	Spec     *api.Job      `json:"spec,omitempty"`
}

// End returns the record of the job in a final phase; at is the wall time at which it was done, 0
// for a cancelled job.
func (j Job) End(p JobPhase, at core.WallTime) Job {
	j.Phase, j.Spec, j.EndedAt = p, nil, at
	return j
}

// Finished reports whether the job has reached a final phase.
func (j *Job) Finished() bool { return j.Phase != JobAccepted }

// CompletionBatch is a record of completed tasks, by job.
type CompletionBatch struct {
	Done map[core.JobID]core.IndexSet `json:"done"`
}

// blockOfCompletionBatch returns the block number in the key of a batch of completions, -1 if the
// key is malformed.
func blockOfCompletionBatch(key string) int {
	n, _, _ := strings.Cut(strings.TrimPrefix(key, completionPrefix), "/")
	i, err := strconv.Atoi(n)
	if err != nil {
		return -1
	}
	return i
}
