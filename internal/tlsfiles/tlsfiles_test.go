package tlsfiles_test

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/cometlock/cometlock/internal/testcerts"
	"github.com/cometlock/cometlock/internal/tlsfiles"
)

func load(g *WithT, cfg tlsfiles.Config) *tlsfiles.Reloader {
	files, err := tlsfiles.Load(cfg)
	g.Expect(err).NotTo(HaveOccurred())
	return files
}

// handshake connects a client to a server and returns the serial number of the server's certificate.
func handshake(server, client *tls.Config) (int64, error) {
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
		_, _ = accepted.Write([]byte("x")) // the client reports a failed handshake
		_ = accepted.Close()
		_ = conn.Close()
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	dialled := tls.Client(conn, client)
	// With TLS 1.3 a rejected client gets the error at its first read.
	if _, err := io.ReadFull(dialled, make([]byte, 1)); err != nil {
		return 0, err
	}
	return dialled.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestPeerCertificatesAreVerified(t *testing.T) {
	g := NewWithT(t)
	ours, other := testcerts.New(g), testcerts.New(g)
	box := load(g, ours.Write(g, t.TempDir(), 7))
	stranger := load(g, other.Write(g, t.TempDir(), 8))
	serial, err := handshake(box.ServerConfig(), box.ClientConfig())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(serial).To(Equal(int64(7)))
	_, err = handshake(box.ServerConfig(), stranger.ClientConfig())
	g.Expect(err).To(HaveOccurred(), "the server rejects a client certificate of another CA")
	_, err = handshake(stranger.ServerConfig(), box.ClientConfig())
	g.Expect(err).To(HaveOccurred(), "the client rejects a server certificate of another CA")
	_, err = handshake(box.ServerConfig(), &tls.Config{InsecureSkipVerify: true})
	g.Expect(err).To(HaveOccurred(), "the server rejects a client without a certificate")
}

func TestChangedFilesAreReloaded(t *testing.T) {
	folder := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ours := testcerts.New(g)
		cfg := ours.Write(g, folder, 1)
		files := load(g, cfg)
		serial := func() int64 {
			current, err := files.ServerConfig().GetConfigForClient(nil)
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
		g.Expect(serial()).To(Equal(int64(1)), "invalid files leave the last valid certificate in use")
		ours.Write(g, folder, 2)
		g.Expect(os.Chtimes(cfg.Certificate, later.Add(time.Minute), later.Add(time.Minute))).To(Succeed())
		time.Sleep(2 * time.Second)
		g.Expect(serial()).To(Equal(int64(2)))
	})
}

func TestLoadReportsUnusableFiles(t *testing.T) {
	g := NewWithT(t)
	_, err := tlsfiles.Load(tlsfiles.Config{Certificate: "nowhere", Key: "nowhere"})
	g.Expect(err).To(MatchError(ContainSubstring("TLS certificate")))
}
