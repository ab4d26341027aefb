package api

// Report is a worker's report of its state and of the tasks on it.
type Report struct {
	Machine  string       `json:"rock"`
	Addr     string       `json:"addr"`
	Type     string       `json:"stock"`
	Zone     string       `json:"patch"`
	Spot     bool         `json:"windfall"`
	Session  uint64       `json:"season"`
	Sequence uint64       `json:"tally"`
	Term     uint64       `json:"warrant"`
	NoticeS  *float64     `json:"warningS"`
	Tasks    []TaskStatus `json:"spores"`
}

// TaskStatus is the status of one task in a report.
type TaskStatus struct {
	Task    string `json:"spore"`
	Attempt uint64 `json:"sprout"`
	State   string `json:"phase"`
	Cause   string `json:"cause,omitempty"`
	Saved   bool   `json:"saved,omitempty"`
}

// States of a task on a worker.
const (
	TaskFetching  = "fetching"
	TaskGathering = "gathering"
	TaskRunning   = "running"
	TaskSaving    = "saving"
	TaskExited    = "exited"
)

// Causes of an exit.
const (
	CauseDone       = "done"
	CauseHalted     = "halted"
	CausePeers      = "peers"
	CauseIncomplete = "incomplete"
	CauseError      = "error"
	CauseNoRoom     = "no_room"
	CauseInUse      = "in_use"
	CauseNoSuch     = "no_such"
)

// Verbs of commands to workers.
const (
	VerbRun   = "run"
	VerbKill  = "kill"
	VerbClear = "clear"
)

// Command is one command to a worker.
type Command struct {
	Verb    string   `json:"verb"`
	Task    string   `json:"spore"`
	Attempt uint64   `json:"sprout"`
	GraceS  *float64 `json:"wiltS,omitempty"`
}

// ReportResponse is the response to a report from the controller that holds the worker's block.
type ReportResponse struct {
	Term     uint64    `json:"warrant"`
	Commands []Command `json:"orders"`
}

// Redirect is the response to a report that belongs to another controller.
type Redirect struct {
	Holder string `json:"steward,omitempty"`
}

// CommandRequest is a request with commands that is sent to a worker's own address.
type CommandRequest struct {
	Term     uint64    `json:"warrant"`
	Session  uint64    `json:"season"`
	Commands []Command `json:"orders"`
}
