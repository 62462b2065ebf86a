//! Tests of the classification of system call errors, and of the retry of calls that fail temporarily.

use super::*;

fn error(code: Errno) -> io::Error {
    io::Error::from_raw_os_error(code.raw_os_error())
}

#[test]
fn failures_of_this_machine_say_nothing_about_the_peer() {
    let local = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
        Errno::ADDRNOTAVAIL,
        Errno::INTR,
    ];
    for code in local {
        assert!(is_local_fault(&error(code)), "{code}");
    }
}

#[test]
fn failures_on_the_way_to_the_peer_are_not_local() {
    let remote = [
        Errno::CONNREFUSED,
        Errno::CONNRESET,
        Errno::TIMEDOUT,
        Errno::HOSTUNREACH,
        Errno::NETUNREACH,
        Errno::CONNABORTED,
    ];
    for code in remote {
        assert!(!is_local_fault(&error(code)), "{code}");
    }
    assert!(!is_local_fault(&io::Error::other("no system call")));
}

#[test]
fn only_missing_descriptors_are_a_reason_to_evict() {
    assert!(is_out_of_descriptors(&error(Errno::MFILE)));
    assert!(is_out_of_descriptors(&error(Errno::NFILE)));
    assert!(!is_out_of_descriptors(&error(Errno::CONNABORTED)));
    assert!(!is_out_of_descriptors(&error(Errno::NOBUFS)));
}

#[test]
fn call_is_repeated_for_what_comes_back_and_not_for_a_mistake() {
    for code in [
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::IO,
        Errno::INTR,
    ] {
        assert!(is_temporary(&error(code)), "{code}");
    }
    for code in [Errno::ADDRINUSE, Errno::ACCESS, Errno::NOENT, Errno::INVAL] {
        assert!(!is_temporary(&error(code)), "{code}");
    }
}

#[test]
fn want_of_memory_is_no_failure_of_a_connection() {
    for code in [Errno::NOBUFS, Errno::NOMEM] {
        assert!(is_short_of_memory(&error(code)), "{code}");
    }
    for code in [
        Errno::CONNRESET,
        Errno::TIMEDOUT,
        Errno::HOSTUNREACH,
        Errno::PIPE,
        Errno::IO,
    ] {
        assert!(!is_short_of_memory(&error(code)), "{code}");
    }
}
