//! Tests the command line: rejected arguments, output and exit codes, and that no processes or files are left behind.

use scale_test::sweep::SweepReport;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

/// The longest time to wait for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

fn scale_test_command() -> Command {
    Command::new(env!("CARGO_BIN_EXE_scale-test"))
}

fn plan(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("plans")
        .join(name)
}

fn output(args: &[&str]) -> Output {
    scale_test_command()
        .args(args)
        .output()
        .expect("cannot run scale-test")
}

#[test]
fn invalid_settings_exit_with_2_and_one_line_that_names_them() {
    let small = plan("small.toml");
    let small = small.to_str().expect("path should be UTF-8");
    for (args, expected) in [
        (
            &["check", "--workers", "0"][..],
            "setting workers: expected 1 to 16384, found 0",
        ),
        (
            &["run", "--workers", "0"],
            "setting workers: expected 1 to 16384, found 0",
        ),
        (
            &["check", small, "--zones", "1"],
            "setting fault 1: zone: expected one of z0, found z1",
        ),
        (
            &["check", small, "--placers", "0"],
            "setting placers: expected at least 1, as rate = 60, found 0",
        ),
        (
            &["check", small, "--duration", "3s"],
            "setting fault 1: expected at and back-after within",
        ),
        (
            &["check", "--set", "sead=1"],
            "setting sead: expected the name of a setting, found sead=1",
        ),
        (
            &["check", "--fault", "{ kind = \"flood\" }"],
            "setting fault: expected an inline table with the keys of a [[fault]] table",
        ),
        (
            &["check", "/nowhere/plan.toml"],
            "setting file: expected a TOML file, found /nowhere/plan.toml",
        ),
        (
            &["check", "--wrokers", "3"],
            "unexpected argument '--wrokers' found",
        ),
        (&["walk"], "unrecognized subcommand 'walk'"),
    ] {
        let out = output(args);
        let line = String::from_utf8(out.stderr).expect("output should be UTF-8");
        assert_eq!(out.status.code(), Some(2), "{args:?}: {line}");
        assert!(line.contains(expected), "{args:?}: {line}");
        assert_eq!(line.lines().count(), 1, "{args:?}: {line}");
        assert!(out.stdout.is_empty(), "{args:?}");
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one table of cases")]
fn invalid_sweep_exits_with_2_and_one_line_before_any_run() {
    let small = plan("small.toml");
    let small = small.to_str().expect("path should be UTF-8");
    let sweep_of_workers =
        |rest: &[&'static str]| [&["sweep", "--axis", "workers"][..], rest].concat();
    for (args, expected) in [
        (
            sweep_of_workers(&["--values", "20,40,60"]),
            "workers: 3 distinct values, but a fit needs at least 4",
        ),
        (
            sweep_of_workers(&["--values", "20,40,60,80,80"]),
            "workers: value 80 is given twice",
        ),
        (
            sweep_of_workers(&["--values", "-20,40,60,80"]),
            "workers: value -20 is negative",
        ),
        (
            sweep_of_workers(&["--values", "80.5,200,400,600"]),
            "workers 80.5: setting workers: expected a whole number in its range, found 80.5",
        ),
        (
            sweep_of_workers(&["--values", "20,40,60,many"]),
            "invalid value 'many' for '--values",
        ),
        (
            sweep_of_workers(&["--repeats", "2"]),
            "2 repeats, but a sweep needs at least 3",
        ),
        (
            sweep_of_workers(&["--axis", "workers"]),
            "workers: axis is given twice",
        ),
        (
            sweep_of_workers(&["--seconds", "0"]),
            "setting duration: expected 1s to 1day, found 0s",
        ),
        (
            sweep_of_workers(&["--set", "sead=1"]),
            "setting sead: expected the name of a setting, found sead=1",
        ),
        (
            sweep_of_workers(&["--set", "standing=4000"]),
            "workers 100: setting standing: expected at most the 3200 that 100 workers of 32 tasks hold",
        ),
        (
            vec!["sweep", "--axis", "colour"],
            "invalid value 'colour' for '--axis <AXIS>': expected one of workers, standing, rate, events",
        ),
        (
            vec!["sweep", "--values", "1,2,3,4"],
            "setting --values: expected exactly one --axis, found 0 axes",
        ),
        (
            vec!["sweep", small, "--axis", "rate", "--seconds", "3"],
            "setting fault 1: expected at and back",
        ),
        (
            vec!["sweep", "/nowhere/plan.toml"],
            "setting file: expected a TOML file",
        ),
    ] {
        let out = output(&args);
        let line = String::from_utf8(out.stderr).expect("output should be UTF-8");
        assert_eq!(out.status.code(), Some(2), "{args:?}: {line}");
        assert!(line.contains(expected), "{args:?}: {line}");
        assert_eq!(line.lines().count(), 1, "{args:?}: {line}");
        assert!(out.stdout.is_empty(), "{args:?}");
    }
}

/// Settings of a run that needs more memory and descriptors than any machine allows.
const HUGE: [&str; 6] = [
    "--set",
    "workers=16384",
    "--set",
    "placers=299",
    "--set",
    "placer-sockets=1048576",
];

#[test]
fn run_that_needs_too_much_exits_with_2_and_one_line_for_each_excess() {
    let sweep_of_rate = ["sweep", "--axis", "rate"];
    for (command, prefix) in [
        (&["run"][..], ""),
        (&["check"], ""),
        (&sweep_of_rate, "rate 20: "),
    ] {
        let out = output(&[command, &HUGE].concat());
        let lines = String::from_utf8(out.stderr).expect("output should be UTF-8");
        assert_eq!(out.status.code(), Some(2), "{command:?}: {lines}");
        let needs = format!("scale-test: {prefix}needs ");
        assert!(
            lines.lines().all(|line| line.starts_with(&needs)),
            "{command:?}: {lines}"
        );
        assert!(
            lines.contains(" GiB of memory, half of the machine is "),
            "{command:?}: {lines}"
        );
        assert!(
            lines.contains(" descriptors in this process, its limit "),
            "{command:?}: {lines}"
        );
        assert!(out.stdout.is_empty(), "{command:?}");
    }
}

#[test]
fn failed_run_ends_the_sweep_and_writes_a_partial_report() {
    let folder = tempfile::tempdir().expect("cannot create a temporary directory");
    let json = folder.path().join("sweep.json");
    let values = [
        "sweep",
        "--axis",
        "workers",
        "--values",
        "20,40,60,80",
        "--set",
        "standing=10",
    ];
    let mut command = scale_test_command();
    command
        .args(values)
        .args(["--seconds", "1", "--program", "/bin/false", "--json"])
        .arg(&json);
    let out = command.output().expect("cannot run scale-test");
    let line = String::from_utf8(out.stderr).expect("output should be UTF-8");
    assert_eq!(out.status.code(), Some(1), "{line}");
    assert!(
        line.starts_with("scale-test: workers 20, repeat 1: placer "),
        "{line}"
    );
    assert!(line.contains("exited unexpectedly"), "{line}");
    let text = std::fs::read_to_string(json).expect("cannot read the report");
    let report = SweepReport::from_json(&text).expect("report should parse");
    assert!(
        report.partial && report.axes.iter().all(|axis| axis.metrics.is_empty()),
        "{text}"
    );
}

#[test]
fn plan_is_found_by_a_relative_path() {
    let mut command = scale_test_command();
    command
        .args(["check", "plans/minute.toml"])
        .current_dir(env!("CARGO_MANIFEST_DIR"));
    let out = command.output().expect("cannot run scale-test");
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
}

#[test]
fn packaged_plans_are_valid() {
    for name in ["small.toml", "minute.toml", "sweep.toml", "target.toml"] {
        let out = scale_test_command()
            .arg("check")
            .arg(plan(name))
            .output()
            .expect("cannot run scale-test");
        let text = String::from_utf8(out.stdout).expect("output should be UTF-8");
        assert!(
            out.status.success(),
            "{name}: {}",
            String::from_utf8_lossy(&out.stderr)
        );
        assert!(text.contains("# worker capacity: "), "{text}");
    }
}

#[test]
fn program_that_cannot_be_started_is_named_and_leaves_nothing_behind() {
    let out = output(&[
        "run",
        "--program",
        "/nowhere/placer",
        "--duration",
        "1s",
        "--warm-up",
        "0s",
    ]);
    let line = String::from_utf8(out.stderr).expect("output should be UTF-8");
    assert_eq!(out.status.code(), Some(1), "{line}");
    assert!(line.contains("placer program /nowhere/placer"), "{line}");
}

#[test]
fn placer_that_exits_ends_the_run_with_its_log() {
    let out = output(&[
        "run",
        "--program",
        "/bin/false",
        "--duration",
        "1s",
        "--warm-up",
        "0s",
    ]);
    let line = String::from_utf8(out.stderr).expect("output should be UTF-8");
    assert_eq!(out.status.code(), Some(1), "{line}");
    assert!(line.contains("exited unexpectedly"), "{line}");
}

/// A child process that is killed when its test ends.
struct KillOnDrop(Child);

impl Drop for KillOnDrop {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Polls until a value is returned, and panics after [`WAIT_LIMIT`].
fn wait_until<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + WAIT_LIMIT;
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(Instant::now() < end, "timed out waiting for {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the process ids of the children of a process.
fn children(id: u32) -> Vec<u32> {
    let tasks = std::fs::read_dir(format!("/proc/{id}/task"))
        .into_iter()
        .flatten()
        .flatten();
    let child_lists =
        tasks.filter_map(|task| std::fs::read_to_string(task.path().join("children")).ok());
    child_lists
        .flat_map(|list| {
            list.split_whitespace()
                .filter_map(|id| id.parse().ok())
                .collect::<Vec<_>>()
        })
        .collect()
}

#[test]
fn sigterm_ends_the_run_and_every_placer() {
    let program = std::env::var_os("TASK_PLACER_BIN").map(PathBuf::from);
    let default_program =
        PathBuf::from(env!("CARGO_BIN_EXE_scale-test")).with_file_name("task-placer");
    let program = program.unwrap_or(default_program);
    let mut command = scale_test_command();
    command
        .args(["run", "--duration", "1h", "--program"])
        .arg(program);
    let child = command
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("cannot run scale-test");
    let mut running = KillOnDrop(child);
    let placers = wait_until("three placers", || {
        let found = children(running.0.id());
        (found.len() == 3).then_some(found)
    });
    let id = rustix::process::Pid::from_child(&running.0);
    rustix::process::kill_process(id, rustix::process::Signal::TERM).expect("cannot send SIGTERM");
    let status = wait_until("the end of the run", || {
        running.0.try_wait().expect("cannot wait for the child")
    });
    assert_eq!(status.code(), Some(1));
    for placer in placers {
        assert!(
            !Path::new(&format!("/proc/{placer}")).exists(),
            "placer {placer} is still running"
        );
    }
}
