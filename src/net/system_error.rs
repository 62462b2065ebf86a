//! Classifies errors of system calls: whether they concern this machine or the peer, and whether they are temporary.

use rustix::io::Errno;
use std::io;

/// Error codes for a process or machine that has no descriptor left.
const OUT_OF_DESCRIPTORS: [Errno; 2] = [Errno::MFILE, Errno::NFILE];
/// Error codes for a call that this machine could not make at the moment, so that nothing has reached the peer.
const LOCAL_FAULTS: [Errno; 6] = [
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::ADDRNOTAVAIL,
    Errno::ADDRINUSE,
    Errno::AGAIN,
    Errno::INTR,
];

/// Error codes after which a call may be retried: a resource was temporarily short, or a signal interrupted the call.
const TEMPORARY: [Errno; 6] = [
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::ADDRNOTAVAIL,
    Errno::AGAIN,
    Errno::INTR,
    Errno::IO,
];

/// Error codes for a kernel that has no memory for the data of a connection; the connection itself is unaffected.
const SHORT_OF_MEMORY: [Errno; 2] = [Errno::NOBUFS, Errno::NOMEM];

/// Returns whether the process or the machine has no descriptor left.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    has_code(error, &OUT_OF_DESCRIPTORS)
}

/// Returns whether the failure was caused by this machine and says nothing about the peer.
pub fn is_local_fault(error: &io::Error) -> bool {
    is_out_of_descriptors(error) || has_code(error, &LOCAL_FAULTS)
}

/// Returns whether a read or write failed for lack of memory; the same call may succeed a moment later.
pub fn is_short_of_memory(error: &io::Error) -> bool {
    has_code(error, &SHORT_OF_MEMORY)
}

/// Returns whether the same call may succeed a moment later.
pub fn is_temporary(error: &io::Error) -> bool {
    is_out_of_descriptors(error) || has_code(error, &TEMPORARY)
}

fn has_code(error: &io::Error, codes: &[Errno]) -> bool {
    let code = error.raw_os_error();
    code.is_some_and(|code| codes.iter().any(|known| known.raw_os_error() == code))
}

#[cfg(test)]
mod tests;
