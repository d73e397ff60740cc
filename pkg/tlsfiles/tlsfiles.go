// Package tlsfiles creates TLS configurations from certificate files and reloads
// the certificate when its file is replaced.
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

// PeerName is the DNS name in the certificate of every instance. Instances address
// each other by IP addresses, which change, so certificates cannot be verified
// against them. The name identifies the holder as an instance, and the signature of
// the authority proves it.
const PeerName = "lavenderring-peer"

// checkInterval is the minimum time between two checks of the certificate file.
const checkInterval = time.Second

// ErrNoAuthority means that an authority file contains no usable certificate.
var ErrNoAuthority = errors.New("no certificate of an authority in the file")

// Files holds the paths of a certificate, its key and, for peers, the certificate
// of the authority that must have signed the certificates of both sides.
type Files struct {
	Certificate, Key, Authority string
}

// CertReloader holds the newest valid certificate of its files.
type CertReloader struct {
	files Files

	mu        sync.Mutex
	current   *tls.Certificate
	loadedAt  time.Time
	checkedAt time.Time
}

// NewCertReloader returns a CertReloader that has loaded the certificate and key.
func NewCertReloader(files Files) (*CertReloader, error) {
	k := &CertReloader{files: files}
	if err := k.load(); err != nil {
		return nil, err
	}
	return k, nil
}

func (k *CertReloader) load() error {
	pair, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.Key)
	if err != nil {
		return fmt.Errorf("load certificate %s: %w", k.files.Certificate, err)
	}
	k.current = &pair
	k.loadedAt = time.Now()
	return nil
}

// Certificate returns the current certificate. If the certificate file has been
// replaced, both files are loaded again. While certificate and key do not match,
// as in the middle of a replacement, the previous certificate stays in use.
func (k *CertReloader) Certificate() *tls.Certificate {
	k.mu.Lock()
	defer k.mu.Unlock()
	if time.Since(k.checkedAt) < checkInterval {
		return k.current
	}
	k.checkedAt = time.Now()
	info, err := os.Stat(k.files.Certificate)
	if err == nil && info.ModTime().After(k.loadedAt) {
		_ = k.load()
	}
	return k.current
}

// ServerConfig returns the TLS configuration of a server for clients.
func ServerConfig(files Files) (*tls.Config, error) {
	k, err := NewCertReloader(files)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.Certificate(), nil },
	}, nil
}

// PeerConfigs returns the TLS configurations of both sides of connections between
// instances. Each side requires from the other a certificate for PeerName that the
// authority signed, so that nobody else can get tokens or configuration.
func PeerConfigs(files Files) (server, client *tls.Config, err error) {
	k, err := NewCertReloader(files)
	if err != nil {
		return nil, nil, err
	}
	authorities, err := loadAuthorities(files.Authority)
	if err != nil {
		return nil, nil, err
	}
	server = &tls.Config{
		MinVersion:       tls.VersionTLS13,
		ClientAuth:       tls.RequireAndVerifyClientCert,
		ClientCAs:        authorities,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.Certificate(), nil },
		VerifyConnection: verifyPeerName,
	}
	client = &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              authorities,
		ServerName:           PeerName,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return k.Certificate(), nil },
	}
	return server, client, nil
}

// verifyPeerName rejects a client whose certificate is signed by the authority but
// does not belong to an instance.
func verifyPeerName(state tls.ConnectionState) error {
	return state.PeerCertificates[0].VerifyHostname(PeerName)
}

func loadAuthorities(path string) (*x509.CertPool, error) {
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
