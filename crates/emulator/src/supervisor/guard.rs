//! The guard: runs a program in such a way that it dies with whoever started it.

use rustix::process::{Pid, Resource, Rlimit, Signal};
use std::io;
use std::path::Path;
use std::process::Command;

/// Becomes the program, with at most so many descriptors, and has the kernel kill it when the thread that started
/// it ends. Returns only if that fails.
pub fn guard(program: &Path, max_descriptors: Option<u64>) -> io::Error {
    use std::os::unix::process::CommandExt;
    if let Some(max) = max_descriptors {
        let limit = Rlimit {
            current: Some(max),
            maximum: Some(max),
        };
        if let Err(e) = rustix::process::setrlimit(Resource::Nofile, limit) {
            return e.into();
        }
    }
    if let Err(e) = rustix::process::set_parent_process_death_signal(Some(Signal::KILL)) {
        return e.into();
    }
    // The parent may have died before that call.
    if rustix::process::getppid().is_none_or(Pid::is_init) {
        return io::Error::other("the supervisor has exited");
    }
    Command::new(program).exec()
}
