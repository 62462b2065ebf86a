//! Checks in the kernel's table of TCP connections whether everything that was sent to a process has been delivered.

use std::collections::BTreeSet;

/// One end of a connection, as listed in `/proc/net/tcp`.
struct TcpEndpoint<'a> {
    local: &'a str,
    remote: &'a str,
    /// The number of sent bytes that the other end has not acknowledged, in hexadecimal. An unacknowledged close counts
    /// as one byte.
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

/// Returns whether everything sent to a process, including closes, has reached its sockets: no other end of its
/// connections waits for an acknowledgement. A connection that the process has not accepted yet is found by the address
/// of its listener.
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
    let table =
        std::fs::read_to_string("/proc/net/tcp").expect("cannot read the table of TCP connections");
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
