// Package settings reads and validates the settings file of a daemon and reports
// all findings at once.
package settings

import (
	_ "embed"
	"net/netip"
	"net/url"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/junctionfold/junctionfold/internal/bundle"
	"github.com/junctionfold/junctionfold/internal/callers"
	"github.com/junctionfold/junctionfold/internal/findings"
	"github.com/junctionfold/junctionfold/internal/inifile"
	"github.com/junctionfold/junctionfold/schema"
)

// Example is an annotated settings file that Parse accepts.
//
//go:embed example.ini
var Example string

// Load reads and validates a settings file. The error is a *findings.Error if the
// file could be read but is invalid.
func Load(file string) (*schema.Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(file, data)
}

// Parse parses and validates settings and applies defaults. file is the name used
// in findings.
func Parse(file string, data []byte) (*schema.Settings, error) {
	fs := &findings.List{}
	p := &parser{reader: newReader(file, fs), out: Defaults()}
	p.read(p.out.ProtoReflect(), inifile.Parse(file, data, fs))
	p.check()
	return p.out, fs.Err()
}

// Defaults returns the settings that apply to keys that a file does not set.
func Defaults() *schema.Settings {
	return &schema.Settings{
		Vm: &schema.VMSettings{},
		Door: &schema.DoorSettings{
			MaxBodyBytes: 4 << 20, MaxRequestMs: 300_000, MaxOpenRequests: 4096, DrainMs: 5000, IdleTimeoutMs: 30_000,
		},
		Peer:     &schema.PeerSettings{HeartbeatMs: 500},
		Operator: &schema.OperatorSettings{Listen: "127.0.0.1:9480"},
		Platform: &schema.PlatformSettings{VmListPollMs: 1000, WatchMs: 30_000},
		Trust:    &schema.BundleTrust{Required: 1},
		Log:      &schema.LogSettings{Level: "info"},
	}
}

// parser parses and validates the settings of a VM that runs its own front end.
type parser struct {
	reader
	out *schema.Settings
}

func (p *parser) check() {
	s := p.out
	p.checkRequired("vm", "id", s.Vm.Id)
	p.checkRequired("vm", "hall", s.Vm.Hall)
	p.checkAddress("door", "listen", s.Door.Listen)
	p.checkAddress("peer", "listen", s.Peer.Listen)
	p.checkAddress("operator", "listen", s.Operator.Listen)
	p.checkRequired("operator", "token", s.Operator.Token)
	p.checkBaseURL("platform", "config_url", s.Platform.ConfigUrl)
	p.checkBaseURL("platform", "vm_list_url", s.Platform.VmListUrl)
	for _, seed := range s.Platform.Seeds {
		p.checkAddress("platform", "seeds", seed)
	}
	p.checkRanges()
	p.checkBodyFitsMemory()
	p.checkPeerTLS()
	p.checkTrust()
	p.checkLogLevel(p.out.Log.Level)
}

func (p *parser) checkBaseURL(section, key, value string) {
	u, err := url.Parse(value)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		p.fs.Add(p.positionOf(section, key), "%q is not a URL such as http://10.0.0.9:8500", value)
		return
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		p.fs.Add(p.positionOf(section, key), "%q names a host; an IP number is needed", value)
	}
}

func (p *parser) checkRanges() {
	s := p.out
	p.checkIntRanges([]intRange{
		{"vm", "memory_mb", int64(s.Vm.MemoryMb), 0, 1 << 20},
		{"door", "idle_timeout_ms", s.Door.IdleTimeoutMs, 1000, 3_600_000},
		{"door", "max_body_bytes", s.Door.MaxBodyBytes, 1 << 10, 64 << 20},
		{"door", "max_request_ms", s.Door.MaxRequestMs, 100, 3_600_000},
		{"door", "max_open_requests", s.Door.MaxOpenRequests, 1, 1 << 20},
		{"door", "drain_ms", s.Door.DrainMs, 0, 600_000},
		{"peer", "heartbeat_ms", s.Peer.HeartbeatMs, 50, 10_000},
		{"platform", "vm_list_poll_ms", s.Platform.VmListPollMs, 50, 60_000},
		{"platform", "watch_ms", s.Platform.WatchMs, 100, 600_000},
	})
}

// checkBodyFitsMemory checks that a body of the largest size can be read beside others.
func (p *parser) checkBodyFitsMemory() {
	s := p.out
	if s.Vm.MemoryMb == 0 {
		return
	}
	if largest := callers.LargestBody(int(s.Vm.MemoryMb)); s.Door.MaxBodyBytes > largest {
		p.fs.Add(p.positionOf("door", "max_body_bytes"), "%d is more than a VM of %d MB can read (%d)", s.Door.MaxBodyBytes, s.Vm.MemoryMb, largest)
	}
}

func (p *parser) checkPeerTLS() {
	s := p.out.Peer
	if !s.InsecureLoopback {
		p.checkRequired("peer", "cert_file", s.CertFile)
		p.checkRequired("peer", "key_file", s.KeyFile)
		p.checkRequired("peer", "ca_file", s.CaFile)
		return
	}
	address, err := netip.ParseAddrPort(s.Listen)
	if err == nil && !address.Addr().IsLoopback() {
		p.fs.Add(p.positionOf("peer", "insecure_loopback"), "TLS can be off only when [peer] listen is a loopback address")
	}
}

func (p *parser) checkTrust() {
	t := p.out.Trust
	if len(t.PublicKeys) == 0 {
		p.fs.Add(p.positionOf("trust", "public_keys"), "is required")
	}
	for _, k := range t.PublicKeys {
		if _, _, err := bundle.ParsePublicKey(k); err != nil {
			p.fs.Add(p.positionOf("trust", "public_keys"), "%v", err)
		}
	}
	if t.Required < 1 || int(t.Required) > max(len(t.PublicKeys), 1) {
		p.fs.Add(p.positionOf("trust", "required"), "%d is not between 1 and the number of public_keys (%d)", t.Required, len(t.PublicKeys))
	}
}
