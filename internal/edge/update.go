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

// Updates of the store's copy are compressed where they are long. A configuration with
// 1,700 routes has 400 KB, which a reader sends to every VM of the fleet: at 90 VMs and
// 10 Mbit/s that would hold up for half a minute what comes after it, the word of leaving
// targets as well.
const (
	// packAbove is the size of an update that is worth it, in bytes: about one packet.
	packAbove = 1400
	// maxUnpacked bounds what one update may grow to, in bytes: many times the
	// largest copy of the store that is known.
	maxUnpacked = 64 << 20
)

// packer and unpacker are safe for concurrent use. Their options are constants, so that
// making them cannot fail.
var (
	packer, _   = zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1))
	unpacker, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxUnpacked))
)

func updateToProto(u feed.Update) *schema.FeedUpdate {
	out := &schema.FeedUpdate{From: uint64(u.From), To: uint64(u.To), Snapshot: u.Snapshot, AgeMs: u.Age.Milliseconds(), Reads: u.ReadCount, ProvenMs: provenMs(u.ConfirmedAge)}
	for _, i := range u.Items {
		out.Items = append(out.Items, &schema.StoreItem{
			Key: i.Key, Value: i.Value, Revision: uint64(i.Revision), Deleted: i.Deleted,
		})
	}
	if proto.Size(out) < packAbove {
		return out
	}
	plain, err := proto.Marshal(&schema.StoreItems{Items: out.Items})
	if err != nil {
		return out // sent as it is
	}
	out.Items, out.Packed = nil, packer.EncodeAll(plain, nil)
	return out
}

// provenMs rounds a bound on an age up.
func provenMs(d time.Duration) int64 {
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
		plain, err := unpacker.DecodeAll(u.Packed, nil)
		if err != nil {
			return out, errors.Wrap(err, "unpack update")
		}
		var unpacked schema.StoreItems
		if err := proto.Unmarshal(plain, &unpacked); err != nil {
			return out, errors.Wrap(err, "decode update")
		}
		items = unpacked.Items
	}
	for _, i := range items {
		out.Items = append(out.Items, fleet.Item{Key: i.Key, Value: i.Value, Revision: fleet.Revision(i.Revision), Deleted: i.Deleted})
	}
	return out, nil
}
