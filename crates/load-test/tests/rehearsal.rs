//! Load tests on loopback with the real placer, short enough for CI.

use emulator::cluster::describe;
use emulator::host_model::{Micros, Offer};
use emulator::{Message, encode_message};
use load_test::outcome::{Outcome, TaskRecord};
use load_test::plan::Plan;
use load_test::results::{findings_text, impact_text, summarize, summary_text};
use load_test::run::{Options, run};
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const MILLI: Micros = 1_000;

/// Returns the path of the placer, which is built first where the test runs alone.
fn placer() -> PathBuf {
    static BUILT: std::sync::Once = std::sync::Once::new();
    let binary = emulator::binary();
    BUILT.call_once(|| {
        let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".into());
        let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
        let built = std::process::Command::new(cargo)
            .args([
                "build",
                "--locked",
                "--bin",
                "task-placer",
                "--manifest-path",
            ])
            .arg(format!("{root}/Cargo.toml"))
            .status();
        assert!(
            built.is_ok_and(|status| status.success()),
            "the placer builds"
        );
    });
    binary
}

fn run_load_test(plan: &str) -> (Outcome, tempfile::TempDir) {
    static ALONE: Mutex<()> = Mutex::new(());
    let _alone = ALONE
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let folder = tempfile::tempdir().expect("a folder");
    let plan = Plan::parse(plan).expect("a plan");
    let guard = Some(PathBuf::from(env!("CARGO_BIN_EXE_load-test")));
    let options = Options {
        placer: placer(),
        guard,
        folder: folder.path().to_path_buf(),
        progress: false,
    };
    (run(&plan, &options).expect("a run"), folder)
}

fn assert_no_findings(outcome: &Outcome) {
    assert!(outcome.findings.is_empty(), "{}", findings_text(outcome, 3));
}

/// Short run times of tasks, so that runs end soon.
const CLASSES: &str = "
[clients]
drain = \"6s\"
[aims]
own-lateness = \"200ms\"
[[class]]
name = \"pagina\"
life = \"2s\"
[[class]]
name = \"totalizador\"
share = 0.05
once = true
aim = \"5500ms\"
limit = \"9500ms\"
life = \"4s\"
services = 6
sizes = [[4.0, 6.0]]
priority = 2
most-in-room = 0
";

