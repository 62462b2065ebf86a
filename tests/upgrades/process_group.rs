//! Processes that find each other, share the limits of the placer, and leave in turn.

use super::*;

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn leaving_process_answers_accepted_requests_and_its_successor_accepts_the_rest() {
    let (mut feed, hosts) = (Feed::new(), [Host::new("h0", "north")]);
    let processes = Processes::of(single_placer_config(&feed, vec![hosts[0].entry("up", 0)]));
    let (mut old, admin) = processes.start();
    assert_eq!(feed.accept_subscription(), 1);
    feed.send(&json!({ "n": 1 }));
    let mut connection = hosts[0].accept();
    let (mut running, mut busy, mut idle) = (old.client(), old.client(), old.client());
    running.request_task(1, &IDEMPOTENT_TASK);
    let running_task = connection.expect_offer();
    connection.report_running(&running_task);
    assert_eq!(running.expect_message().kind, 9);
    busy.request_task(2, &NON_IDEMPOTENT_TASK);
    let open = connection.expect_offer();
    assert!(idle.health_check());

    let (mut new, second) = processes.start();
    // The two processes find each other and count as one placer.
    old.wait_for_log("others=1");
    new.wait_for_log("others=1");
    old.terminate();
    old.wait_for_log("phase=\"shutting-down\"");
    assert_eq!(
        idle.next_message(),
        None,
        "a connection without a task is closed"
    );
    assert!(running.health_check(), "the placer as a whole serves");
    assert!(
        !admin.is_healthy() && second.is_healthy(),
        "only the new process serves"
    );
    for command in ["drain-on", "drain-off"] {
        assert_eq!(
            admin.request(command),
            "fail the process ends\n",
            "{command}"
        );
    }
    // The new process accepts new connections.
    let mut next_conn = hosts[0].accept();
    let mut late = new.client();
    late.request_task(
        3,
        &TaskRequest {
            service: 8,
            ..IDEMPOTENT_TASK
        },
    );
    let id = next_conn.expect_offer();
    next_conn.report_running(&id);
    assert_eq!((late.expect_message().kind, late.health_check()), (9, true));
    // The old process sends responses and task ends for its open requests and tasks on its connections.
    connection.report_ended(&running_task, 16, "");
    let end = running.expect_message();
    assert_eq!((end.kind, end.id), (12, 1));
    running.acknowledge_end(1);
    assert!(old.is_running(), "a response is pending");
    connection.report_running(&open);
    assert_eq!(busy.expect_message().kind, 9);
    let ending = Instant::now();
    assert!(old.wait_exit().success());
    assert!(
        ending.elapsed() < Duration::from_secs(1),
        "the process did not exit promptly after its last response: {:?}",
        ending.elapsed()
    );
    assert_eq!(busy.next_message(), None);
    new.wait_for_log("others=0");
    // A client adopts its running task through the new process.
    late.request_task(
        2,
        &TaskRequest {
            running_at: Some("h0"),
            ..NON_IDEMPOTENT_TASK
        },
    );
    assert!(late.health_check());
    next_conn.report_ended(&open, 16, "");
    let end = late.expect_message();
    assert_eq!((end.kind, end.id), (12, 2));
    // In the next upgrade, the new process and its successor find each other.
    let (last, _) = processes.start();
    last.wait_for_log("others=1");
    assert!(new.is_running());
}

#[test]
fn two_processes_share_the_slow_start_budget_of_one_placer() {
    let (mut feed, host) = (Feed::new(), Host::new("h0", "north"));
    // The host tolerates 3 offers per second. One placer sends two of these, so each of its two processes sends one.
    let processes = Processes::of(single_placer_config(&feed, vec![host.entry("draining", 0)]));
    let ((first, _), (other, _)) = (processes.start(), processes.start());
    first.wait_for_log("others=1");
    other.wait_for_log("others=1");
    // The host starts after both processes, since a process does not know what the other sent before it started.
    let starts = format!(
        "{}\n",
        endpoint_event(2, UpdateKind::Delta, vec![host.entry("up", unix_ms())]).encode()
    );
    let _subscriptions = [0; 2].map(|_| {
        assert_eq!(feed.accept_subscription(), 1);
        let mut subscription = feed.take_subscription().expect("a subscription");
        subscription
            .write_all(starts.as_bytes())
            .expect("the peer reads");
        subscription
    });
    let mut connections = [host.accept(), host.accept()];
    let mut client = first.client();
    for id in 1..6 {
        client.request_task(
            id,
            &TaskRequest {
                service: id,
                ..IDEMPOTENT_TASK
            },
        );
    }
    let mut offers = 0;
    while connections
        .iter_mut()
        .any(|connection| connection.read_within(QUIET_PERIOD / 2).is_some())
    {
        offers += 1;
    }
    assert_eq!(offers, 1, "{}{}", first.log(), other.log());
}

#[test]
fn inherited_descriptor_that_does_not_listen_is_rejected() {
    let feed = Feed::new();
    let (config, _) = with_admin_socket(single_placer_config(&feed, Vec::new()));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    for (number, expected) in [
        ("5", "listens on"),
        ("4", "LB_ACCEPT_FD: 4: "),
        ("five", "LB_ACCEPT_FD: five: "),
    ] {
        let out = Launch::new(&config)
            .inherit_listener(&listener)
            .env("LB_ACCEPT_FD", number)
            .output();
        let output = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(
            !out.status.success() && output.contains(expected),
            "{number}: {output}"
        );
    }
}

#[test]
fn process_without_contact_to_peers_serves_and_logs_it_once() {
    let feed = Feed::new();
    let (mut config, admin) = with_admin_socket(single_placer_config(&feed, Vec::new()));
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    config.insert("listen", address).expect("an object");
    let program = Launch::new(&config)
        .inherit_listener(&listener)
        .env("TMPDIR", "/nowhere/at/all")
        .start();
    wait_for("the placer serves", || admin.is_healthy().then_some(()));
    program.wait_for_log("cannot reach the other processes of this placer");
    std::thread::sleep(QUIET_PERIOD);
    assert_eq!(
        program
            .log()
            .matches("cannot reach the other processes of this placer")
            .count(),
        1,
        "{}",
        program.log()
    );
}
