//! Whether the kernel has delivered everything that was sent to a process, by its table of TCP connections.

use std::collections::BTreeSet;

/// One end of a connection in the kernel's table.
struct TcpEndpoint<'a> {
    local: &'a str,
    remote: &'a str,
    /// Bytes that the other end has not acknowledged, and one for a close.
    unacknowledged: &'a str,
    inode: &'a str,
}

fn parse_endpoint(line: &str) -> Option<TcpEndpoint<'_>> {
    let mut fields = line.split_whitespace();
    let (local, remote) = (fields.nth(1)?, fields.next()?);
    let (unacknowledged, _) = fields.nth(1)?.split_once(':')?;
    Some(TcpEndpoint {
        local,
        remote,
        unacknowledged,
        inode: fields.nth(4)?,
    })
}

/// Whether everything sent to a process has reached its sockets, closes included: the other endpoints of its
/// connections wait for no acknowledgement. A connection not yet accepted shows by its listener's address.
pub(crate) fn all_delivered(pid: u32) -> bool {
    let Ok(descriptors) = std::fs::read_dir(format!("/proc/{pid}/fd")) else {
        return true;
    };
    let targets = descriptors
        .flatten()
        .filter_map(|entry| std::fs::read_link(entry.path()).ok());
    let own_sockets: BTreeSet<String> = targets
        .filter_map(|target| {
            Some(
                target
                    .to_str()?
                    .strip_prefix("socket:[")?
                    .strip_suffix(']')?
                    .to_string(),
            )
        })
        .collect();
    let table = std::fs::read_to_string("/proc/net/tcp").expect("a table of connections");
    let endpoints: Vec<TcpEndpoint<'_>> =
        table.lines().skip(1).filter_map(parse_endpoint).collect();
    let own_addresses: BTreeSet<&str> = endpoints
        .iter()
        .filter(|endpoint| own_sockets.contains(endpoint.inode))
        .map(|endpoint| endpoint.local)
        .collect();
    endpoints
        .iter()
        .filter(|endpoint| own_addresses.contains(endpoint.remote))
        .all(|endpoint| endpoint.unacknowledged.bytes().all(|b| b == b'0'))
}
