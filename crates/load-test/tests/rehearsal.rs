//! Load tests of the real placer on loopback, short enough for CI.

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

/// Returns the path of the placer program. It is built first, since `cargo test -p load-test` alone does not build it.
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
            "building the placer failed"
        );
    });
    binary
}

/// Runs a plan and returns the outcome and the folder with the logs of the placers. Runs are made one at a time.
fn run_load_test(plan: &str) -> (Outcome, tempfile::TempDir) {
    static EXCLUSIVE: Mutex<()> = Mutex::new(());
    let _exclusive = EXCLUSIVE
        .lock()
        .unwrap_or_else(std::sync::PoisonError::into_inner);
    let folder = tempfile::tempdir().expect("temporary folder");
    let plan = Plan::parse(plan).expect("valid plan");
    let guard = Some(PathBuf::from(env!("CARGO_BIN_EXE_load-test")));
    let options = Options {
        placer: placer(),
        guard,
        folder: folder.path().to_path_buf(),
        progress: false,
    };
    (run(&plan, &options).expect("run carried out"), folder)
}

fn assert_no_findings(outcome: &Outcome) {
    assert!(outcome.findings.is_empty(), "{}", findings_text(outcome, 3));
}

/// Client, objective and class settings with short run times of tasks, so that runs end soon.
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
    // Percentiles of the sorted latencies must match those of the histogram within its resolution of one in a thousand.
    let mut raw: Vec<Micros> = outcome
        .tasks
        .iter()
        .filter_map(|t| t.start_latency)
        .collect();
    raw.sort_unstable();
    let all = summary.group("all").expect("group of all tasks");
    for quantile in [0.5, 0.9, 0.99, 1.0] {
        let rank = (quantile * raw.len() as f64).ceil() as usize;
        let (counted, reported) = (
            raw[rank - 1] as f64,
            all.percentile(quantile)
                .expect("percentile reached")
                .as_micros() as f64,
        );
        assert!(
            (reported - counted).abs() <= counted * 0.002 + 1.0,
            "quantile {quantile}: counted {counted}, reported {reported}"
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
    // Every task that was due during the pause is recorded, and those due in a span inside the pause have started. The
    // span is shorter than the pause because the fault injector may act late by up to its poll interval.
    let stalled: Vec<Micros> = within(1_600, 2_450)
        .filter_map(|t| t.start_latency)
        .collect();
    assert_eq!(
        (within(1_500, 2_500).count(), stalled.len()),
        (40, within(1_600, 2_450).count())
    );
    for task in within(1_600, 2_450) {
        // The task could not start before the placer was resumed.
        let minimum = 2_500 * MILLI - task.arrival.due - 20 * MILLI;
        let latency = task.start_latency.expect("task started");
        assert!(
            latency >= minimum && latency < minimum + 1_200 * MILLI,
            "due {}: latency {latency}",
            task.arrival.due
        );
    }
    // The latencies that a closed loop would measure: it makes one request at a time, and the next one only once the
    // previous one is answered. They hide the pause.
    let mut closed = Vec::new();
    let mut at = 0;
    while let Some(task) = outcome.tasks.iter().find(|t| t.arrival.due >= at) {
        let latency = task.start_latency.expect("task started");
        closed.push(latency);
        at = task.arrival.due + latency.max(25 * MILLI);
    }
    let count_slow = |all: &[Micros]| all.iter().filter(|latency| **latency > 500 * MILLI).count();
    let open: Vec<Micros> = outcome
        .tasks
        .iter()
        .filter_map(|t| t.start_latency)
        .collect();
    eprintln!(
        "latencies over 500 ms: {} of {} in the open loop, {} of {} in a closed loop",
        count_slow(&open),
        open.len(),
        count_slow(&closed),
        closed.len()
    );
    assert!(
        count_slow(&open) >= 18 && count_slow(&closed) <= 3,
        "{} in the open loop, {} in a closed loop",
        count_slow(&open),
        count_slow(&closed)
    );
}

#[test]
fn faults_of_placers_hosts_and_feeds_violate_no_rule() {
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
    let all = summary.group("all").expect("group of all tasks");
    assert!(
        all.due > 130 && all.started * 100 >= all.due * 90,
        "{}",
        summary_text(&summary, &outcome)
    );
    assert!(
        outcome.counts.reconnections > 0,
        "clients reconnected to the placers that came back"
    );
}

#[test]
fn run_without_faults_violates_no_rule_and_leaves_no_processes() {
    let plan = format!("seed = 5\n[arrivals]\nshape = \"8/s for 2s\"\n{CLASSES}");
    let (outcome, folder) = run_load_test(&plan);
    assert_no_findings(&outcome);
    for n in 0..3 {
        let log = std::fs::read_to_string(folder.path().join(format!("placer-{n}.log")))
            .expect("placer log read");
        assert!(log.contains("serves") && log.contains("closing"), "{log}");
    }
    let remaining = std::process::Command::new("pgrep")
        .args(["-f", &folder.path().to_string_lossy()])
        .output();
    assert!(
        remaining.is_ok_and(|out| out.stdout.is_empty()),
        "processes of the run are still running"
    );
}

#[test]
fn guarded_placer_dies_with_its_supervisor() {
    // The guard executes a program that never ends by itself. Killing the process that started the guard must end it.
    let guard = env!("CARGO_BIN_EXE_load-test");
    let script = format!("{guard} guard /usr/bin/yes > /dev/null & echo $!; wait");
    let mut supervisor = std::process::Command::new("sh")
        .args(["-c", &script])
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("shell started");
    let mut line = String::new();
    std::io::BufRead::read_line(
        &mut std::io::BufReader::new(supervisor.stdout.take().expect("piped standard output")),
        &mut line,
    )
    .expect("process id on standard output");
    let path = PathBuf::from(format!("/proc/{}/comm", line.trim()));
    emulator::wait_for("the guarded program runs", || {
        std::fs::read_to_string(&path)
            .ok()
            .filter(|name| name.trim() == "yes")
    });
    supervisor.kill().expect("supervisor killed");
    supervisor.wait().expect("supervisor exited");
    emulator::wait_for("the guarded program has ended", || {
        (!path.exists()).then_some(())
    });
}

/// The server is a minimal placer on threads that answers each request after 30 ms and records by its own clock when it
/// received and answered each one. These times must agree with the times at which the test sent the requests.
#[test]
fn answer_times_of_a_minimal_placer_agree_with_the_send_times() {
    type Exchanges = Arc<Mutex<HashMap<u64, (Instant, Instant)>>>;
    let listener = TcpListener::bind("127.0.0.1:0").expect("listening port");
    let address = listener.local_addr().expect("local address");
    let exchanges: Exchanges = Arc::default();
    let recorded = exchanges.clone();
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let recorded = recorded.clone();
            std::thread::spawn(move || answer(stream, &recorded));
        }
    });
    let mut stream = TcpStream::connect(address).expect("connection to the minimal placer");
    stream.set_nodelay(true).expect("TCP_NODELAY set");
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
            .expect("request sent");
        let mut inbox = Vec::new();
        let message = loop {
            if let Some((message, _)) = Message::decode(&inbox) {
                break message;
            }
            let mut chunk = [0; 512];
            let n = stream.read(&mut chunk).expect("answer received");
            inbox.extend_from_slice(&chunk[..n]);
        };
        assert_eq!(
            (message.kind, message.id, message.text(174)),
            (9, id, Some("stands"))
        );
    }
    for (id, (received, answered)) in exchanges.lock().expect("lock not poisoned").iter() {
        let took = *answered - *received;
        assert!(
            took >= Duration::from_millis(30) && sent[id] <= *received,
            "{took:?}"
        );
    }
}

