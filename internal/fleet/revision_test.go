package fleet

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestRevision(t *testing.T) {
	old, err := NewRevision(1, 1<<numberBits-1)
	assert.NilError(t, err)
	restored, err := NewRevision(2, 0)
	assert.NilError(t, err)
	assert.Assert(t, restored > old, "revisions order by epoch first, then by number")
	assert.Equal(t, old.Epoch(), uint64(1))
	assert.Equal(t, old.Number(), uint64(1<<numberBits-1))
	assert.Equal(t, (restored + 7).String(), "2.7")
	assert.Equal(t, Revision(7).String(), "7")
	assert.Equal(t, (restored + 7).EpochStart(), restored)
	for _, outOfRange := range [][2]uint64{{1 << 24, 0}, {0, 1 << numberBits}} {
		_, err := NewRevision(outOfRange[0], outOfRange[1])
		assert.Assert(t, err != nil)
	}
}
