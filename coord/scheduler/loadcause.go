package scheduler

// LoadCause is the reason for loading an adapter.
type LoadCause int

// The causes of loads.
const (
	// LoadFirst: a request needs an adapter that no target holds.
	LoadFirst LoadCause = iota
	// LoadByDemand: the targets that hold the adapter are too few for its requests.
	LoadByDemand
	loadCauseCount
)

// LoadCauses returns all values of LoadCause.
func LoadCauses() []LoadCause { return []LoadCause{LoadFirst, LoadByDemand} }

// String returns the name that metrics use.
func (c LoadCause) String() string { return [...]string{"first", "demand"}[c] }

// replicaLoads returns the number of loads from the store in progress of adapters that another
// target holds.
func (s *Scheduler) replicaLoads() int { return s.storeLoads - s.loadsInProgress[LoadFirst] }