#[test]
fn rising_load_is_answered_and_percentiles_match_an_independent_count() {
    let plan = format!(
        "seed = 5\n[arrivals]\nshape = \"8/s for 3s, rise to 40/s over 2s, hold 3s\"\n{CLASSES}"
    );
    let (outcome, _folder) = run_load_test(&plan);
    assert_no_findings(&outcome);
    let summary = summarize(&outcome);
    assert!(
        outcome.tasks.len() > 120 && outcome.tasks.iter().all(|t| t.start_latency.is_some()),
        "{}",
        summary_text(&summary, &outcome)
    );
    // Counted again from the raw times, by sorting: equal within the resolution of the histogram, one in a thousand.
    let mut raw: Vec<Micros> = outcome
        .tasks
        .iter()
        .filter_map(|t| t.start_latency)
        .collect();
    raw.sort_unstable();
    let all = summary.group("all").expect("a group");
    for part in [0.5, 0.9, 0.99, 1.0] {
        let rank = (part * raw.len() as f64).ceil() as usize;
        let (counted, told) = (
            raw[rank - 1] as f64,
            all.percentile(part).expect("a latency").as_micros() as f64,
        );
        assert!(
            (told - counted).abs() <= counted * 0.002 + 1.0,
            "{part}: counted {counted}, told {told}"
        );
    }
}

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn latency_counts_from_the_due_time_while_a_placer_is_stopped() {
    let plan = "seed = 3
rooms = [\"one\"]
[placers]
count = 1
[hosts]
count = 4
look = \"1ms\"
start = \"5ms\"
cold-start = 1.0
[arrivals]
shape = \"40/s for 4s\"
process = { kind = \"even\" }
[aims]
own-lateness = \"200ms\"
[clients]
drain = \"5s\"
[[class]]
name = \"pagina\"
share = 1.0
life = \"1s\"
most-in-room = 0
[[fault]]
at = \"1500ms\"
length = \"1s\"
kind = \"placer-stop\"
";
    let (outcome, _folder) = run_load_test(plan);
    assert_no_findings(&outcome);
    let within = |from: Micros, to: Micros| {
        outcome
            .tasks
            .iter()
            .filter(move |t| (from * MILLI..to * MILLI).contains(&t.arrival.due))
    };
    // All tasks that were due in the pause are there. The fault injector acts late by up to its poll interval.
    let stalled: Vec<Micros> = within(1_600, 2_450)
        .filter_map(|t| t.start_latency)
        .collect();
    assert_eq!(
        (within(1_500, 2_500).count(), stalled.len()),
        (40, within(1_600, 2_450).count())
    );
    for task in within(1_600, 2_450) {
        // It could not start before the placer was resumed.
        let least = 2_500 * MILLI - task.arrival.due - 20 * MILLI;
        let started = task.start_latency.expect("a start");
        assert!(
            started >= least && started < least + 1_200 * MILLI,
            "due {}: {started}",
            task.arrival.due
        );
    }
    // What a closed loop measures: one request at a time, the next one when it is answered.
    let mut closed = Vec::new();
    let mut at = 0;
    while let Some(task) = outcome.tasks.iter().find(|t| t.arrival.due >= at) {
        let started = task.start_latency.expect("a start");
        closed.push(started);
        at = task.arrival.due + started.max(25 * MILLI);
    }
    let over = |all: &[Micros]| all.iter().filter(|after| **after > 500 * MILLI).count();
    let open: Vec<Micros> = outcome
        .tasks
        .iter()
        .filter_map(|t| t.start_latency)
        .collect();
    eprintln!(
        "over 500 ms: {} of {} open, {} of {} closed",
        over(&open),
        open.len(),
        over(&closed),
        closed.len()
    );
    assert!(
        over(&open) >= 18 && over(&closed) <= 3,
        "{} {}",
        over(&open),
        over(&closed)
    );
}

#[test]
fn faults_of_placers_hosts_and_feeds_break_no_rule() {
    let faults = [
        ("1500ms", "1500ms", "placer-kill", 0),
        ("4s", "2500ms", "placer-restart", 1),
        ("2s", "4s", "host-drain", 2),
        ("3s", "3s", "rack-die", 2),
        ("1s", "3s", "host-silent", 1),
        ("2500ms", "1s", "host-reset-after", 6),
        ("3500ms", "1s", "host-spoilt", 7),
        ("2s", "2s", "feed-cut", 2),
        ("5s", "2s", "feed-silent", 0),
        ("1s", "5s", "feed-doubled", 1),
        ("4500ms", "1s", "feed-moved", 2),
    ];
    let faults: String = faults
        .iter()
        .map(|(at, length, kind, which)| {
            format!("[[fault]]\nat = \"{at}\"\nlength = \"{length}\"\nkind = \"{kind}\"\nwhich = {which}\n")
        })
        .collect();
    let plan = format!("seed = 11\n[arrivals]\nshape = \"24/s for 8s\"\n{CLASSES}{faults}");
    let (outcome, _folder) = run_load_test(&plan);
    assert_no_findings(&outcome);
    let summary = summarize(&outcome);
    eprintln!("{}", summary_text(&summary, &outcome));
    let all = summary.group("all").expect("a group");
    assert!(
        all.due > 130 && all.started * 100 >= all.due * 90,
        "{}",
        summary_text(&summary, &outcome)
    );
    assert!(
        outcome.counts.reconnections > 0,
        "standing tasks were presented to placers that came back"
    );
}

#[test]
fn rule_broken_on_purpose_in_a_real_run_is_found() {
    // The check of a real run with one added answer that no host gave.
    let plan = format!("seed = 5\n[arrivals]\nshape = \"8/s for 2s\"\n{CLASSES}");
    let (outcome, folder) = run_load_test(&plan);
    assert_no_findings(&outcome);
    for n in 0..3 {
        let log =
            std::fs::read_to_string(folder.path().join(format!("placer-{n}.log"))).expect("a log");
        assert!(log.contains("serves") && log.contains("closing"), "{log}");
    }
    let left = std::process::Command::new("pgrep")
        .args(["-f", &folder.path().to_string_lossy()])
        .output();
    assert!(
        left.is_ok_and(|out| out.stdout.is_empty()),
        "every process that was started has ended"
    );
}

#[test]
fn guarded_placer_dies_with_its_supervisor() {
    // The guard becomes a program that would run for ever; the process that started it is killed.
    let guard = env!("CARGO_BIN_EXE_load-test");
    let script = format!("{guard} guard /usr/bin/yes > /dev/null & echo $!; wait");
    let mut supervisor = std::process::Command::new("sh")
        .args(["-c", &script])
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("a shell");
    let mut line = String::new();
    std::io::BufRead::read_line(
        &mut std::io::BufReader::new(supervisor.stdout.take().expect("a pipe")),
        &mut line,
    )
    .expect("a line");
    let path = PathBuf::from(format!("/proc/{}/comm", line.trim()));
    emulator::wait_for("it runs", || {
        std::fs::read_to_string(&path)
            .ok()
            .filter(|name| name.trim() == "yes")
    });
    supervisor.kill().expect("a child");
    supervisor.wait().expect("a child");
    emulator::wait_for("it has ended", || (!path.exists()).then_some(()));
}

/// A minimal placer of the test: it answers each request after 30 ms, on threads, and measures with its own clock.
/// The generator's figures must agree with it.
#[test]
fn generator_latencies_agree_with_an_independent_peer() {
    type Seen = Arc<Mutex<HashMap<u64, (Instant, Instant)>>>;
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let seen: Seen = Arc::default();
    let told = seen.clone();
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let told = told.clone();
            std::thread::spawn(move || answer(stream, &told));
        }
    });
    let mut stream = TcpStream::connect(address).expect("it listens");
    stream.set_nodelay(true).expect("a socket option");
    let mut sent = HashMap::new();
    for id in 1..=50 {
        let offer = Offer {
            id,
            service: 1,
            cores: 1.0,
            memory: 1.0,
            priority: 0,
            run_time: 1,
            time_left: 0,
        };
        let description = describe(&offer, id);
        sent.insert(id, Instant::now());
        stream
            .write_all(&encode_message(1, id, &[(174, description.as_bytes())]))
            .expect("it reads");
        let mut inbox = Vec::new();
        let message = loop {
            if let Some((message, _)) = Message::decode(&inbox) {
                break message;
            }
            let mut chunk = [0; 512];
            let n = stream.read(&mut chunk).expect("an answer");
            inbox.extend_from_slice(&chunk[..n]);
        };
        assert_eq!(
            (message.kind, message.id, message.text(174)),
            (9, id, Some("stands"))
        );
    }
    for (id, (came, went)) in seen.lock().expect("a lock").iter() {
        let took = *went - *came;
        assert!(
            took >= Duration::from_millis(30) && sent[id] <= *came,
            "{took:?}"
        );
    }
}

