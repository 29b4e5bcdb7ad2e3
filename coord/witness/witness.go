// Package witness tells failures of targets from failures of one VM's paths to them.
//
// A VM that loses its paths to all targets sees each of them fail. Its failures say nothing about
// the targets, and must not keep the requests of other VMs away from them. A VM is unreliable as a
// witness while all of this holds:
//
//   - it failed at two or more targets within Memory, and has succeeded nowhere since;
//   - another VM has succeeded at one of these targets after the failure there.
//
// Failures count until then. A dead target is thus known by its first failure, also if several die
// at once, since no VM succeeds there, and also if a single VM sends all requests. What has counted
// before a VM is found unreliable has to be withdrawn. A success of the VM makes it reliable again.
//
// Judge has no clock and does no I/O. It is not safe for concurrent use.
package witness

import (
	"slices"
	"time"

	"github.com/junctionfold/junctionfold/coord"
)

const (
	// Memory is how long failures, and successes of others at the same target, are considered:
	// longer than the longest ejection, so that the probe after it still finds them.
	Memory = 5 * time.Second
	// minFailedTargets is the number of targets at which a VM must have failed: at one target, the
	// target itself is the likelier cause.
	minFailedTargets = 2
	// refreshInterval is the time for which successes at a target are not compared again with
	// failures that they have refuted.
	refreshInterval = 100 * time.Millisecond
	// expiryInterval is the time between two passes over all failures.
	expiryInterval = time.Second
)

// Judge holds the recent failures of all VMs.
type Judge struct {
	vms     map[coord.VMID]*record
	targets map[string]*targetRecord
	// lastExpiry is the time of the last pass of Expire.
	lastExpiry time.Time
}

// record holds the failures of one VM since its last success.
type record struct {
	// failures has the time of the last failure at each target.
	failures map[string]time.Time
	// since is the time of the first failure.
	since time.Time
	// refutedAt is when another VM last succeeded at one of these targets; zero: never.
	refutedAt time.Time
	// withdrawn reports that the caller has been told to withdraw the failures.
	withdrawn bool
}

// targetRecord holds the VMs that failed at a target.
type targetRecord struct {
	vms []coord.VMID
	// comparedAt is when a success was last compared with the failures; zero if a failure came
	// after it.
	comparedAt time.Time
}

// New returns a Judge that knows of no failure.
func New() *Judge {
	return &Judge{vms: map[coord.VMID]*record{}, targets: map[string]*targetRecord{}}
}

// Failed records that a request of a VM failed at a target. It reports whether this is evidence
// against the target; if not, the failures of the VM from FailingSince on are to be withdrawn.
func (j *Judge) Failed(now time.Time, vm coord.VMID, target string) (counts bool) {
	r := j.vms[vm]
	if r == nil {
		r = &record{failures: map[string]time.Time{}, since: now}
		j.vms[vm] = r
	}
	t := j.targets[target]
	if t == nil {
		t = &targetRecord{}
		j.targets[target] = t
	}
	if _, known := r.failures[target]; !known {
		t.vms = append(t.vms, vm)
	}
	t.comparedAt = time.Time{}
	r.failures[target] = now
	r.withdrawn = r.isUnreliable(now)
	return !r.withdrawn
}

// Succeeded records that a target answered a request of a VM. It returns the VMs that are found
// unreliable by this, and whose failures from FailingSince on are to be withdrawn.
func (j *Judge) Succeeded(now time.Time, vm coord.VMID, target string) (unreliable []coord.VMID) {
	j.forget(vm)
	return j.GoesOn(now, vm, target)
}

// GoesOn is Succeeded for a request that has not ended, while others failed at the target. It speaks
// for the target, and does not show that the VM still reaches it.
func (j *Judge) GoesOn(now time.Time, vm coord.VMID, target string) (unreliable []coord.VMID) {
	t := j.targets[target]
	if t == nil || now.Sub(t.comparedAt) < refreshInterval {
		return nil
	}
	if !slices.Contains(t.vms, vm) { // otherwise vm's own failure is not compared
		t.comparedAt = now
	}
	for _, other := range t.vms {
		r := j.vms[other]
		if other == vm || now.Sub(r.failures[target]) > Memory {
			continue
		}
		r.refutedAt = now
		if !r.withdrawn && r.isUnreliable(now) {
			r.withdrawn = true
			unreliable = append(unreliable, other)
		}
	}
	return unreliable
}

// Reached records that a VM reached a target, by other means than a request or with an error as the
// response. This refutes no failure of another VM's requests.
func (j *Judge) Reached(vm coord.VMID) { j.forget(vm) }

// FailingSince returns the time of the first of a VM's recent failures without a success since; zero if
// there is none.
func (j *Judge) FailingSince(vm coord.VMID) time.Time {
	if r := j.vms[vm]; r != nil {
		return r.since
	}
	return time.Time{}
}

// Unreliable reports whether a VM's failures are no evidence against targets.
func (j *Judge) Unreliable(now time.Time, vm coord.VMID) bool {
	r := j.vms[vm]
	return r != nil && r.isUnreliable(now)
}

// AllUnreliable returns the VMs whose failures are no evidence against targets; nil if there are none.
func (j *Judge) AllUnreliable(now time.Time) (unreliable map[coord.VMID]bool) {
	for vm, r := range j.vms {
		if !r.isUnreliable(now) {
			continue
		}
		if unreliable == nil {
			unreliable = map[coord.VMID]bool{}
		}
		unreliable[vm] = true
	}
	return unreliable
}

func (r *record) isUnreliable(now time.Time) bool {
	if r.refutedAt.IsZero() || now.Sub(r.refutedAt) > Memory {
		return false
	}
	recent := 0
	for _, at := range r.failures {
		if now.Sub(at) <= Memory {
			recent++
		}
		if recent >= minFailedTargets {
			return true
		}
	}
	return false
}

// Expire removes failures that are older than Memory. It may be called often.
func (j *Judge) Expire(now time.Time) {
	if now.Sub(j.lastExpiry) < expiryInterval {
		return
	}
	j.lastExpiry = now
	for vm, r := range j.vms {
		for target, at := range r.failures {
			if now.Sub(at) > Memory {
				j.removeFailure(vm, r, target)
			}
		}
		if len(r.failures) == 0 {
			delete(j.vms, vm)
		}
	}
}

func (j *Judge) forget(vm coord.VMID) {
	r := j.vms[vm]
	if r == nil {
		return
	}
	for target := range r.failures {
		j.removeFailure(vm, r, target)
	}
	delete(j.vms, vm)
}

func (j *Judge) removeFailure(vm coord.VMID, r *record, target string) {
	delete(r.failures, target)
	t := j.targets[target]
	t.vms = slices.DeleteFunc(t.vms, func(other coord.VMID) bool { return other == vm })
	if len(t.vms) == 0 {
		delete(j.targets, target)
	}
}
