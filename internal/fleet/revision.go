package fleet

import (
	"strconv"

	"github.com/cockroachdb/errors"
)

// Revision orders the changes of the store: by the era of its history, and within it by the number that
// the store gives them. A store that is restored from an older copy begins an era, and gives numbers out
// again. Era 0 is that of a store that names none.
type Revision uint64

// numberBits of a Revision hold the number, the others the era.
const numberBits = 40

// NewRevision returns the revision with a number in an era.
func NewRevision(era, number uint64) (Revision, error) {
	if era >= 1<<(64-numberBits) || number >= 1<<numberBits {
		return 0, errors.Newf("revision %d of era %d is out of range", number, era)
	}
	return Revision(era<<numberBits | number), nil
}

// Epoch returns the era.
func (r Revision) Epoch() uint64 { return uint64(r) >> numberBits }

// Number returns the number within the era.
func (r Revision) Number() uint64 { return uint64(r) & (1<<numberBits - 1) }

// EpochStart is before all revisions of its era.
func (r Revision) EpochStart() Revision { return r &^ (1<<numberBits - 1) }

// String gives the number, after the era if there is one.
func (r Revision) String() string {
	number := strconv.FormatUint(r.Number(), 10)
	if r.Epoch() == 0 {
		return number
	}
	return strconv.FormatUint(r.Epoch(), 10) + "." + number
}
