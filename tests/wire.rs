//! Runs the simulator-adapter binary on made-up input and checks its replies and errors.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const BOOT: &str = "NEW_INSTANCE\t5\tcaps.cancel=true\tcaps.connect_timeout=250.0\tcaps.max_retry_after=3000.0\t\
caps.probing=true\tcaps.retry_after=true\tcaps.send_cap=3\tcaps.unheard_of=1\tfamily_info.accepts_memory=2.0\t\
family_info.class_kind=-1,-1\tfamily_info.class_most=3,3\tfamily_info.class_priority=0,1\t\
family_info.cores_multiple=2.5\tfamily_info.fades_over=0.25,0.15\tfamily_info.full_up_to=0.8,0.8\t\
family_info.kind_cores=33\tfamily_info.kind_memory=80.0\tfamily_info.lists_free=true\t\
family_info.make_sure=3000.0\tfamily_info.mean_memory=1.87\tfamily_info.measured_by=asked\t\
family_info.no_price=0.02\tfamily_info.preempts=false\tfamily_info.prompt_start_s=10.0,10.0\t\
family_info.spread_by=zone,off\tfamily_info.usual_cores=1.05\tfamily_info.yes_at=accepted\t\
family_info.young_limit=113.0\tlocality=north\tme=0\tmembership_mode=subscribe\tmodels=plain\tn_instances=3\t\
prices.cross_zone=0.03\trealms.count=1\trealms.0.name=ours\trealms.0.portion=1.0\treport.names=x0,x1\t\
report.via=on_probe\trules.ask_every=10000.0\trules.cold=14000.0\trules.cold_from=0.18\t\
rules.drain_grace=250.0\trules.grace_to_answer=8.0\trules.overload_factor=2.5\trules.overload_for=3000.0\t\
services.count=2\tservices.0.aim=800.0\tservices.0.hard_limit=6000.0\tservices.0.name=quick\t\
services.0.semantics=safe\tservices.0.worth=2.0\tservices.1.aim=1000.0\tservices.1.hard_limit=5000.0\t\
services.1.name=once\tservices.1.semantics=unsafe\tservices.1.worth=6.0\tstep=2.0\tzones=north,south";

const LIST: &str = "CATALOG\t0\t2\nM\t33\tnorth\tup\t1\tplain\t-\t0\t80\thost.a\n\
M\t33\tsouth\tup\t1\tplain\t-\t1\t80\thost.b\nBACKENDS_CHANGED\twarm_copy\t4\t0";

const TASK: &str =
    "TASK\tc:one\t-\tquick\t1\t2b8e6401d9f37c10\t91f03b7c55d20a64\t1.5\t0\t6000.0\t0\tours";

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("simulator-adapter does not start");
    // A write error is ignored: the adapter may exit on malformed input before it has read all of it.
    let _ = child
        .stdin
        .take()
        .expect("standard input is not piped")
        .write_all(input.as_bytes());
    child
        .wait_with_output()
        .expect("cannot read the output of simulator-adapter")
}

/// Returns the standard output of a run that must succeed.
fn replies_to(input: &str) -> String {
    let out = run(input);
    assert!(
        out.status.success(),
        "{}",
        String::from_utf8_lossy(&out.stderr)
    );
    String::from_utf8(out.stdout).expect("standard output is not UTF-8")
}

/// Returns the error line of a run that must fail. Its standard output must hold complete replies only.
fn error_for(input: &str) -> String {
    let out = run(input);
    assert!(
        !out.status.success(),
        "malformed input was accepted: {input}"
    );
    let stdout = String::from_utf8(out.stdout).expect("standard output is not UTF-8");
    assert!(
        stdout.is_empty() || stdout.ends_with("YIELD\n"),
        "incomplete reply: {stdout}"
    );
    let stderr = String::from_utf8(out.stderr).expect("standard error is not UTF-8");
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
    stderr
}

