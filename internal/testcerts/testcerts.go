// Package testcerts creates certificates for tests of TLS.
package testcerts

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/onsi/gomega/types"

	"github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/tlsfiles"
)

// Authority is a certificate authority for a test.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// New creates an authority. Like all functions of this package it fails the test on
// an error.
func New(g types.Gomega) Authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	certificate, err := x509.ParseCertificate(der)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	return Authority{certificate: certificate, key: key}
}

// Pool returns a certificate pool with the authority, for a client's RootCAs.
func (a Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return pool
}

// Write writes a certificate for the loopback address, its key and the authority's
// certificate as files into a folder.
func (a Authority) Write(g types.Gomega, folder string, serial int64) tlsfiles.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "entry box"}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	keyBytes, err := x509.MarshalECPrivateKey(key)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	cfg := tlsfiles.Config{Certificate: filepath.Join(folder, "cert.pem"), Key: filepath.Join(folder, "key.pem"), Authority: filepath.Join(folder, "ca.pem")}
	for _, file := range []struct {
		name, kind string
		data       []byte
	}{{cfg.Certificate, "CERTIFICATE", der}, {cfg.Key, "EC PRIVATE KEY", keyBytes}, {cfg.Authority, "CERTIFICATE", a.certificate.Raw}} {
		text := pem.EncodeToMemory(&pem.Block{Type: file.kind, Bytes: file.data})
		g.Expect(os.WriteFile(file.name, text, 0o600)).To(gomega.Succeed())
	}
	return cfg
}
