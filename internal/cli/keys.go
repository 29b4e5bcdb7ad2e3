package cli

import (
	"fmt"
	"net"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/junctionfold/junctionfold/internal/bundle"
	"github.com/junctionfold/junctionfold/internal/certs"
)

func keysCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "keys", Short: "Make keys for signing bundles and for TLS between VMs"}
	cmd.AddCommand(keysBundle(), keysAuthority(), keysVM())
	return cmd
}

func keysBundle() *cobra.Command {
	return &cobra.Command{
		Use:   "bundle ID FILE",
		Short: "Make a signing key; prints the public key for [trust] public_keys",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			private, public, err := bundle.NewKey(args[0])
			if err != nil {
				return err
			}
			if err := writeNewFile(args[1], private, 0o600); err != nil {
				return err
			}
			_, err = fmt.Fprintln(cmd.OutOrStdout(), public)
			return err
		},
	}
}

// File names of the certificate authority's certificate and private key.
const (
	authorityCert = "ca.pem"
	authorityKey  = "ca.key"
)

func keysAuthority() *cobra.Command {
	return &cobra.Command{
		Use:   "authority DIR",
		Short: "Make the authority that VMs' certificates chain to",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			pair, err := certs.NewAuthority()
			if err != nil {
				return err
			}
			return writeKeyPair(args[0], authorityCert, authorityKey, pair)
		},
	}
}

func writeKeyPair(dir, certName, keyName string, p certs.Pair) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "make directory")
	}
	if err := writeNewFile(filepath.Join(dir, certName), p.Cert, 0o644); err != nil {
		return err
	}
	return writeNewFile(filepath.Join(dir, keyName), p.Key, 0o600)
}

func keysVM() *cobra.Command {
	return &cobra.Command{
		Use:   "vm DIR ID [IP...]",
		Short: "Make a VM's certificate with the authority in DIR",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			authority, err := readAuthority(args[0])
			if err != nil {
				return err
			}
			ips, err := parseIPs(args[2:])
			if err != nil {
				return err
			}
			pair, err := certs.Issue(authority, args[1], ips)
			if err != nil {
				return err
			}
			return writeKeyPair(args[0], args[1]+".pem", args[1]+".key", pair)
		},
	}
}

func readAuthority(dir string) (certs.Pair, error) {
	cert, err := os.ReadFile(filepath.Join(dir, authorityCert))
	if err != nil {
		return certs.Pair{}, errors.Wrap(err, "read authority")
	}
	key, err := os.ReadFile(filepath.Join(dir, authorityKey))
	return certs.Pair{Cert: cert, Key: key}, errors.Wrap(err, "read authority's key")
}

func parseIPs(addresses []string) ([]net.IP, error) {
	var out []net.IP
	for _, a := range addresses {
		ip := net.ParseIP(a)
		if ip == nil {
			return nil, errors.Newf("%q is not an IP address", a)
		}
		out = append(out, ip)
	}
	return out, nil
}
