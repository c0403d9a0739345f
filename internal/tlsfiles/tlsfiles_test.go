package tlsfiles_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/tlsfiles"
)

// authority signs certificates for a test.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(g *WithT) authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	g.Expect(err).NotTo(HaveOccurred())
	certificate, err := x509.ParseCertificate(der)
	g.Expect(err).NotTo(HaveOccurred())
	return authority{certificate: certificate, key: key}
}

// write writes a certificate and its key, and the authority, into a folder.
func (a authority) write(g *WithT, folder string, serial int64) tlsfiles.Config {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "entry box"}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	g.Expect(err).NotTo(HaveOccurred())
	keyBytes, err := x509.MarshalECPrivateKey(key)
	g.Expect(err).NotTo(HaveOccurred())
	cfg := tlsfiles.Config{Certificate: filepath.Join(folder, "cert.pem"), Key: filepath.Join(folder, "key.pem"), Authority: filepath.Join(folder, "ca.pem")}
	for _, file := range []struct {
		name, kind string
		data       []byte
	}{{cfg.Certificate, "CERTIFICATE", der}, {cfg.Key, "EC PRIVATE KEY", keyBytes}, {cfg.Authority, "CERTIFICATE", a.certificate.Raw}} {
		text := pem.EncodeToMemory(&pem.Block{Type: file.kind, Bytes: file.data})
		g.Expect(os.WriteFile(file.name, text, 0o600)).To(Succeed())
	}
	return cfg
}

func load(g *WithT, cfg tlsfiles.Config) *tlsfiles.Files {
	files, err := tlsfiles.Load(cfg)
	g.Expect(err).NotTo(HaveOccurred())
	return files
}

// shake makes a connection between two sides and gives the serial number of the
// server's certificate.
func shake(server, client *tls.Config) (int64, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		accepted := tls.Server(conn, server)
		_, _ = accepted.Write([]byte("x")) // the client's side has the verdict
		_ = accepted.Close()
		_ = conn.Close()
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	dialled := tls.Client(conn, client)
	// With TLS 1.3 a refused client learns it at its first read.
	if _, err := io.ReadFull(dialled, make([]byte, 1)); err != nil {
		return 0, err
	}
	return dialled.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestPeersNeedACertificateOfTheAuthority(t *testing.T) {
	g := NewWithT(t)
	ours, other := newAuthority(g), newAuthority(g)
	box := load(g, ours.write(g, t.TempDir(), 7))
	stranger := load(g, other.write(g, t.TempDir(), 8))
	serial, err := shake(box.Server(), box.Client())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serial).To(Equal(int64(7)))
	_, err = shake(box.Server(), stranger.Client())
	g.Expect(err).To(HaveOccurred(), "a stranger's certificate is refused by the server")
	_, err = shake(stranger.Server(), box.Client())
	g.Expect(err).To(HaveOccurred(), "and by the client")
	_, err = shake(box.Server(), &tls.Config{InsecureSkipVerify: true})
	g.Expect(err).To(HaveOccurred(), "so is no certificate")
}

func TestChangedFilesAreTakenOver(t *testing.T) {
	folder := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ours := newAuthority(g)
		cfg := ours.write(g, folder, 1)
		files := load(g, cfg)
		serial := func() int64 {
			current, err := files.Server().GetConfigForClient(nil)
			g.Expect(err).NotTo(HaveOccurred())
			certificate, err := x509.ParseCertificate(current.Certificates[0].Certificate[0])
			g.Expect(err).NotTo(HaveOccurred())
			return certificate.SerialNumber.Int64()
		}
		g.Expect(serial()).To(Equal(int64(1)))
		later := time.Now().Add(time.Minute)
		g.Expect(os.WriteFile(cfg.Key, []byte("half a key"), 0o600)).To(Succeed())
		g.Expect(os.Chtimes(cfg.Key, later, later)).To(Succeed())
		time.Sleep(2 * time.Second)
		g.Expect(serial()).To(Equal(int64(1)), "files that cannot be used change nothing")
		ours.write(g, folder, 2)
		g.Expect(os.Chtimes(cfg.Certificate, later.Add(time.Minute), later.Add(time.Minute))).To(Succeed())
		time.Sleep(2 * time.Second)
		g.Expect(serial()).To(Equal(int64(2)))
	})
}

func TestFilesThatCannotBeUsedAreOneClearError(t *testing.T) {
	g := NewWithT(t)
	_, err := tlsfiles.Load(tlsfiles.Config{Certificate: "nowhere", Key: "nowhere"})
	g.Expect(err).To(MatchError(ContainSubstring("TLS certificate")))
}
