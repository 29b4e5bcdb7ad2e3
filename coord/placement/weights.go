package placement

// Ranges of the settings that the bundle's weights control: the first value applies at full weight on
// load stalls, the second at full weight on batch efficiency. docs/design/load-decisions.md has the
// figures for both.
const (
	growThresholdForStalls  = 1.0
	growThresholdForBatches = 1.5
	affinityStepForStalls   = 0.5
	affinityStepForBatches  = 2.0
)

// SettingsForWeights returns the settings for the bundle's weights, each from 0 to 1. Their ratio
// counts; if both are 0, load stalls have full weight. Batch efficiency grows if an adapter is spread
// later, and if requests stay longer with a target that has a queue.
func SettingsForWeights(loadStall, batchEfficiency float64) (SpreadConfig, *Scheduler) {
	share := 0.0
	if sum := loadStall + batchEfficiency; sum > 0 {
		share = batchEfficiency / sum
	}
	cfg := DefaultSpreadConfig()
	cfg.GrowThreshold = growThresholdForStalls + share*(growThresholdForBatches-growThresholdForStalls)
	return cfg, WithAffinityStep(affinityStepForStalls + share*(affinityStepForBatches-affinityStepForStalls))
}