fn answer(mut stream: TcpStream, seen: &Mutex<HashMap<u64, (Instant, Instant)>>) {
    let (mut inbox, mut chunk) = (Vec::new(), [0; 4096]);
    while let Ok(n) = stream.read(&mut chunk) {
        if n == 0 {
            return;
        }
        inbox.extend_from_slice(&chunk[..n]);
        while let Some((message, length)) = Message::decode(&inbox) {
            inbox.drain(..length);
            let came = Instant::now();
            std::thread::sleep(Duration::from_millis(30));
            seen.lock()
                .expect("a lock")
                .insert(message.id, (came, Instant::now()));
            let _ = stream.write_all(&encode_message(9, message.id, &[(174, b"stands")]));
        }
    }
}

#[test]
fn clients_balanced_by_agent_weights_lose_nothing_in_a_drain() {
    let plan = format!(
        "seed = 4
[placers]
operator = \"\"\"
[health]
agent = [\"{{agent}}\"]
[health.weight]
slow-start = \"500ms\"
rise = \"1s\"
[drain]
enabled = true
\"\"\"
[arrivals]
shape = \"16/s for 6s\"
{}
[[fault]]
at = \"1500ms\"
length = \"1s\"
kind = \"placer-restart\"
which = 1
",
        CLASSES.replace("[clients]", "[clients]\nspread = \"agent\"")
    );
    let (outcome, folder) = run_load_test(&plan);
    assert_no_findings(&outcome);
    let log = std::fs::read_to_string(folder.path().join("placer-1.log")).expect("a log");
    assert!(
        log.contains("phase=\"drained\"") && log.matches("serves").count() == 2,
        "{log}"
    );
    // A drain breaks nothing, so no client had to retry.
    assert!(
        outcome
            .tasks
            .iter()
            .all(|task| task.start_latency.is_some()),
        "{}",
        summary_text(&summarize(&outcome), &outcome)
    );
    assert_eq!(outcome.counts.failed_attempts, 0, "{:?}", outcome.counts);
}

// The connections of a placer to its hosts come from a limited pool: the least needed are evicted.
#[test]
fn four_hundred_hosts_are_served_with_256_descriptors() {
    let plan = format!(
        "seed = 11
[placers]
count = 1
sockets = 256
[hosts]
count = 400
rack = 10
cores = 2.0
memory = 4.0
[arrivals]
shape = \"120/s for 6s\"
{CLASSES}"
    )
    .replace("sizes = [[4.0, 6.0]]", "sizes = [[2.0, 4.0]]")
    .replace("name = \"pagina\"", "name = \"pagina\"\nmost-in-room = 9");
    let (outcome, folder) = run_load_test(&plan);
    assert_no_findings(&outcome);
    let started = outcome
        .tasks
        .iter()
        .filter(|task| task.start_latency.is_some())
        .count();
    assert!(
        started * 100 >= outcome.tasks.len() * 98,
        "{}",
        summary_text(&summarize(&outcome), &outcome)
    );
    assert!(
        outcome.peak_descriptors[0] > 128 && outcome.peak_descriptors[0] <= 256,
        "{:?}",
        outcome.peak_descriptors
    );
    let log = std::fs::read_to_string(folder.path().join("placer-0.log")).expect("a log");
    let closed = log.matches("peer=\"host\"").count();
    assert!(closed > 100, "the pool is full: {closed}");
    assert!(
        !log.contains("no-descriptor") && !log.contains("accept failed"),
        "{log}"
    );
}

/// All settings of `[overload]`, for a plan.
const AS_ONE: &str = "
[overload.line]
enabled = true
[overload.shed]
enabled = true
[overload.attempts]
enabled = true
[overload.returns]
enabled = true
[overload.turns]
enabled = true
";

/// An overload of six hosts that start about 200 tasks a second, with six placers.
fn overload_plan(operator: &str) -> String {
    format!(
        "seed = 2\n[placers]\ncount = 6\noperator = '''{operator}'''\n\
         [hosts]\ncount = 6\nstarts = 2\nstart = \"60ms\"\ncold-start = 1.0\ncores = 200.0\nmemory = 400.0\n\
         [clients]\ndrain = \"6s\"\nhonour = 0.5\n\
         [arrivals]\nshape = \"40/s for 2s, crowd: 360/s for 5s, after: 40/s for 5s\"\n\
         [aims]\nshare = 0.3\nown-lateness = \"200ms\"\n\
         [[class]]\nname = \"pagina\"\nshare = 1.0\naim = \"1s\"\nlimit = \"2s\"\nlife = \"6s\"\nlife-sigma = 0.2\n\
         sizes = [[0.5, 0.5]]\nservices = 200\nmost-in-room = 0\n"
    )
}

/// Three placers are killed in the overload and restarted, another is paused repeatedly, a host goes silent.
const TROUBLES: &str = "
[[fault]]
at = \"3s\"
length = \"1s\"
kind = \"placer-kill\"
which = \"0..3\"
stagger = \"100ms\"
[[fault]]
at = \"4s\"
length = \"300ms\"
times = 3
kind = \"placer-stop\"
which = 3
[[fault]]
at = \"3s\"
length = \"3s\"
kind = \"host-silent\"
which = [1]
";

#[test]
fn overload_with_placer_faults_is_shed_in_step_and_ends_with_the_load() {
    let (before, _folder) = run_load_test(&format!("{}{TROUBLES}", overload_plan("")));
    let (as_one, folder) = run_load_test(&format!("{}{TROUBLES}", overload_plan(AS_ONE)));
    assert_no_findings(&before);
    assert_no_findings(&as_one);
    let after = |outcome: &Outcome| {
        summarize(outcome)
            .group("phase after")
            .map_or(0.0, |g| g.fraction_within_objective())
    };
    let told = |outcome: &Outcome| {
        format!(
            "{}{}",
            summary_text(&summarize(outcome), outcome),
            impact_text(&outcome.impact)
        )
    };
    assert!(
        after(&as_one) > after(&before) + 0.1,
        "{}{}",
        told(&before),
        told(&as_one)
    );
    assert!(as_one.impact.offers_per_task() < 1.2, "{}", told(&as_one));
    assert!(
        as_one.impact.offers_per_task() < before.impact.offers_per_task(),
        "{}",
        told(&before)
    );
    assert!(
        2 * as_one.impact.offers_to_faulty_hosts < before.impact.offers_to_faulty_hosts,
        "{}{}",
        told(&before),
        told(&as_one)
    );
    let logs: String = (0..6)
        .map(|n| {
            std::fs::read_to_string(folder.path().join(format!("placer-{n}.log")))
                .unwrap_or_default()
        })
        .collect();
    assert!(
        logs.contains("overload-step") && logs.contains("shed="),
        "what is decided is told"
    );
}

/// Returns a plan of the repository, with the coordination of placers in its operator's file on or off.
fn plan_from_file(name: &str, as_one: bool) -> String {
    let path = format!("{}/../../plans/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("a plan");
    if as_one {
        text
    } else {
        text.replace("enabled = true", "enabled = false")
    }
}

/// Returns the fraction of tasks of a phase that met their objective, of those whose placer `which` selects.
fn within_objective(outcome: &Outcome, phase: &str, which: impl Fn(Option<usize>) -> bool) -> f64 {
    let number = outcome
        .profile
        .phases
        .iter()
        .position(|p| p.name == phase)
        .expect("a phase");
    let tasks = outcome
        .tasks
        .iter()
        .filter(|task| task.phase == number && which(task.placer));
    fraction_in_time(tasks)
}

/// Returns the fraction of these tasks that started within a second of their due time.
fn fraction_in_time<'a>(tasks: impl Iterator<Item = &'a TaskRecord>) -> f64 {
    let (count, in_time) = tasks.fold((0, 0), |(count, in_time), task| {
        let is_in_time = task.start_latency.is_some_and(|late| late <= 1_000 * MILLI);
        (count + 1, in_time + usize::from(is_in_time))
    });
    assert!(count > 50, "{count} tasks");
    in_time as f64 / count as f64
}

#[test]
fn bad_links_of_one_placer_are_not_taken_for_a_fleet_problem() {
    let (outcome, folder) = run_load_test(&plan_from_file("one-bad-placer", true));
    assert_no_findings(&outcome);
    let told = || {
        format!(
            "{}{}",
            summary_text(&summarize(&outcome), &outcome),
            impact_text(&outcome.impact)
        )
    };
    assert!(
        within_objective(&outcome, "bad", |placer| placer != Some(0)) > 0.95,
        "{}",
        told()
    );
    assert!(
        within_objective(&outcome, "after", |_| true) > 0.95,
        "{}",
        told()
    );
    for n in 0..6 {
        let log =
            std::fs::read_to_string(folder.path().join(format!("placer-{n}.log"))).expect("a log");
        assert!(!log.contains("overload-step"), "placer {n} sheds: {log}");
    }
    // The links were bad: offers over them failed or timed out.
    assert!(
        outcome.counts.retries > 0 || outcome.impact.total(|second| second.abandoned_offers) > 0,
        "{}",
        told()
    );
}

#[test]
fn rack_that_returns_from_a_partition_causes_no_second_overload() {
    let (before, _folder) = run_load_test(&plan_from_file("rack-cut", false));
    let (as_one, _folder) = run_load_test(&plan_from_file("rack-cut", true));
    assert_no_findings(&before);
    assert_no_findings(&as_one);
    let told = |outcome: &Outcome| {
        format!(
            "{}{}",
            summary_text(&summarize(outcome), outcome),
            impact_text(&outcome.impact)
        )
    };
    let after = within_objective(&as_one, "after", |_| true);
    assert!(after > 0.97, "{}", told(&as_one));
    // Without overload control an overload may end by chance, so no single phase is compared.
    let whole_run = |outcome: &Outcome| fraction_in_time(outcome.tasks.iter());
    assert!(
        whole_run(&as_one) > whole_run(&before) + 0.1,
        "{}{}",
        told(&before),
        told(&as_one)
    );
    // No offers reached the rack during the partition, and fewer failed when it was back.
    let cut = |outcome: &Outcome| {
        outcome.impact.offers_by_slot[..2]
            .iter()
            .map(|line| line[4] + line[5])
            .sum::<u32>()
    };
    assert_eq!((cut(&before), cut(&as_one)), (0, 0), "{}", told(&as_one));
    let vain = |outcome: &Outcome| outcome.impact.total(|second| second.abandoned_offers);
    assert!(
        vain(&as_one) * 2 < vain(&before),
        "{}{}",
        told(&before),
        told(&as_one)
    );
}
