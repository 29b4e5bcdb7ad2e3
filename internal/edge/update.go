package edge

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"github.com/junctionfold/junctionfold/internal/feed"
	"github.com/junctionfold/junctionfold/internal/fleet"
	"github.com/junctionfold/junctionfold/schema"
)

// Long updates of the store copy are compressed. A configuration with 1,700 routes has 400 KB,
// which a store watcher sends to every VM of the fleet. Uncompressed, with 90 VMs and 10 Mbit/s, it
// would delay all following messages for half a minute, notices of leaving targets included.
const (
	// compressThreshold is the size in bytes from which updates are compressed: about one packet.
	compressThreshold = 1400
	// maxDecompressedBytes bounds the decompressed size of one update: many times the largest known
	// store copy.
	maxDecompressedBytes = 64 << 20
)

// compressor and decompressor are safe for concurrent use. Their options are constants, so creating
// them cannot fail.
var (
	compressor, _   = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	decompressor, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecompressedBytes))
)

func updateToProto(u feed.Update) *schema.FeedUpdate {
	out := &schema.FeedUpdate{From: uint64(u.From), To: uint64(u.To), Snapshot: u.Snapshot, AgeMs: u.Age.Milliseconds(), Reads: u.ReadCount, ProvenMs: confirmedAgeMs(u.ConfirmedAge)}
	for _, i := range u.Items {
		out.Items = append(out.Items, &schema.StoreItem{
			Key: i.Key, Value: i.Value, Revision: uint64(i.Revision), Deleted: i.Deleted,
		})
	}
	if proto.Size(out) < compressThreshold {
		return out
	}
	uncompressed, err := proto.Marshal(&schema.StoreItems{Items: out.Items})
	if err != nil {
		return out // sent uncompressed
	}
	out.Items, out.Packed = nil, compressor.EncodeAll(uncompressed, nil)
	return out
}

// confirmedAgeMs converts a bound on an age to milliseconds, rounded up; -1 if it is unknown.
func confirmedAgeMs(d time.Duration) int64 {
	if d < 0 {
		return -1
	}
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

func updateFromProto(u *schema.FeedUpdate) (feed.Update, error) {
	out := feed.Update{
		From: fleet.Revision(u.From), To: fleet.Revision(u.To), Snapshot: u.Snapshot, Age: time.Duration(u.AgeMs) * time.Millisecond,
		ReadCount: u.Reads, ConfirmedAge: time.Duration(u.ProvenMs) * time.Millisecond,
	}
	items := u.Items
	if len(u.Packed) > 0 {
		uncompressed, err := decompressor.DecodeAll(u.Packed, nil)
		if err != nil {
			return out, errors.Wrap(err, "unpack update")
		}
		var unpacked schema.StoreItems
		if err := proto.Unmarshal(uncompressed, &unpacked); err != nil {
			return out, errors.Wrap(err, "decode update")
		}
		items = unpacked.Items
	}
	for _, i := range items {
		out.Items = append(out.Items, fleet.Item{Key: i.Key, Value: i.Value, Revision: fleet.Revision(i.Revision), Deleted: i.Deleted})
	}
	return out, nil
}
