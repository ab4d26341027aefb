package api

// MachineType is a machine type that can be rented. Price and SpotPrice are per machine.
// FetchGBPerS is the rate at which images are fetched, BootS the usual boot time in seconds.
type MachineType struct {
	Name        string   `json:"sku"`
	CPUs        float64  `json:"cpus"`
	GPUs        float64  `json:"gpus"`
	MemoryGB    float64  `json:"ramGb"`
	CacheGB     float64  `json:"localGb"`
	FetchGBPerS float64  `json:"fetchGbPerS"`
	Price       float64  `json:"rate"`
	SpotPrice   float64  `json:"spotPrice"`
	BootS       float64  `json:"readyS"`
	Zones       []string `json:"patches"`
}

// MachineTypes is the response to a request for machine types.
type MachineTypes struct {
	Types []MachineType `json:"stocks"`
}

// Rental is a request to rent machines. The cloud answers a repeated RequestID with the machines of
// the first request.
type Rental struct {
	RequestID string `json:"plea"`
	Type      string `json:"stock"`
	Zone      string `json:"patch"`
	Spot      bool   `json:"windfall"`
	Count     int    `json:"number"`
}

// MachineIDs lists machines, in the response to a rental and in a return request.
type MachineIDs struct {
	Machines []string `json:"rocks"`
}

// Phases of a machine in the cloud's list.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// ListedMachine is a machine in the cloud's list. AgeS is the time since it was rented, in seconds.
type ListedMachine struct {
	ID    string  `json:"uid"`
	Addr  string  `json:"addr"`
	Type  string  `json:"stock"`
	Zone  string  `json:"patch"`
	Spot  bool    `json:"windfall"`
	Phase string  `json:"phase"`
	AgeS  float64 `json:"ageS"`
}

// MachineList is a page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `json:"rocks"`
	More     bool            `json:"more"`
}
