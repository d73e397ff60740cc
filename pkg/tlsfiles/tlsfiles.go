// Package tlsfiles makes TLS settings from certificate files and follows the
// files when they are replaced.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// PeerName is the DNS name that every instance's certificate carries. Instances
// know each other by IP numbers that change; the name says that the bearer is
// one of them, and the authority that it may say so.
const PeerName = "lavenderring-peer"

// checkEvery is the least time between two looks at the files.
const checkEvery = time.Second

// ErrNoAuthority means that a file holds no certificate of an authority.
var ErrNoAuthority = errors.New("no certificate of an authority in the file")

// Files names a certificate, its key and, for peers, the authority that both
// sides must be certified by.
type Files struct {
	Certificate, Key, Authority string
}

// Keeper holds the newest valid certificate of its files.
type Keeper struct {
	files Files

	mu      sync.Mutex
	current *tls.Certificate
	read    time.Time
	checked time.Time
}

// Open reads the files for the first time.
func Open(files Files) (*Keeper, error) {
	k := &Keeper{files: files}
	if err := k.load(); err != nil {
		return nil, err
	}
	return k, nil
}

func (k *Keeper) load() error {
	pair, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.Key)
	if err != nil {
		return fmt.Errorf("load certificate %s: %w", k.files.Certificate, err)
	}
	k.current = &pair
	k.read = time.Now()
	return nil
}

// Certificate returns the certificate to use now. Files that were replaced are
// read again; while they do not fit together, as in the middle of a replacement,
// the one before stays in use.
func (k *Keeper) Certificate() *tls.Certificate {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.checked) < checkEvery {
		return k.current
	}
	k.checked = time.Now()
	info, err := os.Stat(k.files.Certificate)
	if err == nil && info.ModTime().After(k.read) {
		_ = k.load()
	}
	return k.current
}

// Caller returns the settings of a server for callers.
func Caller(files Files) (*tls.Config, error) {
	k, err := Open(files)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.Certificate(), nil },
	}, nil
}

// Peer returns the settings of both ends between instances. Each demands of the
// other a certificate of the authority under PeerName: whoever has none gets
// nothing, neither tokens nor configuration.
func Peer(files Files) (server, client *tls.Config, err error) {
	k, err := Open(files)
	if err != nil {
		return nil, nil, err
	}
	authorities, err := readAuthorities(files.Authority)
	if err != nil {
		return nil, nil, err
	}
	server = &tls.Config{
		MinVersion:       tls.VersionTLS13,
		ClientAuth:       tls.RequireAndVerifyClientCert,
		ClientCAs:        authorities,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.Certificate(), nil },
		VerifyConnection: mustBePeer,
	}
	client = &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              authorities,
		ServerName:           PeerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return k.Certificate(), nil },
	}
	return server, client, nil
}

// mustBePeer refuses a client whose certificate is the authority's but not an
// instance's.
func mustBePeer(state tls.ConnectionState) error {
	return state.PeerCertificates[0].VerifyHostname(PeerName)
}

func readAuthorities(path string) (*x509.CertPool, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("%s: %w", path, ErrNoAuthority)
	}
	return pool, nil
}
