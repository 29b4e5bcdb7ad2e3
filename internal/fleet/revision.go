package fleet

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// Revision orders the changes of the store: first by store epoch, then by the number that the store
// assigns within the epoch. A store that is restored from an older copy begins a new epoch and
// assigns numbers again that it used before. Epoch 0 is that of a store that reports no epoch.
type Revision uint64

// numberBits of a Revision hold the number, the other bits the epoch.
const numberBits = 40

// NewRevision returns the revision with a number in an epoch.
func NewRevision(epoch, number uint64) (Revision, error) {
	if epoch >= 1<<(64-numberBits) || number >= 1<<numberBits {
		return 0, errors.Newf("revision %d of epoch %d is out of range", number, epoch)
	}
	return Revision(epoch<<numberBits | number), nil
}

// Epoch returns the store epoch.
func (r Revision) Epoch() uint64 { return uint64(r) >> numberBits }

// Number returns the number within the epoch.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }

// EpochStart returns a revision that precedes all changes of the epoch.
func (r Revision) EpochStart() Revision { return r &^ (1<<numberBits - 1) }

// String returns the number, preceded by the epoch unless that is 0.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number(), 10)
	if r.Epoch() == 0 {
		return number
	}
	return strconv.FormatUint(r.Epoch(), 10) + "." + number
}
