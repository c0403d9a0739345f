// Package tlsfiles creates TLS configurations from certificate files, and reloads the files when they
// change, without a restart.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// Config holds the paths of the files.
type Config struct {
	Certificate string
	Key         string
	// Authority is the file of the CA that signs the certificates of both sides. If it is set,
	// connections are mutually authenticated.
	Authority string
}

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// Reloader holds the certificate, key and CA that were last read from the files.
type Reloader struct {
	cfg Config

	mu          sync.Mutex
	lastCheck   time.Time
	modTimes    [3]time.Time
	certificate *tls.Certificate
	caPool      *x509.CertPool
}

// Load reads the files and returns a Reloader for them.
func Load(cfg Config) (*Reloader, error) {
	f := &Reloader{cfg: cfg}
	if err := f.read(); err != nil {
		return nil, err
	}
	f.modTimes = f.readModTimes()
	return f, nil
}

func (f *Reloader) read() error {
	certificate, err := tls.LoadX509KeyPair(f.cfg.Certificate, f.cfg.Key)
	if err != nil {
		return merry.Prepend(err, "TLS certificate")
	}
	var authorities *x509.CertPool
	if f.cfg.Authority != "" {
		text, err := os.ReadFile(f.cfg.Authority)
		if err != nil {
			return merry.Prepend(err, "TLS authority")
		}
		authorities = x509.NewCertPool()
		if !authorities.AppendCertsFromPEM(text) {
			return merry.Errorf("TLS authority: %s holds no certificate", f.cfg.Authority)
		}
	}
	f.certificate, f.caPool = &certificate, authorities
	return nil
}

func (f *Reloader) readModTimes() [3]time.Time {
	var modTimes [3]time.Time
	for i, name := range []string{f.cfg.Certificate, f.cfg.Key, f.cfg.Authority} {
		if info, err := os.Stat(name); err == nil {
			modTimes[i] = info.ModTime()
		}
	}
	return modTimes
}

// current reloads the files if they changed, and returns the certificate and the CA pool. While the files
// are invalid, for example because they are being replaced, it returns the last valid content.
func (f *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.lastCheck) < checkInterval {
		return f.certificate, f.caPool
	}
	f.lastCheck = time.Now()
	if modTimes := f.readModTimes(); modTimes != f.modTimes {
		if err := f.read(); err == nil {
			f.modTimes = modTimes
		}
	}
	return f.certificate, f.caPool
}

// ServerConfig returns the configuration of the accepting side.
func (f *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
		certificate, authorities := f.current()
		cfg := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*certificate}}
		if authorities != nil {
			cfg.ClientAuth, cfg.ClientCAs = tls.RequireAndVerifyClientCert, authorities
		}
		return cfg, nil
	}}
}

// ClientConfig returns the configuration of the dialling side with the current files. It verifies the
// chain of the peer's certificate but not its host name: boxes are replaced at any time and have no
// stable names that a certificate could hold.
func (f *Reloader) ClientConfig() *tls.Config {
	certificate, authorities := f.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*certificate},
		// The verification of crypto/tls includes the host name. VerifyConnection below does the same
		// verification without the host name.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state, authorities)
		},
	}
}

func verifyChain(state tls.ConnectionState, authorities *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 || authorities == nil {
		return merry.New("the certificate of the peer cannot be verified: it sent none, or no CA is configured")
	}
	options := x509.VerifyOptions{Roots: authorities, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}