/// A batch that starts instance 0 and gives it an endpoint list.
fn start_batch() -> String {
    format!("BATCH\t1000.0\nINSTANCE\t0\n{BOOT}\n{LIST}\nEOB\n")
}

#[test]
fn empty_batch_gets_an_empty_reply_and_end_of_input_is_clean() {
    assert_eq!(replies_to("BATCH\t8412.25\nEOB\n"), "YIELD\n");
    assert_eq!(replies_to(""), "");
}

#[test]
fn task_events_are_accepted_from_request_to_end() {
    let first = replies_to(&format!(
        "{}BATCH\t1002.0\nINSTANCE\t0\n{TASK}\nEOB\n",
        start_batch()
    ));
    assert!(first.contains("TRACK\t1\n"), "{first}");
    let sent = first
        .lines()
        .find(|line| line.starts_with("PROPOSE\tc:one\thost."))
        .expect("no attempt was sent");
    let host = sent.split('\t').nth(2).expect("the attempt names no host");
    let more = format!(
        "{}BATCH\t1002.0\nINSTANCE\t0\n{TASK}\nEOB\nBATCH\t1004.0\nINSTANCE\t0\nCONFIRMED\tc:one\t0\t{host}\t2.0\n\
         INTERIM\tc:one\t0\t{host}\t2\t0.5\nINTERIM\tc:one\t0\t{host}\t9\t0.5\nPEER_DATA\t1\taGkgNw==\n\
         STATUS_BACK\t100\t3.0\t{host}\t20.5,60\nSTATUS_BACK\t303\t3.0\t{host}\t-\n\
         RESULT\tc:one\t100\t1\t-\t0\t18.5\t{host}\t-\nABANDONED\tc:one\nTIMER\t77\nEOB\n",
        start_batch()
    );
    let all = replies_to(&more);
    assert_eq!(all.matches("YIELD\n").count(), 3);
    assert_eq!(all.matches("PROPOSE").count(), 1);
}

#[test]
fn each_outcome_is_parsed_and_only_completion_prevents_a_retry() {
    for how in ["100", "301", "302", "303", "304", "305", "306", "307"] {
        let first = replies_to(&format!(
            "{}BATCH\t1002.0\nINSTANCE\t0\n{TASK}\nEOB\n",
            start_batch()
        ));
        let sent = first
            .lines()
            .find(|line| line.starts_with("PROPOSE"))
            .expect("no attempt was sent");
        let host = sent.split('\t').nth(2).expect("the attempt names no host");
        let done = u8::from(how == "100");
        let all = replies_to(&format!(
            "{}BATCH\t1002.0\nINSTANCE\t0\n{TASK}\nEOB\nBATCH\t1100.0\nINSTANCE\t0\n\
             RESULT\tc:one\t{how}\t{done}\t1\t0\t98.0\t{host}\t1,2\nEOB\n",
            start_batch()
        ));
        let attempts = all.matches("PROPOSE").count();
        assert_eq!(attempts, if how == "100" { 1 } else { 2 }, "{how}: {all}");
    }
}

#[test]
fn instances_in_one_process_are_independent() {
    let lines_for = |n: u32| {
        format!("INSTANCE\t{n}\n{BOOT}\n{LIST}\n")
            + &TASK.replace("c:one", &format!("c:t{n}"))
            + "\n"
    };
    let joint = replies_to(&format!(
        "BATCH\t1000.0\n{}{}EOB\n",
        lines_for(0),
        lines_for(1)
    ));
    let alone: Vec<String> = (0..2)
        .map(|n| replies_to(&format!("BATCH\t1000.0\n{}EOB\n", lines_for(n))))
        .collect();
    let without_yield = |reply: &str| reply.replace("YIELD\n", "");
    assert_eq!(
        without_yield(&joint),
        without_yield(&alone[0]) + &without_yield(&alone[1])
    );
}

