// Package settings reads and checks an instance's start-up settings, such as its
// failure domain and the addresses that it uses. They do not change while the
// instance runs; configuration that does is in the service document.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
)

// Settings holds the start-up settings of one instance.
type Settings struct {
	Resources
	// Name identifies the instance; a restarted instance may keep it.
	Name string `toml:"name"`
	// Region is the instance's region. Default "main".
	Region string `toml:"region"`
	// Domain is the instance's failure domain.
	Domain string `toml:"domain"`
	// CallerAddress is the IP address and port where callers are served.
	CallerAddress string `toml:"caller_address"`
	// PeerAddress is the IP address and port for other instances.
	PeerAddress string `toml:"peer_address"`
	// PeerAdvertise is the IP address and port at which other instances reach
	// this one, if it differs from peer_address. Default peer_address.
	PeerAdvertise string `toml:"peer_advertise"`
	// AdminAddress is the IP address and port for operators: health, metrics,
	// status, events.
	AdminAddress string `toml:"admin_address"`
	// PlatformAddress is the platform's object API, IP address and port.
	PlatformAddress string `toml:"platform_address"`
	// Seeds lists peer addresses of other instances, for an instance that starts
	// while the platform is unavailable. Default none.
	Seeds []string `toml:"seeds"`
	// LedgerShards is the number of ledger objects. It must be the same at all
	// instances and must not change on a platform in use. Default 16.
	LedgerShards int `toml:"ledger_shards"`
	// ClaimShards is the number of claim objects. It must be the same at all
	// instances and must not change on a platform in use. Default 16.
	ClaimShards int `toml:"claim_shards"`
	// StoreTimeoutMillis bounds one call to the platform, in milliseconds.
	// Default 1000.
	StoreTimeoutMillis int64 `toml:"store_timeout_millis"`
	// HeartbeatMillis is the time between heartbeats to a peer, in
	// milliseconds. Default 1000.
	HeartbeatMillis int64 `toml:"heartbeat_millis"`
	// PeerSilentMillis is how long a peer may be silent before other instances
	// stop relying on it, in milliseconds. Default 3500.
	PeerSilentMillis int64 `toml:"peer_silent_millis"`
	// AheadSeconds is how many seconds of an account's demand for tokens an
	// instance keeps allocated in advance. Default 2.
	AheadSeconds int64 `toml:"ahead_seconds"`
	// CallerReadMillis bounds the time to read one caller's request, and so how
	// long a slow or endless request occupies a connection, in milliseconds.
	// Default 30000.
	CallerReadMillis int64 `toml:"caller_read_millis"`
	// DrainDelayMillis is how long a stopping instance reports that it is not ready
	// but still accepts requests, so that the load balancer has stopped sending to
	// it before it refuses any, in milliseconds. Default 2000.
	DrainDelayMillis int64 `toml:"drain_delay_millis"`
	// PeerTLS names the files for mutual TLS between instances. Empty means no TLS:
	// then the peer address must be reachable by instances only.
	PeerTLS TLSFiles `toml:"peer_tls"`
	// CallerTLS names the files for TLS with callers. Empty means no TLS.
	CallerTLS TLSFiles `toml:"caller_tls"`
	// AdminTokenSHA256 is the SHA-256 of the operators' bearer token, in
	// hexadecimal. If it is empty, the administration calls that change or show
	// accounts are disabled.
	AdminTokenSHA256 string `toml:"admin_token_sha256"`
}

// TLSFiles names PEM files. Files that are replaced are read again.
type TLSFiles struct {
	// Certificate is the instance's certificate; between instances it carries
	// the DNS name "lavenderring-peer".
	Certificate string `toml:"certificate"`
	// Key is the certificate's private key.
	Key string `toml:"key"`
	// Authority is the certificate authority of the instances' certificates; for
	// peer_tls only.
	Authority string `toml:"authority"`
}

// Fault describes one invalid setting.
type Fault struct {
	// File, Key and Value are the settings file, the setting's key and its value.
	File, Key, Value string
	// Allowed describes the allowed values.
	Allowed string
}

// InvalidError lists all invalid settings of a file.
type InvalidError struct{ Faults []Fault }

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = fmt.Sprintf("%s: %s = %q: allowed is %s", f.File, f.Key, f.Value, f.Allowed)
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file. The error is an *InvalidError with all
// faults, or wraps the error of reading the file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	return Parse(path, text)
}

// Parse decodes and checks the text of a settings file; path is used in errors only.
func Parse(path string, text []byte) (*Settings, error) {
	s := defaults()
	if err := decode(path, text, s); err != nil {
		return nil, err
	}
	if faults := s.check(path); len(faults) > 0 {
		return nil, &InvalidError{Faults: faults}
	}
	return s, nil
}

func decode(path string, text []byte, into any) error {
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return &InvalidError{Faults: decodeFaults(path, err)}
	}
	return nil
}

