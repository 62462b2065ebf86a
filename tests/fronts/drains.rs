//! Drains.

use super::*;

#[test]
fn second_signal_ends_a_drain_like_a_plain_sigterm() {
    let mut fronts = start("notice = \"60s\"\nsettle = \"1s\"");
    wait_for("polled", || {
        agent(fronts.agent)
            .starts_with("up ready 100%")
            .then_some(())
    });
    let mut client = fronts.program.client();
    client.request_task(1, &IDEMPOTENT_TASK);
    let id = fronts.connections[0].expect_offer();
    fronts.program.terminate();
    wait_for("draining", || {
        agent(fronts.agent).starts_with("up drain").then_some(())
    });
    fronts.program.terminate();
    // The host never answers: the module gives the ask up in time for the end.
    let answer = client.expect_message();
    assert_eq!((answer.kind, answer.id, answer.cause()), (12, 1, 42));
    assert_eq!(
        fronts.connections[0].expect("down").get_str("ref"),
        Some(id.as_str())
    );
    assert_eq!(fronts.program.wait_exit_within(8 * SECOND).code(), Some(0));
    assert!(fronts.program.log().contains("reason=\"second-signal\""));
}

#[test]
fn ready_cancels_a_drain_even_after_sigterm() {
    let mut fronts = start("notice = \"60s\"\nsettle = \"30s\"");
    wait_for("polled", || {
        agent(fronts.agent)
            .starts_with("up ready 100%")
            .then_some(())
    });
    fronts.program.terminate();
    wait_for("draining", || {
        agent(fronts.agent).starts_with("up drain").then_some(())
    });
    assert!(ctl(&fronts.socket, &["ready"]).0);
    assert!(agent(fronts.agent).starts_with("up ready"));
    // Well beyond where a drain with nobody polling would have ended.
    std::thread::sleep(3 * SECOND);
    assert!(fronts.program.is_running());
    let mut client = fronts.program.client();
    client.request_task(1, &IDEMPOTENT_TASK);
    assert_eq!(fronts.connections[0].expect_offer(), hex(1));
    fronts.connections[0].report_running(&hex(1));
    assert_eq!(client.expect_message().kind, 9);
}

#[test]
fn drain_completes_during_the_start_and_with_the_feed_down() {
    let mut fronts = start("settle = \"100ms\"\nquiet = \"300ms\"");
    drop(fronts.feed.take_subscription());
    drop(fronts.feed);
    fronts.program.terminate();
    assert_eq!(fronts.program.wait_exit().code(), Some(0));
    let log = fronts.program.log();
    assert!(
        log.contains("from=starting to=drain") && log.contains("from=drain to=stopped"),
        "{log}"
    );
}

#[test]
fn drain_closes_idle_connections_and_names_running_tasks_at_its_limit() {
    let mut fronts = start("settle = \"100ms\"\nquiet = \"300ms\"\nstanding = \"2s\"");
    let (mut idle, mut busy, mut standing) = (
        fronts.program.client(),
        fronts.program.client(),
        fronts.program.client(),
    );
    assert!(idle.health_check());
    for (client, id) in [(&mut standing, 1), (&mut busy, 2)] {
        client.request_task(id, &IDEMPOTENT_TASK);
        assert_eq!(fronts.connections[0].expect_offer(), hex(id));
    }
    fronts.connections[0].report_running(&hex(1));
    assert_eq!(standing.expect_message().kind, 9);
    fronts.program.terminate();
    assert_eq!(idle.next_message(), None, "closed politely");
    // What was taken is still answered, and its end told on the connection that is kept for it.
    fronts.connections[0].report_running(&hex(2));
    assert_eq!(busy.expect_message().kind, 9);
    // Two that came later are closed before it: sweeps have passed that left it.
    for _ in 0..2 {
        let mut later = fronts.program.client();
        assert!(!later.health_check(), "a placer that drains passes no test");
        assert_eq!(later.next_message(), None);
    }
    fronts.connections[0].report_ended(&hex(2), 16, "");
    let end = busy.expect_message();
    assert_eq!((end.id, end.cause()), (2, 16));
    busy.acknowledge_end(2);
    assert_eq!(fronts.program.wait_exit().code(), Some(0));
    let log = fronts.program.log();
    assert!(
        log.contains(&format!("left standing task={}", hex(1)))
            && log.contains("reason=\"standing-bound\""),
        "{log}"
    );
    assert!(log.contains("reason=draining"), "{log}");
}

#[test]
fn client_that_never_reads_does_not_delay_a_drain() {
    let mut fronts = start("settle = \"100ms\"\nquiet = \"300ms\"\nstanding = \"3s\"");
    let mut deaf = fronts.program.client();
    // Answers to tests fill its connection until nothing more goes.
    let test = emulator::encode_message(52, 0xfe, &[(171, &[0])]);
    deaf.0.set_nonblocking(true).expect("a socket option");
    let begun = Instant::now();
    while begun.elapsed() < 2 * SECOND {
        if deaf.0.write(&test).is_err() {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
    fronts.program.terminate();
    assert_eq!(
        fronts.program.wait_exit_within(20 * SECOND).code(),
        Some(0),
        "{}",
        fronts.program.log()
    );
}
