package handover

import (
	"net"

	"golang.org/x/sys/unix"
)

// KeepAlive gives the system's setting of an answer's connection: whether it is probed.
func KeepAlive(answer *Response) int {
	raw, err := answer.connection.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		panic(err)
	}
	setting := 0
	if err := raw.Control(func(fd uintptr) {
		setting, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE)
	}); err != nil {
		panic(err)
	}
	return setting
}