func decodeFaults(path string, err error) []Fault {
	var strict *toml.StrictMissingError
	if !errors.As(err, &strict) {
		return []Fault{{File: path, Key: "(file)", Value: err.Error(), Allowed: "TOML of the documented shape"}}
	}
	faults := make([]Fault, 0, len(strict.Errors))
	for i := range strict.Errors {
		key := strings.Join(strict.Errors[i].Key(), ".")
		faults = append(faults, Fault{File: path, Key: key, Value: "(set)", Allowed: "no such key"})
	}
	return faults
}

func defaults() *Settings {
	return &Settings{
		Region:             "main",
		LedgerShards:       16,
		ClaimShards:        16,
		StoreTimeoutMillis: 1000,
		HeartbeatMillis:    1000,
		PeerSilentMillis:   3500,
		AheadSeconds:       2,
		CallerReadMillis:   30_000,
		DrainDelayMillis:   2000,
	}
}

// checker collects the faults of one file.
type checker struct {
	path   string
	faults []Fault
}

func (c *checker) require(ok bool, key string, value any, allowed string) {
	if !ok {
		c.faults = append(c.faults, Fault{File: c.path, Key: key, Value: fmt.Sprint(value), Allowed: allowed})
	}
}

func (c *checker) requireAddress(key, value string) {
	_, err := netip.ParseAddrPort(value)
	c.require(err == nil, key, value, "an IP address and port")
}

func (c *checker) requireRange(key string, value, low, high int64) {
	c.require(value >= low && value <= high, key, value, fmt.Sprintf("%d to %d", low, high))
}

func (s *Settings) check(path string) []Fault {
	c := &checker{path: path}
	require, requireAddress, requireRange := c.require, c.requireAddress, c.requireRange
	require(s.Name != "" && !strings.ContainsAny(s.Name, "/ "), "name", s.Name, "a name without slash or blank")
	require(s.Domain != "", "domain", s.Domain, "a failure domain's name")
	require(s.Region != "", "region", s.Region, "a region's name")
	requireAddress("caller_address", s.CallerAddress)
	requireAddress("peer_address", s.PeerAddress)
	if s.PeerAdvertise == "" {
		s.PeerAdvertise = s.PeerAddress
	}
	requireAddress("peer_advertise", s.PeerAdvertise)
	requireAddress("admin_address", s.AdminAddress)
	requireAddress("platform_address", s.PlatformAddress)
	for i, seed := range s.Seeds {
		requireAddress(fmt.Sprintf("seeds[%d]", i), seed)
	}
	requireRange("ledger_shards", int64(s.LedgerShards), 1, 4096)
	requireRange("claim_shards", int64(s.ClaimShards), 1, 4096)
	requireRange("store_timeout_millis", s.StoreTimeoutMillis, 10, 60_000)
	requireRange("heartbeat_millis", s.HeartbeatMillis, 10, 60_000)
	requireRange("peer_silent_millis", s.PeerSilentMillis, 2*s.HeartbeatMillis, 600_000)
	requireRange("drain_delay_millis", s.DrainDelayMillis, 0, 600_000)
	requireRange("caller_read_millis", s.CallerReadMillis, 100, 600_000)
	requireRange("ahead_seconds", s.AheadSeconds, 1, 600)
	s.Resources.check(c)
	peer, caller := s.PeerTLS, s.CallerTLS
	peerComplete := peer.Certificate != "" && peer.Key != "" && peer.Authority != ""
	require(peer == TLSFiles{} || peerComplete, "peer_tls", peer, "certificate, key and authority, or none of them")
	callerComplete := caller.Certificate != "" && caller.Key != "" && caller.Authority == ""
	require(caller == TLSFiles{} || callerComplete, "caller_tls", caller, "certificate and key, or none of them")
	validHash := s.AdminTokenSHA256 == "" || len(s.AdminTokenSHA256) == 64
	require(validHash, "admin_token_sha256", s.AdminTokenSHA256, "64 hexadecimal digits, or empty")
	return c.faults
}

// StoreTimeout returns the timeout of one call to the platform.
func (s *Settings) StoreTimeout() time.Duration {
	return time.Duration(s.StoreTimeoutMillis) * time.Millisecond
}

// CallerReadTimeout returns the timeout for reading one caller's request.
func (s *Settings) CallerReadTimeout() time.Duration {
	return time.Duration(s.CallerReadMillis) * time.Millisecond
}

// DrainDelay returns how long a stopping instance still accepts requests.
func (s *Settings) DrainDelay() time.Duration {
	return time.Duration(s.DrainDelayMillis) * time.Millisecond
}

// HeartbeatInterval returns the time between heartbeats to a peer.
func (s *Settings) HeartbeatInterval() time.Duration {
	return time.Duration(s.HeartbeatMillis) * time.Millisecond
}

// PeerSilenceTimeout returns how long a peer may be silent before other instances stop relying on it.
func (s *Settings) PeerSilenceTimeout() time.Duration {
	return time.Duration(s.PeerSilentMillis) * time.Millisecond
}
