//! The guard: runs a program so that the kernel kills it when the process that started it dies.

use rustix::process::{Pid, Resource, Rlimit, Signal};
use std::io;
use std::path::Path;
use std::process::Command;

/// Replaces the current process by the program, limits its open descriptors to `max_descriptors` if given, and makes
/// the kernel kill it when the thread that started it ends. Returns only if a step fails.
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
    // The parent may have died before the signal was requested, and would then not trigger it.
    if rustix::process::getppid().is_none_or(Pid::is_init) {
        return io::Error::other("the supervisor has exited");
    }
    Command::new(program).exec()
}
