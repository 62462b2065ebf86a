//! Tests of a placer's drain: what it closes, what it waits for, and how it ends or is cancelled.

use super::*;

#[test]
fn second_signal_ends_a_drain_like_a_plain_sigterm() {
    let mut deployment = start("notice = \"60s\"\nsettle = \"1s\"");
    wait_for("polled", || {
        agent(deployment.agent)
            .starts_with("up ready 100%")
            .then_some(())
    });
    let mut client = deployment.program.client();
    client.request_task(1, &IDEMPOTENT_TASK);
    let id = deployment.connections[0].expect_offer();
    deployment.program.terminate();
    wait_for("draining", || {
        agent(deployment.agent)
            .starts_with("up drain")
            .then_some(())
    });
    deployment.program.terminate();
    // The host never responds, so the request is rejected in time for the exit.
    let answer = client.expect_message();
    assert_eq!((answer.kind, answer.id, answer.cause()), (12, 1, 42));
    assert_eq!(
        deployment.connections[0].expect("down").get_str("ref"),
        Some(id.as_str())
    );
    assert_eq!(
        deployment.program.wait_exit_within(8 * SECOND).code(),
        Some(0)
    );
    assert!(
        deployment
            .program
            .log()
            .contains("reason=\"second-signal\"")
    );
}

#[test]
fn ready_cancels_a_drain_even_after_sigterm() {
    let mut deployment = start("notice = \"60s\"\nsettle = \"30s\"");
    wait_for("polled", || {
        agent(deployment.agent)
            .starts_with("up ready 100%")
            .then_some(())
    });
    deployment.program.terminate();
    wait_for("draining", || {
        agent(deployment.agent)
            .starts_with("up drain")
            .then_some(())
    });
    assert!(ctl(&deployment.socket, &["ready"]).0);
    assert!(agent(deployment.agent).starts_with("up ready"));
    // Waits for longer than a drain takes when no load balancer polls the placer.
    std::thread::sleep(3 * SECOND);
    assert!(deployment.program.is_running());
    let mut client = deployment.program.client();
    client.request_task(1, &IDEMPOTENT_TASK);
    assert_eq!(deployment.connections[0].expect_offer(), hex(1));
    deployment.connections[0].report_running(&hex(1));
    assert_eq!(client.expect_message().kind, 9);
}

#[test]
fn drain_completes_during_the_start_and_with_the_feed_down() {
    let mut deployment = start("settle = \"100ms\"\nquiet = \"300ms\"");
    drop(deployment.feed.take_subscription());
    drop(deployment.feed);
    deployment.program.terminate();
    assert_eq!(deployment.program.wait_exit().code(), Some(0));
    let log = deployment.program.log();
    assert!(
        log.contains("from=starting to=drain") && log.contains("from=drain to=stopped"),
        "{log}"
    );
}

#[test]
fn drain_closes_idle_connections_and_names_running_tasks_at_its_limit() {
    let mut deployment = start("settle = \"100ms\"\nquiet = \"300ms\"\nstanding = \"2s\"");
    let (mut idle, mut busy, mut standing) = (
        deployment.program.client(),
        deployment.program.client(),
        deployment.program.client(),
    );
    assert!(idle.health_check());
    for (client, id) in [(&mut standing, 1), (&mut busy, 2)] {
        client.request_task(id, &IDEMPOTENT_TASK);
        assert_eq!(deployment.connections[0].expect_offer(), hex(id));
    }
    deployment.connections[0].report_running(&hex(1));
    assert_eq!(standing.expect_message().kind, 9);
    deployment.program.terminate();
    assert_eq!(
        idle.next_message(),
        None,
        "idle connections are closed without a message"
    );
    // Accepted requests still get a response, and the end of a task is sent on the connection that is kept open for it.
    deployment.connections[0].report_running(&hex(2));
    assert_eq!(busy.expect_message().kind, 9);
    // Two later connections are closed while `busy` stays open, which shows that earlier sweeps have left it open.
    for _ in 0..2 {
        let mut later = deployment.program.client();
        assert!(
            !later.health_check(),
            "a draining placer fails health checks"
        );
        assert_eq!(later.next_message(), None);
    }
    deployment.connections[0].report_ended(&hex(2), 16, "");
    let end = busy.expect_message();
    assert_eq!((end.id, end.cause()), (2, 16));
    busy.acknowledge_end(2);
    assert_eq!(deployment.program.wait_exit().code(), Some(0));
    let log = deployment.program.log();
    assert!(
        log.contains(&format!("task still running at exit task={}", hex(1)))
            && log.contains("reason=\"standing-bound\""),
        "{log}"
    );
    assert!(log.contains("reason=draining"), "{log}");
}

#[test]
fn client_that_never_reads_does_not_delay_a_drain() {
    let mut deployment = start("settle = \"100ms\"\nquiet = \"300ms\"\nstanding = \"3s\"");
    let mut non_reading = deployment.program.client();
    // The results of health checks fill the client's connection until the placer's writes block.
    let test = emulator::encode_message(52, 0xfe, &[(171, &[0])]);
    non_reading
        .0
        .set_nonblocking(true)
        .expect("cannot make the socket non-blocking");
    let started = Instant::now();
    while started.elapsed() < 2 * SECOND {
        if non_reading.0.write(&test).is_err() {
            std::thread::sleep(Duration::from_millis(1));
        }
    }
    deployment.program.terminate();
    assert_eq!(
        deployment.program.wait_exit_within(20 * SECOND).code(),
        Some(0),
        "{}",
        deployment.program.log()
    );
}
