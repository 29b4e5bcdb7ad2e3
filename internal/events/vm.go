package events

import (
	"math"
	"time"

	"github.com/apex/log"

	"github.com/junctionfold/junctionfold/internal/vmload"
)

// Suspended records that this VM was suspended, and for how long.
func (l *Log) Suspended(d time.Duration) {
	l.warn("suspended", log.Fields{"suspended_ms": d.Milliseconds()})
}

// SuspensionsUndetectable records that suspensions of this VM cannot be detected.
func (l *Log) SuspensionsUndetectable(err error) {
	l.warn("suspensions_unseen", log.Fields{"error": errorText(err)})
}

// OverloadBegan records that this VM begins to close new connections of callers unread, and which limit is the
// closest to being reached.
func (l *Log) OverloadBegan(load vmload.Load, leading bool) {
	fields := loadFields(load)
	fields["leading"] = leading
	l.warn("overload_began", fields)
}

// OverloadEnded records that this VM accepts all new connections again, and how many it has closed since it
// started.
func (l *Log) OverloadEnded(closed int64, load vmload.Load) {
	fields := loadFields(load)
	fields["closed_total"] = closed
	l.info("overload_ended", fields)
}

func loadFields(load vmload.Load) log.Fields {
	limit, _ := load.MostUsed()
	return log.Fields{
		"limit": limit, "queue_delay_ms": load.QueueDelay.Milliseconds(),
		"processor_pct": percent(load.Processor), "link_pct": percent(load.Link),
		"memory_pct": percent(load.Memory), "connections_pct": percent(load.Connections),
	}
}

func percent(share float64) int { return int(math.Round(100 * share)) }

// PathBroken records that this VM cannot reach a target that another VM reaches.
func (l *Log) PathBroken(target string) { l.warn("path_broken", log.Fields{"target": target}) }

// PathRestored records that this VM can reach such a target again.
func (l *Log) PathRestored(target string) { l.info("path_restored", log.Fields{"target": target}) }

// IsolationBegan records that this VM is cut off from all targets, and how many of its paths were
// known to be broken.
func (l *Log) IsolationBegan(brokenPaths int) {
	l.warn("isolation_began", log.Fields{"broken_paths": brokenPaths})
}

// IsolationEnded records that this VM reaches targets again, how many of its paths were still known
// to be broken, and how long it was isolated.
func (l *Log) IsolationEnded(brokenPaths int, d time.Duration) {
	l.info("isolation_ended", log.Fields{"broken_paths": brokenPaths, "isolated_ms": d.Milliseconds()})
}

// Paused records that this process did not run for longer than limit.
func (l *Log) Paused(limit time.Duration) {
	l.warn("paused", log.Fields{"longer_than_ms": limit.Milliseconds()})
}

// Started records the addresses on which the process listens, its zone, and the number of
// seeds.
func (l *Log) Started(callerAddr, peerAddr, zone string, seeds []string) {
	l.info("started", log.Fields{"door": callerAddr, "peer": peerAddr, "zone": zone, "seeds": len(seeds)})
}

// Draining records that the process received a request to stop, and the number of open
// requests.
func (l *Log) Draining(open int64) { l.info("draining", log.Fields{"open": open}) }

// DrainIncomplete records that requests were still open at the end of the shutdown grace
// period.
func (l *Log) DrainIncomplete(open int64, err error) {
	l.warn("drain_incomplete", log.Fields{"open": open, "error": errorText(err)})
}

// Stopped records that the process has stopped. It is the last event of a process.
func (l *Log) Stopped() { l.info("stopped", log.Fields{}) }

// SettingsReloaded records the changed settings keys: those that are applied, and those that
// take effect only after a restart.
func (l *Log) SettingsReloaded(applied, needRestart []string) {
	l.info("settings_reloaded", log.Fields{"applied": applied, "need_restart": needRestart})
}

// SettingsRefused records that a changed settings file is invalid. The previous settings stay
// in effect.
func (l *Log) SettingsRefused(err error) {
	l.warn("settings_refused", log.Fields{"error": errorText(err)})
}
