package events

import (
	"time"

	"github.com/apex/log"
)

// Suspended says for how long this VM was suspended.
func (l *Log) Suspended(d time.Duration) {
	l.warn("suspended", log.Fields{"suspended_ms": d.Milliseconds()})
}

// SuspensionsUndetectable says that suspensions of this VM will not be noticed.
func (l *Log) SuspensionsUndetectable(err error) {
	l.warn("suspensions_unseen", log.Fields{"error": text(err)})
}

// Paused says that this process stood still.
func (l *Log) Paused(limit time.Duration) {
	l.warn("paused", log.Fields{"longer_than_ms": limit.Milliseconds()})
}

// Started says where the process listens.
func (l *Log) Started(door, peer, zone string, seeds []string) {
	l.info("started", log.Fields{"door": door, "peer": peer, "zone": zone, "seeds": len(seeds)})
}

// Draining says that the process was told to stop.
func (l *Log) Draining(open int64) { l.info("draining", log.Fields{"open": open}) }

// DrainIncomplete says that requests were still open at the end of the grace.
func (l *Log) DrainIncomplete(open int64, err error) {
	l.warn("drain_incomplete", log.Fields{"open": open, "error": text(err)})
}

// Stopped is the last line.
func (l *Log) Stopped() { l.info("stopped", log.Fields{}) }

// SettingsReloaded says which keys changed and are in force; others need a restart.
func (l *Log) SettingsReloaded(applied, needRestart []string) {
	l.info("settings_reloaded", log.Fields{"applied": applied, "need_restart": needRestart})
}

// SettingsRefused says that a changed file is wrong; the settings before it stay.
func (l *Log) SettingsRefused(err error) { l.warn("settings_refused", log.Fields{"error": text(err)}) }
