package api

// Report is a worker's report of its state and of the tasks on it.
type Report struct {
	Machine  string       `json:"rock"`
	Addr     string       `json:"addr"`
	Type     string       `json:"stock"`
	Zone     string       `json:"patch"`
	Spot     bool         `json:"windfall"`
	Session  uint64       `json:"season"`   // increases when the worker's lease has expired
	Sequence uint64       `json:"tally"`    // orders the messages of a session
	Term     uint64       `json:"warrant"`  // highest term that the worker has accepted
	NoticeS  *float64     `json:"warningS"` // seconds until the cloud takes the machine back; nil: it does not
	Tasks    []TaskStatus `json:"spores"`
}

// TaskStatus is the status of one attempt of a task in a report.
type TaskStatus struct {
	Task    string `json:"spore"` // job id and index, as <job id>/<index>
	Attempt uint64 `json:"sprout"`
	State   string `json:"phase"`
	Cause   string `json:"cause,omitempty"` // of the exit
	Saved   bool   `json:"saved,omitempty"` // the task saved its state when it was stopped
}

// States of a task on a worker.
const (
	TaskFetching  = "fetching"
	TaskGathering = "gathering" // waits for the other tasks of its gang
	TaskRunning   = "running"
	TaskSaving    = "saving"
	TaskExited    = "exited"
)

// Causes of an exit.
const (
	CauseDone       = "done"
	CauseHalted     = "halted"     // stopped by a command
	CausePeers      = "peers"      // another task of the gang is gone or hangs
	CauseIncomplete = "incomplete" // the gang did not gather in time
	CauseError      = "error"
	CauseNoRoom     = "no_room" // the machine's free resources do not suffice
	CauseInUse      = "in_use"  // another attempt of the task is on the machine
	CauseNoSuch     = "no_such" // the worker found no such task
)

// Verbs of commands to workers.
const (
	VerbRun   = "run"
	VerbKill  = "kill"
	VerbClear = "clear" // removes an exited attempt from the reports
)

// Command is one command to a worker.
type Command struct {
	Verb    string   `json:"verb"`
	Task    string   `json:"spore"`
	Attempt uint64   `json:"sprout"`
	GraceS  *float64 `json:"wiltS,omitempty"` // seconds that a killed task may take to save its state
}

// ReportResponse is the response to a report from the controller that holds the worker's block.
type ReportResponse struct {
	Term     uint64    `json:"warrant"`
	Commands []Command `json:"orders"`
}

// Redirect is the response to a report that belongs to another controller.
type Redirect struct {
	Holder string `json:"steward,omitempty"` // name of that controller; empty: no other one is known
}

// CommandRequest is a request with commands that is sent to a worker's own address.
type CommandRequest struct {
	Term     uint64    `json:"warrant"`
	Session  uint64    `json:"season"`
	Commands []Command `json:"orders"`
}
