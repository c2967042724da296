//! Client sockets with a small receive buffer, as on links with small windows.

use std::{
    ffi::{c_int, c_void},
    net::{SocketAddr, TcpStream},
    os::fd::FromRawFd,
};

const AF_INET: c_int = 2;
const SOCK_STREAM: c_int = 1;
const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;

/// `sockaddr_in` of Linux.
#[repr(C)]
struct Address {
    family: u16,
    port: [u8; 2],
    host: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, length: u32)
    -> c_int;
    fn connect(fd: c_int, address: *const Address, length: u32) -> c_int;
}

/// Connects to an IPv4 address with a receive buffer of about `bytes`.
pub fn connect_with_buffer(address: SocketAddr, bytes: i32) -> Option<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let target = Address {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        host: address.ip().octets(),
        zero: [0; 8],
    };
    // The calls get valid pointers with their lengths, and the descriptor has one owner.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(fd);
        let value = (&raw const bytes).cast();
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, value, size_of::<i32>() as u32);
        let connected = connect(fd, &raw const target, size_of::<Address>() as u32);
        (connected == 0).then_some(stream)
    }
}
