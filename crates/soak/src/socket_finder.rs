//! Finds which socket a loopback connection belongs to, without a read of the kernel's whole table.
//!
//! The kernel is asked for one connection by its two ends (`sock_diag(7)`), which it looks up by
//! hash. The answer names the number of the socket; the numbers of a process's sockets are the
//! targets of its open files.

use crate::prelude::*;
use rustix::{
    fd::OwnedFd,
    net::{self, netlink},
};

/// Asks the kernel for sockets.
#[derive(Debug)]
pub struct SocketFinder {
    /// Requests and answers alternate, so one asks at a time.
    socket: Mutex<OwnedFd>,
}

/// Number of a socket, which no other socket has while it is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SocketNumber(u32);

/// Addresses of a connection's two ends: the client's and the one that it connected to. Only both
/// together identify it.
pub type ConnectionEnds = (SocketAddr, SocketAddr);

impl SocketFinder {
    /// Message type of a request for sockets by address family.
    const SOCK_DIAG_BY_FAMILY: u16 = 20;
    const NLM_F_REQUEST: u16 = 1;
    const AF_INET: u8 = 2;
    const IPPROTO_TCP: u8 = 6;
    /// Length of the header of each message, in bytes.
    const HEADER_BYTES: usize = 16;
    /// Length of a request, in bytes.
    const REQUEST_BYTES: usize = Self::HEADER_BYTES + 8 + 48;
    /// Position of the socket's number in an answer, in bytes.
    const NUMBER_POSITION: usize = Self::HEADER_BYTES + 4 + 48 + 16;
    /// Room for an answer with all attributes, in bytes.
    const ANSWER_BYTES: usize = 4_096;

    /// Opens the connection to the kernel; fails if the kernel has no such interface.
    pub fn open() -> eyre::Result<Self> {
        let socket = net::socket_with(
            net::AddressFamily::NETLINK,
            net::SocketType::RAW,
            net::SocketFlags::CLOEXEC,
            Some(netlink::SOCK_DIAG),
        )?;
        Ok(Self {
            socket: Mutex::new(socket),
        })
    }

    /// Returns the client's socket of a connection; `None` if it is closed. Fails for connections of
    /// IP version 6 and if the kernel rejects the request.
    pub fn find(&self, ends: ConnectionEnds) -> eyre::Result<Option<SocketNumber>> {
        let (SocketAddr::V4(client), SocketAddr::V4(server)) = ends else {
            eyre::bail!("not a connection of version 4: {ends:?}");
        };
        let mut answer = [0; Self::ANSWER_BYTES];
        let length = {
            let socket = self.socket.lock().unwrap();
            let kernel = netlink::SocketAddrNetlink::new(0, 0);
            let request = Self::request(client, server);
            net::sendto(&*socket, &request, net::SendFlags::empty(), &kernel)?;
            net::recv(&*socket, &mut answer, net::RecvFlags::DONTWAIT)?.0
        };
        Self::read_answer(&answer[..length])
    }

    fn request(client: SocketAddrV4, server: SocketAddrV4) -> Vec<u8> {
        let address_bytes = |address: SocketAddrV4| {
            let mut bytes = [0; 16];
            bytes[..4].copy_from_slice(&address.ip().octets());
            bytes
        };
        let all_states = u32::MAX;
        let any_cookie = [u8::MAX; 8];
        let request = [
            // Header: length, type, flags, sequence number, sender.
            &(Self::REQUEST_BYTES as u32).to_ne_bytes()[..],
            &Self::SOCK_DIAG_BY_FAMILY.to_ne_bytes(),
            &Self::NLM_F_REQUEST.to_ne_bytes(),
            &[0; 8],
            // Family, protocol, no attributes, padding, states.
            &[Self::AF_INET, Self::IPPROTO_TCP, 0, 0],
            &all_states.to_ne_bytes(),
            // Identity of the socket; any interface.
            &client.port().to_be_bytes(),
            &server.port().to_be_bytes(),
            &address_bytes(client),
            &address_bytes(server),
            &[0; 4],
            &any_cookie,
        ];
        request.concat()
    }

    fn read_answer(answer: &[u8]) -> eyre::Result<Option<SocketNumber>> {
        const ENOENT: i32 = 2;
        let word = |position: usize| {
            let bytes = answer.get(position..position + 4)?;
            <[u8; 4]>::try_from(bytes).ok()
        };
        let kind = word(4).map(|bytes| u16::from_ne_bytes([bytes[0], bytes[1]]));
        if kind == Some(Self::SOCK_DIAG_BY_FAMILY) {
            // A connection that its process has closed has no number.
            let number = word(Self::NUMBER_POSITION).map_or(0, u32::from_ne_bytes);
            return Ok((number > 0).then_some(SocketNumber(number)));
        }
        let error = word(Self::HEADER_BYTES).map(i32::from_ne_bytes);
        eyre::ensure!(
            error == Some(-ENOENT),
            "the kernel finds no sockets: {error:?}"
        );
        Ok(None)
    }
}

/// Returns the sockets that a process has open.
pub fn open_sockets(process: u32) -> Vec<SocketNumber> {
    let Ok(files) = std::fs::read_dir(format!("/proc/{process}/fd")) else {
        return Vec::new();
    };
    let targets = files.filter_map(|file| std::fs::read_link(file.ok()?.path()).ok());
    targets
        .filter_map(|target| {
            let number = target.to_str()?.strip_prefix("socket:[")?;
            number.strip_suffix(']')?.parse().ok().map(SocketNumber)
        })
        .collect()
}
