package test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"storj.io/drpc/drpcconn"

	"github.com/lavenderring/lavenderring/pkg/budget/budgetpb"
	"github.com/lavenderring/lavenderring/pkg/tlsfiles"
)

// authority is a certificate authority for one test.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	a.key = a.newKey()
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	a.cert = a.sign("authority", template, template, a.key, a.key)
	return a
}

func (a *authority) newKey() *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	return key
}

func (a *authority) path(name string) string { return filepath.Join(a.dir, name+".pem") }

func (a *authority) sign(name string, template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) *x509.Certificate {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(name, "CERTIFICATE", der)
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return cert
}

func (a *authority) write(name, kind string, der []byte) {
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(a.path(name), text, 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// issue writes a certificate and its key for a DNS name.
func (a *authority) issue(name, dns string, serial int64) {
	key := a.newKey()
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	a.write(name+"-key", "EC PRIVATE KEY", der)
	a.sign(name, &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{dns},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.cert, key, a.key)
}

// requestTokens requests an allocation of an account's tokens at an instance's peer
// address; a nil config connects without TLS.
func requestTokens(address string, config *tls.Config) error {
	var conn net.Conn
	var err error
	if config == nil {
		conn, err = net.Dial("tcp", address)
	} else {
		conn, err = tls.Dial("tcp", address, config)
	}
	if err != nil {
		return err
	}
	client := drpcconn.New(conn)
	defer func() { _ = client.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	req := &budgetpb.AllocateRequest{Spender: "intruder", Budget: crewBudget, Seq: 1, Need: 100}
	_, err = budgetpb.NewDRPCBudgetsClient(client).Allocate(ctx, req)
	return err
}

// With certificates in the settings, instances use TLS among each other and with
// clients. A process without a certificate, with one of another authority, or with one
// that was not issued to an instance, gets no tokens. A replaced certificate is used
// without a restart.
func TestOnlyCertifiedPeersGetTokens(t *testing.T) {
	ours, others := newAuthority(t), newAuthority(t)
	ours.issue("peer", tlsfiles.PeerName, 2)
	ours.issue("caller", "router", 3)
	ours.issue("office", "office", 4)
	others.issue("peer", tlsfiles.PeerName, 5)
	f := newFleet(t, options{instances: 2, engines: 1, prepaid: 1_000_000, extraSettings: fmt.Sprintf(
		"[peer_tls]\ncertificate = %q\nkey = %q\nauthority = %q\n[caller_tls]\ncertificate = %q\nkey = %q\n",
		ours.path("peer"), ours.path("peer-key"), ours.path("authority"), ours.path("caller"), ours.path("caller-key"))})
	address := f.peerAddress(f.instances[0])
	_, good, err := tlsfiles.PeerConfigs(tlsfiles.Files{
		Certificate: ours.path("peer"), Key: ours.path("peer-key"), Authority: ours.path("authority"),
	})
	f.must(err)
	if err := requestTokens(address, good); err != nil {
		t.Errorf("a certified peer got %v", err)
	}
	for description, files := range map[string]tlsfiles.Files{
		"another authority": {Certificate: others.path("peer"), Key: others.path("peer-key"), Authority: ours.path("authority")},
		"not an instance":   {Certificate: ours.path("office"), Key: ours.path("office-key"), Authority: ours.path("authority")},
	} {
		_, config, err := tlsfiles.PeerConfigs(files)
		f.must(err)
		if requestTokens(address, config) == nil {
			t.Errorf("%s: got tokens", description)
		}
	}
	if requestTokens(address, nil) == nil {
		t.Error("without TLS: got tokens")
	}
	expectTLSResponse(t, f, ours)
	ours.issue("caller", "router", 77)
	future := time.Now().Add(2 * time.Second)
	f.must(os.Chtimes(ours.path("caller"), future, future))
	f.await("the replaced certificate", func() bool { return certificateSerial(t, f, ours) == 77 })
}

func clientTLSConfig(a *authority) *tls.Config {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return &tls.Config{RootCAs: pool, ServerName: "router", MinVersion: tls.VersionTLS12}
}

// expectTLSResponse checks that the first instance answers over TLS; without an API key, the
// answer is 401.
func expectTLSResponse(t *testing.T, f *fleet, a *authority) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: clientTLSConfig(a)}}
	resp, err := client.Get("https://" + f.instances[0].address + "/services/jobs/x")
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusUnauthorized {
		t.Errorf("a request over TLS without an API key got %d", resp.StatusCode)
	}
}

// certificateSerial returns the serial number of the certificate that the first instance
// presents to clients, or 0 if there is no connection.
func certificateSerial(t *testing.T, f *fleet, a *authority) int64 {
	t.Helper()
	conn, err := tls.Dial("tcp", f.instances[0].address, clientTLSConfig(a))
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}
