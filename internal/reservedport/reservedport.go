// Package reservedport reserves ports of the loopback interface for tests whose servers stop listening. The
// kernel gives a port that is only closed to another socket of the machine, and then a server that should
// refuse connections accepts them, or one that should be started again finds its address in use.
package reservedport

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

// Port is a reserved port. While it has no listener, connections to it are refused.
type Port struct {
	// socket has the port and does not listen. The kernel gives the port to no socket that asks for a free
	// one, but sockets that reuse addresses, as listeners of package net do, may listen at it.
	socket  int
	address string
	release sync.Once
}

// New reserves a free port.
func New() (*Port, error) {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, merry.Prepend(err, "reserve a port")
	}
	address, err := bind(socket)
	if err != nil {
		_ = unix.Close(socket) // it was never used
		return nil, merry.Prepend(err, "reserve a port")
	}
	return &Port{socket: socket, address: address}, nil
}

// bind binds a socket to a free port and returns its address.
func bind(socket int) (string, error) {
	if err := unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1); err != nil {
		return "", err
	}
	if err := unix.Bind(socket, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return "", err
	}
	bound, err := unix.Getsockname(socket)
	if err != nil {
		return "", err
	}
	local := bound.(*unix.SockaddrInet4)
	return netip.AddrPortFrom(netip.AddrFrom4(local.Addr), uint16(local.Port)).String(), nil
}

// Address returns the IP address and the port.
func (p *Port) Address() string { return p.address }

// Listen opens a listener at the port. After it was closed, another one may be opened. It does not use
// Multipath TCP, whose sockets accept no filters (package blackhole).
func (p *Port) Listen() (*net.TCPListener, error) {
	cfg := net.ListenConfig{}
	cfg.SetMultipathTCP(false)
	listener, err := cfg.Listen(context.Background(), "tcp", p.address)
	if err != nil {
		return nil, merry.Prepend(err, "listen at a reserved port")
	}
	return listener.(*net.TCPListener), nil
}

// Close releases the port. It may be called several times.
func (p *Port) Close() {
	p.release.Do(func() { _ = unix.Close(p.socket) }) // an error leaves nothing else to do
}
