package settings

import (
	_ "embed"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/findings"
	"github.com/junctionfold/junctionfold/internal/inifile"
	"github.com/junctionfold/junctionfold/schema"
)

// EdgeExample is an annotated settings file that ParseEdge accepts.
//
//go:embed edge.ini
var EdgeExample string

// LoadEdge reads and validates the settings file of an edge VM. The error is a
// *findings.Error if the file could be read but is invalid.
func LoadEdge(file string) (*schema.EdgeSettings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return ParseEdge(file, data)
}

// ParseEdge parses and validates the settings of an edge VM and applies defaults.
// file is the name used in findings.
func ParseEdge(file string, data []byte) (*schema.EdgeSettings, error) {
	fs := &findings.List{}
	p := &edgeParser{reader: newReader(file, fs), out: edgeDefaults()}
	p.read(p.out.ProtoReflect(), inifile.Parse(file, data, fs))
	p.check()
	return p.out, fs.Err()
}

func edgeDefaults() *schema.EdgeSettings {
	return &schema.EdgeSettings{
		Vm: &schema.EdgeVM{}, Listen: &schema.EdgeListen{}, Store: &schema.EdgeStore{},
		Times: &schema.EdgeTimes{RecoveryS: 12}, Retry: &schema.EdgeRetry{}, Orders: &schema.EdgeOrders{},
		Quota: &schema.EdgeQuota{WindowS: 8},
		Log:   &schema.LogSettings{Level: "info"},
	}
}

// edgeParser parses and validates the settings of an edge VM.
type edgeParser struct {
	reader
	out *schema.EdgeSettings
}

func (p *edgeParser) check() {
	s := p.out
	p.checkRequired("vm", "id", s.Vm.Id)
	p.checkRequired("vm", "zone", s.Vm.Zone)
	p.checkAddress("listen", "door", s.Listen.Door)
	p.checkAddress("listen", "ready", s.Listen.Ready)
	p.checkAddress("listen", "peer", s.Listen.Peer)
	if s.Listen.Metrics != "" {
		p.checkAddress("listen", "metrics", s.Listen.Metrics)
	}
	if s.Listen.Advertise != "" {
		p.checkAddress("listen", "advertise", s.Listen.Advertise)
	}
	for _, seed := range s.Listen.Seeds {
		p.checkAddress("listen", "seeds", seed)
	}
	p.checkAddress("store", "address", s.Store.Address)
	p.checkIntRanges([]intRange{
		{"vm", "memory_mb", int64(s.Vm.MemoryMb), 16, 1 << 20},
		{"vm", "max_fds", int64(s.Vm.MaxFds), 0, 1 << 24},
		{"times", "drain_ms", int64(s.Times.DrainMs), 100, 600_000},
		{"times", "config_apply_ms", int64(s.Times.ConfigApplyMs), 100, 600_000},
		{"times", "revoke_ms", int64(s.Times.RevokeMs), 0, 600_000},
		{"times", "version_ms", int64(s.Times.VersionMs), 0, 600_000},
		{"orders", "lease_ms", int64(s.Orders.LeaseMs), 100, 600_000},
	})
	p.checkFloatRanges([]floatRange{
		{"vm", "cpu_share", s.Vm.CpuShare, 0.001, 1024},
		{"vm", "cpu_cores", s.Vm.CpuCores, 0.001, 1024},
		{"vm", "link_mbps", s.Vm.LinkMbps, 0, 1e6},
		{"times", "grace_s", s.Times.GraceS, 0.5, 3600},
		{"times", "recovery_s", s.Times.RecoveryS, 1, 3600},
		{"retry", "ratio", s.Retry.Ratio, 0, 10},
		{"retry", "slack", s.Retry.Slack, 0, 1e6},
		{"quota", "window_s", s.Quota.WindowS, 0.1, 3600},
		{"quota", "over", s.Quota.Over, 0, 10},
		{"quota", "slack", s.Quota.Slack, 0, 1e9},
		{"orders", "load_over", s.Orders.LoadOver, 1, 100},
	})
	p.checkLogLevel(s.Log.Level)
}