/// Answers each request on a connection after 30 ms, and records when it was received and answered.
fn answer(mut stream: TcpStream, exchanges: &Mutex<HashMap<u64, (Instant, Instant)>>) {
    let (mut inbox, mut chunk) = (Vec::new(), [0; 4096]);
    while let Ok(n) = stream.read(&mut chunk) {
        if n == 0 {
            return;
        }
        inbox.extend_from_slice(&chunk[..n]);
        while let Some((message, length)) = Message::decode(&inbox) {
            inbox.drain(..length);
            let received = Instant::now();
            std::thread::sleep(Duration::from_millis(30));
            exchanges
                .lock()
                .expect("lock not poisoned")
                .insert(message.id, (received, Instant::now()));
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
    let log = std::fs::read_to_string(folder.path().join("placer-1.log")).expect("placer log read");
    assert!(
        log.contains("phase=\"drained\"") && log.matches("serves").count() == 2,
        "{log}"
    );
    // A drain interrupts no request, so no attempt of a client failed.
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

/// The placer keeps its connections to hosts in a limited pool, and evicts those that it needs least. It must neither run
/// out of descriptors nor fail to place tasks.
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
    let log = std::fs::read_to_string(folder.path().join("placer-0.log")).expect("placer log read");
    let closed = log.matches("peer=\"host\"").count();
    assert!(
        closed > 100,
        "too few connections were evicted from the full pool: {closed}"
    );
    assert!(
        !log.contains("no-descriptor") && !log.contains("accept failed"),
        "{log}"
    );
}

/// Operator settings that enable all parts of `[overload]`.
const OVERLOAD_CONTROL: &str = "
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

/// Returns a plan in which six placers overload six hosts, which can start about 200 tasks a second.
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

/// Faults during the overload: three placers are killed and restarted, another is paused repeatedly, and a host becomes
/// silent.
const PLACER_AND_HOST_FAULTS: &str = "
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
    let (uncontrolled, _folder) =
        run_load_test(&format!("{}{PLACER_AND_HOST_FAULTS}", overload_plan("")));
    let (controlled, folder) = run_load_test(&format!(
        "{}{PLACER_AND_HOST_FAULTS}",
        overload_plan(OVERLOAD_CONTROL)
    ));
    assert_no_findings(&uncontrolled);
    assert_no_findings(&controlled);
    let after = |outcome: &Outcome| {
        summarize(outcome)
            .group("phase after")
            .map_or(0.0, |g| g.fraction_within_objective())
    };
    let report = |outcome: &Outcome| {
        format!(
            "{}{}",
            summary_text(&summarize(outcome), outcome),
            impact_text(&outcome.impact)
        )
    };
    assert!(
        after(&controlled) > after(&uncontrolled) + 0.1,
        "{}{}",
        report(&uncontrolled),
        report(&controlled)
    );
    assert!(
        controlled.impact.offers_per_task() < 1.2,
        "{}",
        report(&controlled)
    );
    assert!(
        controlled.impact.offers_per_task() < uncontrolled.impact.offers_per_task(),
        "{}",
        report(&uncontrolled)
    );
    assert!(
        2 * controlled.impact.offers_to_faulty_hosts < uncontrolled.impact.offers_to_faulty_hosts,
        "{}{}",
        report(&uncontrolled),
        report(&controlled)
    );
    let logs: String = (0..6)
        .map(|n| {
            std::fs::read_to_string(folder.path().join(format!("placer-{n}.log")))
                .unwrap_or_default()
        })
        .collect();
    assert!(
        logs.contains("overload-step") && logs.contains("shed="),
        "no log reports the overload steps and shed levels"
    );
}

/// Returns the text of a plan of the repository. Without `overload_control`, the coordinated overload control in the
/// operator's file of the plan is disabled.
fn plan_from_file(name: &str, overload_control: bool) -> String {
    let path = format!("{}/../../plans/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("plan file read");
    if overload_control {
        text
    } else {
        text.replace("enabled = true", "enabled = false")
    }
}

/// Returns the fraction of the tasks of a phase that started within a second of their due time. `selects` chooses tasks by
/// the placer that answered last.
fn phase_fraction_in_time(
    outcome: &Outcome,
    phase: &str,
    selects: impl Fn(Option<usize>) -> bool,
) -> f64 {
    let number = outcome
        .profile
        .phases
        .iter()
        .position(|p| p.name == phase)
        .expect("phase of the plan");
    let tasks = outcome
        .tasks
        .iter()
        .filter(|task| task.phase == number && selects(task.placer));
    fraction_in_time(tasks)
}

/// Returns the fraction of tasks that started within a second of their due time.
fn fraction_in_time<'a>(tasks: impl Iterator<Item = &'a TaskRecord>) -> f64 {
    let (count, in_time) = tasks.fold((0, 0), |(count, in_time), task| {
        let is_in_time = task
            .start_latency
            .is_some_and(|latency| latency <= 1_000 * MILLI);
        (count + 1, in_time + usize::from(is_in_time))
    });
    assert!(count > 50, "too few tasks to compare: {count}");
    in_time as f64 / count as f64
}

#[test]
fn bad_links_of_one_placer_cause_no_overload_step() {
    let (outcome, folder) = run_load_test(&plan_from_file("one-bad-placer", true));
    assert_no_findings(&outcome);
    let report = || {
        format!(
            "{}{}",
            summary_text(&summarize(&outcome), &outcome),
            impact_text(&outcome.impact)
        )
    };
    assert!(
        phase_fraction_in_time(&outcome, "bad", |placer| placer != Some(0)) > 0.95,
        "{}",
        report()
    );
    assert!(
        phase_fraction_in_time(&outcome, "after", |_| true) > 0.95,
        "{}",
        report()
    );
    for n in 0..6 {
        let log = std::fs::read_to_string(folder.path().join(format!("placer-{n}.log")))
            .expect("placer log read");
        assert!(
            !log.contains("overload-step"),
            "placer {n} shed load: {log}"
        );
    }
    // Retries or abandoned offers show that the link faults took effect.
    assert!(
        outcome.counts.retries > 0 || outcome.impact.total(|second| second.abandoned_offers) > 0,
        "{}",
        report()
    );
}

#[test]
fn rack_that_returns_from_a_partition_causes_no_second_overload() {
    let (uncontrolled, _folder) = run_load_test(&plan_from_file("rack-cut", false));
    let (controlled, _folder) = run_load_test(&plan_from_file("rack-cut", true));
    assert_no_findings(&uncontrolled);
    assert_no_findings(&controlled);
    let report = |outcome: &Outcome| {
        format!(
            "{}{}",
            summary_text(&summarize(outcome), outcome),
            impact_text(&outcome.impact)
        )
    };
    let after = phase_fraction_in_time(&controlled, "after", |_| true);
    assert!(after > 0.97, "{}", report(&controlled));
    // Without overload control, an overload may end by chance. The whole runs are compared, not single phases.
    let whole_run = |outcome: &Outcome| fraction_in_time(outcome.tasks.iter());
    assert!(
        whole_run(&controlled) > whole_run(&uncontrolled) + 0.1,
        "{}{}",
        report(&uncontrolled),
        report(&controlled)
    );
    // No offers reached the rack during the partition. With overload control, fewer offers failed after its return.
    let offers_in_partition = |outcome: &Outcome| {
        outcome.impact.offers_by_slot[..2]
            .iter()
            .map(|offers| offers[4] + offers[5])
            .sum::<u32>()
    };
    assert_eq!(
        (
            offers_in_partition(&uncontrolled),
            offers_in_partition(&controlled)
        ),
        (0, 0),
        "{}",
        report(&controlled)
    );
    let abandoned = |outcome: &Outcome| outcome.impact.total(|second| second.abandoned_offers);
    assert!(
        abandoned(&controlled) * 2 < abandoned(&uncontrolled),
        "{}{}",
        report(&uncontrolled),
        report(&controlled)
    );
}
