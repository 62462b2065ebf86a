//! What an error of a system call says: about this machine, or about the peer.

use rustix::io::Errno;
use std::io;

/// The process or the machine has no descriptor left.
const OUT_OF_DESCRIPTORS: [Errno; 2] = [Errno::MFILE, Errno::NFILE];
/// This machine could not make the call for a moment; nothing has reached the peer.
const LOCAL_FAULTS: [Errno; 6] = [
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::ADDRNOTAVAIL,
    Errno::ADDRINUSE,
    Errno::AGAIN,
    Errno::INTR,
];

/// What a call may be made again for: something is short that comes back, or a signal came.
const TEMPORARY: [Errno; 6] = [
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::ADDRNOTAVAIL,
    Errno::AGAIN,
    Errno::INTR,
    Errno::IO,
];

/// The system has no memory for the data of a connection; the connection is as it was.
const SHORT_OF_MEMORY: [Errno; 2] = [Errno::NOBUFS, Errno::NOMEM];

/// Whether the process or the machine has no descriptor left.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    has_code(error, &OUT_OF_DESCRIPTORS)
}

/// Whether the failure lies at this machine, and says nothing about the peer.
pub fn is_local_fault(error: &io::Error) -> bool {
    is_out_of_descriptors(error) || has_code(error, &LOCAL_FAULTS)
}

/// Whether a read or write failed for want of memory: the same call may succeed a moment later.
pub fn is_short_of_memory(error: &io::Error) -> bool {
    has_code(error, &SHORT_OF_MEMORY)
}

/// Whether the same call may succeed a moment later.
pub fn is_temporary(error: &io::Error) -> bool {
    is_out_of_descriptors(error) || has_code(error, &TEMPORARY)
}

fn has_code(error: &io::Error, codes: &[Errno]) -> bool {
    let code = error.raw_os_error();
    code.is_some_and(|code| codes.iter().any(|known| known.raw_os_error() == code))
}

#[cfg(test)]
mod tests;
