// Package blackhole makes TCP sockets of tests drop the packets that they receive, by a socket filter,
// which needs no privileges. The other side gets neither acknowledgements nor a reset, as if the machine
// had failed, were suspended, or were behind a partition.
package blackhole

import (
	"syscall"
	"unsafe"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

// Drop makes a socket, of a connection or of a listener, drop all packets that it receives from now on.
// The function that it returns ends that; it may be called once.
func Drop(socket syscall.Conn) (restore func() error, err error) {
	dropAll := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 0}} // keeps 0 bytes of each packet
	program := unix.SockFprog{Len: uint16(len(dropAll)), Filter: unsafe.SliceData(dropAll)}
	err = control(socket, func(fd int) error {
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
	if err != nil {
		return nil, merry.Prepend(err, "attach the filter")
	}
	return func() error {
		return control(socket, func(fd int) error { return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0) })
	}, nil
}

// control runs an operation on the descriptor of a socket.
func control(socket syscall.Conn, operation func(fd int) error) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var operationErr error
	if err := raw.Control(func(fd uintptr) { operationErr = operation(int(fd)) }); err != nil {
		return err
	}
	return operationErr
}