#[test]
fn reused_list_number_refers_to_the_latest_list() {
    let input = format!(
        "BATCH\t1000.0\nINSTANCE\t0\n{BOOT}\n{LIST}\nCATALOG\t0\t1\nM\t33\tnorth\tup\t1\tplain\t-\t0\t80\thost.z\n\
         BACKENDS_CHANGED\ttotal\t5\t0\n{TASK}\nEOB\n"
    );
    assert!(replies_to(&input).contains("PROPOSE\tc:one\thost.z"));
}

#[test]
fn running_task_and_stop_are_accepted() {
    let standing = "STANDING\tc:old\tonce\tours\t91f03b7c55d20a64\t240.0\t12.0\t2b8e6401d9f37c10\t2\t1.5\t0\t0\thost.a";
    let all = replies_to(&format!(
        "{}BATCH\t1002.0\nINSTANCE\t0\n{standing}\nSTOP\nEOB\n",
        start_batch()
    ));
    assert_eq!(all.matches("YIELD").count(), 2);
    let after = format!(
        "{}BATCH\t1002.0\nINSTANCE\t0\nSTOP\nTIMER\t1\nEOB\n",
        start_batch()
    );
    assert!(error_for(&after).contains("placer"));
}

#[test]
fn error_for_malformed_input_names_the_line_and_the_field() {
    let start = start_batch();
    let at = start.lines().count() + 3;
    let cases = [
        (TASK.replace("6000.0", "soon"), "budget"),
        (TASK.replace("quick", "slow"), "qos"),
        (TASK.replace("2b8e6401d9f37c10", "xyz"), "app"),
        (TASK.replace("\tours", "\ttheirs"), "billing"),
        ("CONFIRMED\tc:one\t0".to_string(), "message"),
        (
            "RESULT\tc:one\t999\t0\t-\t0\t1.0\thost.a\t-".to_string(),
            "how",
        ),
        (
            "RESULT\tc:one\t303\tmaybe\t-\t0\t1.0\thost.a\t-".to_string(),
            "complete",
        ),
        (
            "RESULT\tc:one\t303\t0\t-\t0\t1.0\thost.a\t1,x".to_string(),
            "load",
        ),
        ("BACKENDS_CHANGED\ttotal\t3\t9".to_string(), "list"),
        ("BACKENDS_CHANGED\tsome\t3\t0".to_string(), "mode"),
        ("TIMER\t-4".to_string(), "mark"),
        ("WHATEVER\t1".to_string(), "message"),
        ("BATCH\t4.0".to_string(), "BATCH"),
    ];
    for (line, field) in cases {
        let error = error_for(&format!("{start}BATCH\t1002.0\nINSTANCE\t0\n{line}\nEOB\n"));
        assert!(error.contains(&format!("line {at}:")), "{line}: {error}");
        assert!(
            error.contains(&format!("field {field}:")),
            "{line}: {error}"
        );
    }
    assert!(
        error_for(&format!("{start}BATCH\t1002.0\nINSTANCE\t6\n{TASK}\nEOB\n")).contains("placer")
    );
    assert!(error_for(&format!("{start}BATCH\t1002.0\n{TASK}\nEOB\n")).contains("placer"));
    assert!(error_for("TIMER\t1\n").contains("line 1"));
    assert!(error_for("BATCH\tnan\nEOB\n").contains("clock"));
    assert!(error_for("BATCH\t1.0\nCATALOG\t0\t2\nM\t33\n").contains("EOB"));
    assert!(error_for("BATCH\t1.0\nCATALOG\t0\t2\nEOB\n").contains("elements"));
    assert!(error_for(&format!("{start}BATCH\t1002.0\n")).contains("EOB"));
}

#[test]
fn unknown_settings_are_ignored_and_missing_or_bad_ones_are_reported() {
    let without = start_batch().replace("\tcaps.send_cap=3", "");
    assert!(error_for(&without).contains("caps.send_cap"));
    assert!(
        error_for(&start_batch().replace("rules.cold=14000.0", "rules.cold=x"))
            .contains("rules.cold")
    );
    assert!(
        error_for(&start_batch().replace("services.0.semantics=safe", "services.0.semantics=odd"))
            .contains("semantics")
    );
}
