package events

import (
	"time"

	"github.com/apex/log"
)

// Suspended records that this VM was suspended, and for how long.
func (l *Log) Suspended(d time.Duration) {
	l.warn("suspended", log.Fields{"suspended_ms": d.Milliseconds()})
}

// SuspensionsUndetectable records that suspensions of this VM cannot be detected.
func (l *Log) SuspensionsUndetectable(err error) {
	l.warn("suspensions_unseen", log.Fields{"error": errorText(err)})
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
