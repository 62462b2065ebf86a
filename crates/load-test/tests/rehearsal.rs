//! Rehearsals on loopback with the real placer, short enough for CI.

use emulator::cluster::describe;
use emulator::host_model::{Micros, Offer};
use emulator::{Message, encode_message};
use load_test::outcome::Outcome;
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

/// The placer, built on the way where the test runs alone. A lock keeps the runs apart: each needs the cores.
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

fn rehearse(plan: &str) -> (Outcome, tempfile::TempDir) {
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

fn clean(outcome: &Outcome) {
    assert!(outcome.findings.is_empty(), "{}", findings_text(outcome, 3));
}

/// Short lives, so that the end of a run is not far.
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
fn eight_a_second_rising_to_forty_is_answered_and_counted_as_an_independent_count_has_it() {
    let plan = format!(
        "seed = 5\n[arrivals]\nshape = \"8/s for 3s, rise to 40/s over 2s, hold 3s\"\n{CLASSES}"
    );
    let (outcome, _folder) = rehearse(&plan);
    clean(&outcome);
    let summary = summarize(&outcome);
    assert!(
        outcome.tasks.len() > 120 && outcome.tasks.iter().all(|t| t.started.is_some()),
        "{}",
        summary_text(&summary, &outcome)
    );
    // Counted again from the raw times, by sorting: within the histogram's resolution, one in a thousand.
    let mut raw: Vec<Micros> = outcome.tasks.iter().filter_map(|t| t.started).collect();
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
fn tasks_due_while_a_placer_stands_still_are_as_late_as_they_were() {
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
    let (outcome, _folder) = rehearse(plan);
    clean(&outcome);
    let within = |from: Micros, to: Micros| {
        outcome
            .tasks
            .iter()
            .filter(move |t| (from * MILLI..to * MILLI).contains(&t.arrival.due))
    };
    // All that were due in the stall are there. The director acts up to its look late.
    let stalled: Vec<Micros> = within(1_600, 2_450).filter_map(|t| t.started).collect();
    assert_eq!(
        (within(1_500, 2_500).count(), stalled.len()),
        (40, within(1_600, 2_450).count())
    );
    for task in within(1_600, 2_450) {
        // It could not start before the placer went on.
        let least = 2_500 * MILLI - task.arrival.due - 20 * MILLI;
        let started = task.started.expect("a start");
        assert!(
            started >= least && started < least + 1_200 * MILLI,
            "due {}: {started}",
            task.arrival.due
        );
    }
    // What a closed loop sees: one request at a time, the next when the one before is answered.
    let mut closed = Vec::new();
    let mut at = 0;
    while let Some(task) = outcome.tasks.iter().find(|t| t.arrival.due >= at) {
        let started = task.started.expect("a start");
        closed.push(started);
        at = task.arrival.due + started.max(25 * MILLI);
    }
    let over = |all: &[Micros]| all.iter().filter(|after| **after > 500 * MILLI).count();
    let open: Vec<Micros> = outcome.tasks.iter().filter_map(|t| t.started).collect();
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
fn killed_restarted_and_drained_placers_dying_hosts_and_broken_feeds_leave_the_audit_clean() {
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
    let (outcome, _folder) = rehearse(&plan);
    clean(&outcome);
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
fn the_same_faults_with_a_rule_broken_on_purpose_are_found() {
    // The audit of a real run, with one answer planted that no host gave.
    let plan = format!("seed = 5\n[arrivals]\nshape = \"8/s for 2s\"\n{CLASSES}");
    let (outcome, folder) = rehearse(&plan);
    clean(&outcome);
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
fn a_placer_ends_with_the_keeper_that_was_killed() {
    // The guard becomes a program that would run for ever; its keeper is killed.
    let guard = env!("CARGO_BIN_EXE_load-test");
    let script = format!("{guard} guard /usr/bin/yes > /dev/null & echo $!; wait");
    let mut keeper = std::process::Command::new("sh")
        .args(["-c", &script])
        .stdout(std::process::Stdio::piped())
        .spawn()
        .expect("a shell");
    let mut line = String::new();
    std::io::BufRead::read_line(
        &mut std::io::BufReader::new(keeper.stdout.take().expect("a pipe")),
        &mut line,
    )
    .expect("a line");
    let path = PathBuf::from(format!("/proc/{}/comm", line.trim()));
    emulator::wait_for("it runs", || {
        std::fs::read_to_string(&path)
            .ok()
            .filter(|name| name.trim() == "yes")
    });
    keeper.kill().expect("a child");
    keeper.wait().expect("a child");
    emulator::wait_for("it has ended", || (!path.exists()).then_some(()));
}

/// A placer of the test's own, in a few lines: it answers each set-up after 30 ms, on threads, and counts
/// with a clock of its own. The generator's figures must agree with it.
#[test]
fn what_the_generator_counts_agrees_with_a_peer_that_counts_for_itself() {
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
fn clients_that_go_by_agents_lose_nothing_when_a_placer_drains() {
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
    let (outcome, folder) = rehearse(&plan);
    clean(&outcome);
    let log = std::fs::read_to_string(folder.path().join("placer-1.log")).expect("a log");
    assert!(
        log.contains("phase=\"drained\"") && log.matches("serves").count() == 2,
        "{log}"
    );
    // A drain breaks nothing, so nobody had to come again for it.
    assert!(
        outcome.tasks.iter().all(|task| task.started.is_some()),
        "{}",
        summary_text(&summarize(&outcome), &outcome)
    );
    assert_eq!(outcome.counts.failed_attempts, 0, "{:?}", outcome.counts);
}

// The connections of a placer to its hosts come from a bounded pool: what it needs less makes way.
#[test]
fn four_hundred_hosts_are_served_with_two_hundred_and_fifty_six_descriptors() {
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
    let (outcome, folder) = rehearse(&plan);
    clean(&outcome);
    let started = outcome
        .tasks
        .iter()
        .filter(|task| task.started.is_some())
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

/// Everything of `[overload]`, for a plan.
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

/// A crowd at six hosts that start about 200 a second, with six placers.
fn crowd(operator: &str) -> String {
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

/// Three placers are killed in the crowd and come back, another is stopped in bursts, a host falls silent.
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
fn a_crowd_with_placers_killed_and_stopped_in_it_is_shed_as_one_and_over_with_it() {
    let (before, _folder) = rehearse(&format!("{}{TROUBLES}", crowd("")));
    let (as_one, folder) = rehearse(&format!("{}{TROUBLES}", crowd(AS_ONE)));
    clean(&before);
    clean(&as_one);
    let after = |outcome: &Outcome| {
        summarize(outcome)
            .group("phase after")
            .map_or(0.0, |g| g.share())
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

/// A plan of the repository, with the parts of its operator's file on or off.
fn plan_file(name: &str, as_one: bool) -> String {
    let path = format!("{}/../../plans/{name}.toml", env!("CARGO_MANIFEST_DIR"));
    let text = std::fs::read_to_string(path).expect("a plan");
    if as_one {
        text
    } else {
        text.replace("enabled = true", "enabled = false")
    }
}

/// The part of the tasks due in a phase that started in aim, of those that `which` picks by their placer.
fn in_aim(outcome: &Outcome, phase: &str, which: impl Fn(Option<usize>) -> bool) -> f64 {
    let number = outcome
        .profile
        .phases
        .iter()
        .position(|p| p.name == phase)
        .expect("a phase");
    let of = outcome
        .tasks
        .iter()
        .filter(|task| task.phase == number && which(task.placer));
    let (count, good) = of.fold((0, 0), |(count, good), task| {
        (
            count + 1,
            good + usize::from(task.started.is_some_and(|late| late <= 1_000 * MILLI)),
        )
    });
    assert!(count > 50, "{phase}: {count} tasks");
    good as f64 / count as f64
}

#[test]
fn one_placer_with_bad_links_to_half_of_the_hosts_is_not_taken_for_the_fleet() {
    let (outcome, folder) = rehearse(&plan_file("one-bad-placer", true));
    clean(&outcome);
    let told = || {
        format!(
            "{}{}",
            summary_text(&summarize(&outcome), &outcome),
            impact_text(&outcome.impact)
        )
    };
    assert!(
        in_aim(&outcome, "bad", |placer| placer != Some(0)) > 0.95,
        "{}",
        told()
    );
    assert!(in_aim(&outcome, "after", |_| true) > 0.95, "{}", told());
    for n in 0..6 {
        let log =
            std::fs::read_to_string(folder.path().join(format!("placer-{n}.log"))).expect("a log");
        assert!(!log.contains("overload-step"), "placer {n} sheds: {log}");
    }
    // The links were bad: what was offered there came to nothing in time.
    assert!(
        outcome.counts.retries > 0 || outcome.impact.total(|second| second.abandoned_offers) > 0,
        "{}",
        told()
    );
}

#[test]
fn a_rack_cut_off_from_every_placer_and_back_at_once_is_no_second_trouble() {
    let (before, _folder) = rehearse(&plan_file("rack-cut", false));
    let (as_one, _folder) = rehearse(&plan_file("rack-cut", true));
    clean(&before);
    clean(&as_one);
    let told = |outcome: &Outcome| {
        format!(
            "{}{}",
            summary_text(&summarize(outcome), outcome),
            impact_text(&outcome.impact)
        )
    };
    let after = |outcome: &Outcome| in_aim(outcome, "after", |_| true);
    assert!(after(&as_one) > 0.95, "{}", told(&as_one));
    assert!(
        after(&as_one) > after(&before) + 0.1,
        "{}{}",
        told(&before),
        told(&as_one)
    );
    // Nothing came to the rack while it was cut off, and less came in vain when it was back.
    let cut = |outcome: &Outcome| {
        outcome.impact.offers_by_slot[..2]
            .iter()
            .map(|line| line[4] + line[5])
            .sum::<u32>()
    };
    assert_eq!((cut(&before), cut(&as_one)), (0, 0), "{}", told(&as_one));
    let vain = |outcome: &Outcome| outcome.impact.total(|second| second.abandoned_offers);
    assert!(
        vain(&as_one) < vain(&before),
        "{}{}",
        told(&before),
        told(&as_one)
    );
}
