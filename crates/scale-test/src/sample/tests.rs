use std::fs::File;
use std::hint::black_box;
use std::io::{BufRead, BufReader, ErrorKind};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use super::ProcSampler;
use crate::process_sample::Sampler;

/// A shell process that runs until its standard input is closed. Dropping the value closes the input and reaps the
/// process, also if the test fails.
struct Shell(Child);

impl Shell {
    /// Starts a shell that runs the script, and returns once the script has completed.
    fn start(script: &str) -> Shell {
        let mut child = Command::new("sh")
            .args(["-c", &format!("{script}; echo ready; read wait")])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("start a shell");
        let mut line = String::new();
        let output = child.stdout.as_mut().expect("standard output is piped");
        BufReader::new(output)
            .read_line(&mut line)
            .expect("read the output of the shell");
        Shell(child)
    }

    fn pid(&self) -> u32 {
        self.0.id()
    }
}

impl Drop for Shell {
    fn drop(&mut self) {
        drop(self.0.stdin.take());
        self.0.wait().ok();
    }
}

fn spin(length: Duration) {
    let start = Instant::now();
    while start.elapsed() < length {
        black_box(0);
    }
}

#[test]
fn another_process_is_sampled() {
    let shell = Shell::start("i=0; while [ $i -lt 20000 ]; do i=$((i+1)); done");
    let sample = ProcSampler.sample(shell.pid()).expect("a sample");
    assert!(sample.cpu > Duration::ZERO);
    assert!(sample.rss_kb > 0);
    assert!(sample.pss_kb > 0 && sample.pss_kb <= sample.rss_kb);
    assert!(sample.peak_kb >= sample.rss_kb);
    assert!(sample.descriptors >= 3);
}

#[test]
fn cpu_time_is_finer_than_a_tick() {
    const TICK: Duration = Duration::from_millis(10);
    let pid = std::process::id();
    let steps = (0..50).map(|_| {
        let before = ProcSampler.sample(pid).expect("a sample").cpu;
        spin(Duration::from_micros(200));
        ProcSampler
            .sample(pid)
            .expect("a sample")
            .cpu
            .saturating_sub(before)
    });
    assert!(
        steps
            .into_iter()
            .any(|step| step > Duration::ZERO && step < TICK)
    );
}

#[test]
fn cpu_time_keeps_what_ended_threads_used() {
    let pid = std::process::id();
    let before = ProcSampler.sample(pid).expect("a sample").cpu;
    let used = thread::spawn(|| {
        let start = own_thread_cpu();
        while own_thread_cpu() - start < Duration::from_millis(30) {
            black_box(0);
        }
        own_thread_cpu() - start
    })
    .join()
    .expect("join the thread");
    let after = ProcSampler.sample(pid).expect("a sample").cpu;
    assert!(after - before >= used, "{:?} of {used:?}", after - before);
}

fn own_thread_cpu() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::try_from(time).expect("CPU time is not negative")
}

#[test]
fn open_files_are_counted() {
    let open: Vec<File> = (0..40)
        .map(|_| File::open("/dev/null").expect("open /dev/null"))
        .collect();
    let sample = ProcSampler.sample(std::process::id()).expect("a sample");
    assert!(sample.descriptors >= open.len());
}

#[test]
fn ended_process_is_an_error() {
    let mut child = Command::new("true").spawn().expect("start the process");
    let pid = child.id();
    child.wait().expect("wait for the process");
    let error = ProcSampler.sample(pid).expect_err("nothing to sample");
    assert_eq!(error.kind(), ErrorKind::NotFound);
}

#[test]
fn impossible_process_id_is_an_error() {
    let error = ProcSampler.sample(u32::MAX).expect_err("nothing to sample");
    assert_eq!(error.kind(), ErrorKind::InvalidInput);
}
