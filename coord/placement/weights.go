package placement

// Ends of the settings that the users' weights move between: the first when load
// stalls weigh all, the second when full batches do. docs/design/load-decisions.md
// has the figures for both.
const (
	growForStalls  = 1.0
	growForBatches = 1.5
	stepForStalls  = 0.5
	stepForBatches = 2.0
)

// ForWeights returns the settings for the users' weights, each from 0 to 1. Fuller
// batches are had by spreading an adapter later and by staying longer with a
// target that has a queue.
func ForWeights(loadStall, batchEfficiency float64) (SpreadConfig, *Scheduler) {
	share := 0.0
	if sum := loadStall + batchEfficiency; sum > 0 {
		share = batchEfficiency / sum
	}
	cfg := DefaultSpreadConfig()
	cfg.GrowThreshold = growForStalls + share*(growForBatches-growForStalls)
	return cfg, WithAffinityStep(stepForStalls + share*(stepForBatches-stepForStalls))
}
