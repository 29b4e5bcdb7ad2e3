package edge

import (
	"expvar"

	"github.com/junctionfold/junctionfold/coord"
	"github.com/junctionfold/junctionfold/coord/scheduler"
)

// publishGauges adds the state of the node's parts to the metrics.
func (n *Node) publishGauges() {
	n.metrics.Gauge("open_requests", n.gateway.OpenRequests)
	n.metrics.Gauge("fleet_vms", n.vmCount.Load)
	n.metrics.Gauge("peer_sessions", func() int64 { return int64(n.mesh.Sessions()) })
	n.metrics.Gauge("peer_bytes_in_total", func() int64 { in, _ := n.mesh.Bytes(); return in })
	n.metrics.Gauge("peer_bytes_out_total", func() int64 { _, out := n.mesh.Bytes(); return out })
	n.metrics.Gauge("feed_revision", func() int64 { return int64(n.feed.Revision().Number()) })
	n.metrics.Gauge("feed_era", func() int64 { return int64(n.feed.Revision().Epoch()) })
	n.metrics.Gauge("feed_age_ms", func() int64 { return n.feed.Age().Milliseconds() })
	n.metrics.Gauge("keys_within_ms", maxKeyAge(n.settings.Times).Milliseconds)
	n.metrics.Gauge("feed_proven_ms", func() int64 { return n.feed.ConfirmedAge().Milliseconds() })
	n.metrics.Gauge("feed_items_refused", n.feed.RejectedItems)
	n.metrics.Gauge("targets_leaving", func() int64 { return int64(len(n.feed.Leaving())) })
	n.metrics.Gauge("targets_resting", n.gateway.BackedOffCount)
	n.metrics.Gauge("targets_rate_limited", func() int64 { return int64(len(n.rateLimits.Limited())) })
	n.metrics.Map.Set("rate_limits", expvar.Func(func() any { rates, _ := n.rateLimits.current(); return rates }))
	n.metrics.Gauge("targets_brittle", func() int64 { return int64(len(n.rejectionLimits.Limited())) })
	n.metrics.Map.Set("rejection_limits", expvar.Func(func() any { limits, _ := n.rejectionLimits.current(); return limits }))
	n.metrics.Gauge("stream_records", n.origins.recordCount)
	n.metrics.Gauge("plain_waiting", func() int64 { return int64(n.queues.stats().Waiting) })
	n.metrics.Gauge("plain_running", func() int64 { return int64(n.queues.stats().Running) })
	n.metrics.Gauge("plain_limit", func() int64 { return int64(n.queues.stats().Limit) })
	n.metrics.Gauge("plain_work_ms", func() int64 { return n.queues.stats().ServiceTime.Milliseconds() })
	n.metrics.Gauge("caller_connections", func() int64 { return n.overload.callers.Stats().Open })
	n.metrics.Gauge("caller_connections_closed_unread_total", func() int64 { return n.overload.callers.Stats().Unread })
	n.metrics.Gauge("caller_connections_evicted_total", func() int64 { return n.overload.callers.Stats().Evicted })
	n.metrics.Gauge("caller_connections_expired_total", func() int64 { return n.overload.callers.Stats().Expired })
	n.metrics.Gauge("caller_bytes_held", func() int64 { return n.overload.callers.Stats().HeldBytes })
	n.metrics.Gauge("caller_bytes_refused_total", func() int64 { return n.overload.callers.Stats().Refused })
	n.metrics.Gauge("queue_delay_us", func() int64 { return n.overload.currentLoad().QueueDelay.Microseconds() })
	n.metrics.Gauge("processor_use_pct", func() int64 { return int64(100 * n.overload.currentLoad().Processor) })
	n.metrics.Gauge("link_use_pct", func() int64 { return int64(100 * n.overload.currentLoad().Link) })
	n.metrics.Gauge("memory_use_pct", func() int64 { return int64(100 * n.overload.currentLoad().Memory) })
	n.metrics.Gauge("caller_connections_use_pct", func() int64 { return int64(100 * n.overload.currentLoad().Connections) })
	n.metrics.Gauge("contents_suspect", func() int64 { suspect, _, _ := n.quarantine.stats(); return suspect })
	n.metrics.Gauge("contents_held", func() int64 { _, blocked, _ := n.quarantine.stats(); return blocked })
	n.metrics.Gauge("contents_refused_total", func() int64 { _, _, refused := n.quarantine.stats(); return refused })
	n.metrics.Gauge("parts_held", func() int64 { return int64(len(n.quarantine.blockedParts())) })
	n.metrics.Map.Set("held_parts", expvar.Func(func() any { return n.quarantine.blockedParts() }))
	n.metrics.Map.Set("held_contents", expvar.Func(func() any { return n.quarantine.blocked() }))
	n.metrics.Map.Set("teams", expvar.Func(func() any { return n.quotas.accounts() }))
	n.metrics.Map.Set("team_shares", expvar.Func(func() any { return n.teamUsage() }))
	n.metrics.Gauge("leading", n.leads)
	n.metrics.Gauge("scheduler_waiting", func() int64 { return int64(n.schedulers.stats().Waiting) })
	n.metrics.Gauge("grants_over_batch_total", func() int64 { return n.schedulers.stats().OverBatch })
	n.metrics.Gauge("grants_preempting_total", func() int64 { return n.schedulers.stats().Preempting })
	n.metrics.Map.Set("target_pace", expvar.Func(func() any { return n.schedulers.paces() }))
	n.metrics.Gauge("adapter_loads", func() int64 { return int64(n.schedulers.stats().Loads) })
	for _, reason := range scheduler.FreedByValues() {
		n.metrics.Gauge("places_freed_by_"+reason.String(), func() int64 { return n.schedulers.stats().Freed[reason] })
	}
	for _, cause := range scheduler.LoadCauses() {
		n.metrics.Gauge("adapter_loads_"+cause.String()+"_total", func() int64 { return n.schedulers.stats().LoadsStarted[cause] })
	}
	n.metrics.Gauge("replicas_wanted", func() int64 { return int64(n.schedulers.stats().ReplicasWanted) })
	n.metrics.Gauge("replicas_held", func() int64 { return int64(n.schedulers.stats().ReplicasHeld) })
	n.metrics.Gauge("adapter_loads_limit", func() int64 { return int64(n.schedulers.stats().MaxLoads) })
	n.metrics.Gauge("adapter_load_ms", func() int64 { return n.schedulers.stats().ColdLoad.Milliseconds() })
	n.metrics.Gauge("adapter_load_kept_ms", func() int64 { return n.schedulers.stats().WarmLoad.Milliseconds() })
	n.metrics.Gauge("fleet_vms", n.vmCount.Load)
	n.metrics.Gauge("fleet_vms_connected", n.connectedVMs.Load)
	n.metrics.Gauge("paths_broken", n.reachability.brokenPaths)
	n.metrics.Gauge("isolated", n.reachability.isolated)
	n.metrics.Gauge("config_version", func() int64 {
		if c := n.feed.Directory().Config; c != nil {
			return int64(c.Version)
		}
		return 0
	})
}

// leads returns 1 if this VM is the leader, or else 0.
func (n *Node) leads() int64 {
	if *n.leader.Load() == coord.VMID(n.settings.Vm.Id) {
		return 1
	}
	return 0
}
