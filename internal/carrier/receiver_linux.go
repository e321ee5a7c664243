package carrier

import (
	"encoding/binary"
	"net/netip"
	"os"
	"syscall"
	"unsafe"

	"golang.org/x/sys/unix"
)

// receiver reads batches of datagrams with recvmmsg. ReadBatch of
// golang.org/x/net/ipv4 would allocate an address for each datagram.
type receiver struct {
	raw     syscall.RawConn
	read    func(fd uintptr) bool // r.recvmmsg; a method value for each call would allocate
	headers [BatchSize]unix.Mmsghdr
	vectors [BatchSize]unix.Iovec
	addrs   [BatchSize]unix.RawSockaddrInet6 // also holds an IPv4 address
	buffers [BatchSize][MaxDatagram]byte

	// Argument and results of recvmmsg.
	maxRead  int
	received int
	errno    syscall.Errno
}

func newReceiver(raw syscall.RawConn) *receiver {
	r := &receiver{raw: raw}
	r.read = r.recvmmsg
	for i := range r.headers {
		r.vectors[i].Base = &r.buffers[i][0]
		r.vectors[i].SetLen(MaxDatagram)
		h := &r.headers[i].Hdr
		h.Name = (*byte)(unsafe.Pointer(&r.addrs[i]))
		h.Iov = &r.vectors[i]
		h.SetIovlen(1)
	}
	return r
}

// receive waits for datagrams and reads at most limit of them.
func (r *receiver) receive(limit int) (int, error) {
	r.maxRead = min(limit, BatchSize)
	for i := range r.maxRead {
		r.headers[i].Hdr.Namelen = unix.SizeofSockaddrInet6
	}
	if err := r.raw.Read(r.read); err != nil {
		return 0, err
	}
	if r.errno != 0 {
		return 0, os.NewSyscallError("recvmmsg", r.errno)
	}
	return r.received, nil
}

// recvmmsg reads a batch without blocking. It returns false if it is to be called
// again when the socket is readable.
func (r *receiver) recvmmsg(fd uintptr) bool {
	for {
		n, _, errno := unix.Syscall6(unix.SYS_RECVMMSG, fd,
			uintptr(unsafe.Pointer(&r.headers[0])), uintptr(r.maxRead), unix.MSG_DONTWAIT, 0, 0)
		r.received, r.errno = int(n), errno
		if errno != unix.EINTR {
			return errno != unix.EAGAIN
		}
	}
}

// datagram returns datagram i of the last batch. ok is false if the datagram was
// longer than the buffer.
func (r *receiver) datagram(i int) (b []byte, ok bool) {
	h := &r.headers[i]
	return r.buffers[i][:min(int(h.Len), MaxDatagram)], h.Hdr.Flags&unix.MSG_TRUNC == 0
}

// from returns the sender of datagram i of the last batch.
func (r *receiver) from(i int) netip.AddrPort {
	addr := &r.addrs[i]
	if addr.Family == unix.AF_INET {
		v4 := (*unix.RawSockaddrInet4)(unsafe.Pointer(addr))
		return netip.AddrPortFrom(netip.AddrFrom4(v4.Addr), hostOrder(v4.Port))
	}
	return netip.AddrPortFrom(netip.AddrFrom16(addr.Addr), hostOrder(addr.Port))
}

// hostOrder converts a port from network byte order, in which the kernel stores
// it, to host byte order.
func hostOrder(port uint16) uint16 {
	var b [2]byte
	binary.NativeEndian.PutUint16(b[:], port)
	return binary.BigEndian.Uint16(b[:])
}
