package events

// Names returns the names of all events.
func Names() []string {
	return []string{
		"request_ended", "attempt_failed", "retry_denied", "scheduler_silent", "verdict_refused", "line_refused", "content_suspected", "content_released",
		"overload_began", "overload_ended",
		"part_held", "part_suspected", "part_released",
		"order_answered", "model_size_unknown", "report_failed", "target_changed", "target_said", "rate_limit_named", "rate_limit_ended", "target_brittle", "target_brittle_ended",
		"config_adopted", "team_changed", "store_item_refused", "store_lost", "store_regained", "store_history_gone", "store_relisted", "store_era_began", "feed_gap",
		"peer_changed", "scheduler_moved", "duty_changed", "duty_taken", "duty_not_taken", "other_leader_observed", "path_broken", "path_restored", "isolation_began", "isolation_ended", "paused", "suspended", "suspensions_unseen",
		"started", "draining", "drain_incomplete", "stopped", "settings_reloaded", "settings_refused",
		"peer_call_failed", "log_lines_omitted", "log_lines_dropped",
	}
}
