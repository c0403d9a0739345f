// Package tlsfiles makes TLS configurations from files, and takes over changed
// files without a restart.
package tlsfiles

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

// Config names the files.
type Config struct {
	Certificate string
	Key         string
	// Authority, when set, signs the certificates of both sides: connections
	// are then mutually authenticated.
	Authority string
}

// checkEvery is how often files are looked at, at the most.
const checkEvery = time.Second

// Reloader holds the certificate, key and CA that were last read from the files.
type Reloader struct {
	cfg Config

	mu          sync.Mutex
	checkedAt   time.Time
	stamps      [3]time.Time
	certificate *tls.Certificate
	authorities *x509.CertPool
}

// Load reads the files for the first time.
func Load(cfg Config) (*Reloader, error) {
	f := &Reloader{cfg: cfg}
	if err := f.read(); err != nil {
		return nil, err
	}
	f.stamps = f.modified()
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
	f.certificate, f.authorities = &certificate, authorities
	return nil
}

func (f *Reloader) modified() [3]time.Time {
	var stamps [3]time.Time
	for i, name := range []string{f.cfg.Certificate, f.cfg.Key, f.cfg.Authority} {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = info.ModTime()
		}
	}
	return stamps
}

// current gives what the files hold now. While they hold something that cannot
// be used, as in the middle of being replaced, the last good content stays.
func (f *Reloader) current() (*tls.Certificate, *x509.CertPool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if time.Since(f.checkedAt) < checkEvery {
		return f.certificate, f.authorities
	}
	f.checkedAt = time.Now()
	if stamps := f.modified(); stamps != f.stamps {
		if err := f.read(); err == nil {
			f.stamps = stamps
		}
	}
	return f.certificate, f.authorities
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
		// The library's own check includes the name; VerifyConnection below
		// does all of it but that.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyChain(state, authorities)
		},
	}
}

func verifyChain(state tls.ConnectionState, authorities *x509.CertPool) error {
	if len(state.PeerCertificates) == 0 || authorities == nil {
		return merry.New("the peer has no certificate that can be checked")
	}
	options := x509.VerifyOptions{Roots: authorities, Intermediates: x509.NewCertPool(), KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}}
	for _, certificate := range state.PeerCertificates[1:] {
		options.Intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(options)
	return err
}
