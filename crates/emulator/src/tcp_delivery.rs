//! What the system still carries to a process, by its own table of connections.

use std::collections::BTreeSet;

/// A connection as one of its ends knows it.
struct End<'a> {
    local: &'a str,
    remote: &'a str,
    /// Bytes that the other end has not confirmed, and one for a close.
    unconfirmed: &'a str,
    inode: &'a str,
}

fn end(line: &str) -> Option<End<'_>> {
    let mut words = line.split_whitespace();
    let (local, remote) = (words.nth(1)?, words.next()?);
    let (unconfirmed, _) = words.nth(1)?.split_once(':')?;
    Some(End {
        local,
        remote,
        unconfirmed,
        inode: words.nth(4)?,
    })
}

/// Whether all that was sent to a process has reached its sockets, closes too: the other ends of its connections
/// wait for nothing to be confirmed. A connection that it has not accepted yet shows by its listener's address.
pub(crate) fn all_delivered(pid: u32) -> bool {
    let Ok(folder) = std::fs::read_dir(format!("/proc/{pid}/fd")) else {
        return true;
    };
    let names = folder
        .flatten()
        .filter_map(|entry| std::fs::read_link(entry.path()).ok());
    let own: BTreeSet<String> = names
        .filter_map(|name| {
            Some(
                name.to_str()?
                    .strip_prefix("socket:[")?
                    .strip_suffix(']')?
                    .to_string(),
            )
        })
        .collect();
    let table = std::fs::read_to_string("/proc/net/tcp").expect("a table of connections");
    let ends: Vec<End<'_>> = table.lines().skip(1).filter_map(end).collect();
    let at: BTreeSet<&str> = ends
        .iter()
        .filter(|end| own.contains(end.inode))
        .map(|end| end.local)
        .collect();
    ends.iter()
        .filter(|end| at.contains(end.remote))
        .all(|end| end.unconfirmed.bytes().all(|b| b == b'0'))
}
