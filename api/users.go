// Package api defines the wire formats of lichenstair's interfaces: the JSON that users, workers,
// the cloud and the state service send and receive. Clients may import it too. No other package
// depends on a name on the wire.
package api

// Job is the body of a submission. Pointers distinguish an omitted field from a zero. Tasks is the
// number of tasks; resources and EstimateS, the estimated run time, are those of one task.
type Job struct {
	ID          string   `json:"uid"`
	Class       string   `json:"strain"`
	Team        string   `json:"crew"`
	Form        string   `json:"form"`
	Rank        string   `json:"rank"`
	Tasks       int      `json:"spores"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"gpus"`
	MemoryGB    float64  `json:"ramGb"`
	Image       string   `json:"seedcase"`
	ImageGB     float64  `json:"pullGb"` // size of the image
	Types       []string `json:"stocks"` // allowed machine types; nil: all
	Zone        *string  `json:"patch"`
	OneZone     bool     `json:"oneZone"`
	SpreadZones bool     `json:"scatter"`
	Spot        bool     `json:"windfall"` // may run on spot machines
	EstimateS   float64  `json:"growS"`
	CheckpointS float64  `json:"moltS"` // interval between checkpoints; 0: tasks cannot save their state
	SaveS       float64  `json:"shedS"` // time that a task takes to save its state
	DeadlineS   *float64 `json:"ripeS"` // counts from the acceptance of the job; nil: none
	// Dependencies lists the ids of the jobs that must be done before any task of this one starts.
	Dependencies []string `json:"roots,omitempty"`
}

// Forms of a job.
const (
	FormArray = "batch"
	FormGang  = "group"
	// FormService is not in the protocol's documentation, but users submit it: its tasks run
	// independently of each other until the job is cancelled. See docs/questions.md.
	FormService = "standing"
)

// Ranks of a job, highest first.
const (
	RankProduction = "prod"
	RankHigh       = "high"
	RankStandard   = "standard"
	RankBestEffort = "best_effort"
)

// Phases of a job in responses to users.
const (
	PhaseQueued    = "queued"
	PhaseRunning   = "running"
	PhaseDone      = "done"
	PhaseCancelled = "withdrawn"
)

// JobStatus is the response to submissions, polls and cancellations.
type JobStatus struct {
	ID      string `json:"uid"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// Error is the body of an error response.
type Error struct {
	Error string `json:"error"`
	Field string `json:"field,omitempty"`
}
