//! Tests of the start and the shutdown of the process.

use super::*;

#[test]
fn request_partially_read_at_shutdown_is_answered() {
    let (mut program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = checked_client(&program);
    let message = encode_task_request(1, &request(1), "half");
    let (first_half, rest) = message.split_at(message.len() / 2);
    client.send(first_half);
    assert!(checked_client(&program).health_check());
    program.terminate();
    program.wait_for_log("closing");
    client.send(rest);
    assert_eq!(connections[0].expect_offer(), hex(1));
    connections[0].report_running(&hex(1));
    assert_eq!(client.expect_message().kind, 9);
    // A second SIGTERM and a reload of an invalid configuration have no effect.
    program.terminate();
    program.reload("{");
    program.wait_for_log("cannot reload configuration");
    assert!(program.wait_exit().success());
}

// The end of a task is reported during the shutdown, and its client has to be notified before the exit.
#[test]
fn task_end_during_shutdown_is_notified() {
    let (mut program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = checked_client(&program);
    client.request_task(1, &request(1));
    let id = connections[0].expect_offer();
    connections[0].report_running(&id);
    assert_eq!(client.expect_message().kind, 9);
    program.terminate();
    program.wait_for_log("closing");
    program.while_stopped(|| connections[0].report_ended(&id, 16, ""));
    let end = client.expect_message();
    assert_eq!((end.kind, end.id, end.cause()), (12, 1, 16));
    assert!(program.wait_exit().success());
}

// Regression: a single system call that failed temporarily ended the start, although it would have succeeded a moment
// later. The last line of the log was `can't serve` with the system's message for a lack of descriptors.
#[test]
fn start_waits_for_what_the_system_lacks_for_a_moment() {
    let mut feed = Feed::new();
    let host = Host::new("h0", "north");
    let config = single_placer_config(&feed, vec![host.entry("up", 0)]);
    // These are enough descriptors for the event loop, but not for the signal handling as well.
    let program = Launch::new(&config).descriptors(12).start();
    wait_for("the event loop to start", || {
        (program.descriptors() >= 6).then_some(())
    });
    program.set_descriptor_limit(256);
    assert_eq!(feed.accept_subscription(), 1);
    assert!(checked_client(&program).health_check());
}

/// Starts a program whose configuration is a pipe. Once the pipe can be opened for writing, the program has begun to
/// read it.
fn start_reading_from_a_pipe(config: &simd_json::OwnedValue) -> (Program, std::path::PathBuf) {
    let pipe = temp_path("pipe");
    let status = std::process::Command::new("mkfifo").arg(&pipe).status();
    assert!(status.expect("failed to run mkfifo").success());
    (
        Launch::new(config)
            .env("LB_CONFIG", &pipe.to_string_lossy())
            .start(),
        pipe,
    )
}

// SIGTERM arrives when the program has just begun to read its configuration. It has to finish the start and then shut
// down gracefully.
#[test]
fn sigterm_during_the_start_shuts_down_gracefully() {
    let feed = Feed::new();
    let host = Host::new("h0", "north");
    let config = single_placer_config(&feed, vec![host.entry("up", 0)]);
    let (mut program, pipe) = start_reading_from_a_pipe(&config);
    let mut file = OpenOptions::new()
        .write(true)
        .open(&pipe)
        .expect("failed to write the configuration to the pipe");
    program.terminate();
    file.write_all(config.encode().as_bytes())
        .expect("failed to write the configuration to the pipe");
    drop(file);
    // A client that connects in the meantime is answered.
    let mut client = program.client();
    client.request_task(1, &request(1));
    let mut connection = host.accept();
    let id = connection.expect_offer();
    connection.report_running(&id);
    assert_eq!(client.expect_message().kind, 9);
    assert!(program.wait_exit().success());
    let _ = std::fs::remove_file(&pipe);
}

// Far more requests arrive than can be placed, while other clients send malformed messages.
#[test]
fn every_request_of_a_flood_gets_one_answer_in_time() {
    let mut feed = Feed::new();
    let host = Host::new("h0", "north");
    let config = single_placer_config(&feed, vec![host.entry("up", 0)]);
    let program = Program::start(&config);
    feed.accept_subscription();
    let _conn = host.accept();
    let mut valid_clients: Vec<Client> = (0..20).map(|_| checked_client(&program)).collect();
    let mut faulty_clients: Vec<Client> = (0..20).map(|_| checked_client(&program)).collect();
    let wait = Duration::from_millis(900);
    let start = Instant::now();
    for n in 0..30 {
        for (at, client) in valid_clients.iter_mut().enumerate() {
            let id = 1 + at as u64 * 100 + n;
            client.request_task(
                id,
                &TaskRequest {
                    wait_ms: 900,
                    ..request(id)
                },
            );
        }
        for client in &mut faulty_clients {
            let _ = client.0.write_all(&[0xff; 600]);
        }
    }
    let sent = start.elapsed();
    for client in &mut valid_clients {
        let mut ids: Vec<u64> = (0..30).map(|_| client.expect_message().id).collect();
        ids.sort_unstable();
        ids.dedup();
        assert_eq!(ids.len(), 30);
        assert!(
            start.elapsed() < sent + wait + Duration::from_millis(50),
            "an answer took {:?}, and sending took {sent:?}",
            start.elapsed()
        );
        assert!(client.health_check());
    }
}

// The platform kills a process 0.7 s after the longest client timeout, so the shutdown must have ended by then.
#[test]
fn shutdown_is_quick_with_short_client_timeouts() {
    let mut feed = Feed::new();
    let host = Host::new("h0", "north");
    let mut config = single_placer_config(&feed, vec![host.entry("up", 0)]);
    for class in 0..2 {
        config["settings"]["services"][class]["hard_limit"] = json!(200.0);
        config["settings"]["services"][class]["aim"] = json!(100.0);
    }
    let mut program = Program::start(&config);
    feed.accept_subscription();
    let mut client = checked_client(&program);
    let terminated_at = Instant::now();
    program.terminate();
    program.wait_for_log("closing");
    client.request_task(
        1,
        &TaskRequest {
            wait_ms: 200,
            ..request(1)
        },
    );
    assert_eq!(
        (client.expect_message().kind, client.next_message()),
        (12, None)
    );
    assert!(program.wait_exit().success());
    assert!(
        terminated_at.elapsed() < Duration::from_millis(900),
        "{:?}",
        terminated_at.elapsed()
    );
}

// The configuration is a pipe, so that the signal arrives when the program has just begun to read it.
#[test]
fn sighup_during_the_start_does_not_end_the_process() {
    let feed = Feed::new();
    let host = Host::new("h0", "north");
    let config = single_placer_config(&feed, vec![host.entry("up", 0)]);
    let (mut program, pipe) = start_reading_from_a_pipe(&config);
    let write = |file: std::io::Result<std::fs::File>| {
        file.and_then(|mut file| file.write_all(config.encode().as_bytes()))
            .expect("failed to write the configuration to the pipe");
    };
    let open = || OpenOptions::new().write(true).open(&pipe);
    let file = open();
    program.signal("-HUP");
    write(file);
    // Once the program listens, it has read the configuration, and the reload waits for a writer.
    let mut client = program.client();
    write(open());
    program.wait_for_log("configuration reloaded");
    assert!(client.health_check() && program.is_running());
    let _ = std::fs::remove_file(&pipe);
}

// A client that has seen the close sends a request that crossed it again elsewhere. If the request were also read here,
// its task could start twice.
#[test]
fn request_that_crosses_the_exit_is_neither_read_nor_offered() {
    let (mut program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = checked_client(&program);
    program.terminate();
    assert_eq!(
        client.next_message(),
        None,
        "the placer did not close the connection"
    );

    client.request_task(1, &NON_IDEMPOTENT_TASK);

    assert!(program.wait_exit().success());
    assert!(connections[0].read_within(QUIET_PERIOD).is_none());
}

// The client's timeout runs from when it sent the request, even while the placer is stopped and cannot read it.
#[test]
fn time_in_which_the_placer_was_stopped_is_not_passed_to_a_host() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = checked_client(&program);
    let (wait, stop_time) = (Duration::from_secs(3), Duration::from_millis(800));
    let slack = Duration::from_millis(150);
    let mut sent_at = Instant::now();
    program.while_stopped(|| {
        client.request_task(
            1,
            &TaskRequest {
                wait_ms: 3_000,
                ..request(1)
            },
        );
        sent_at = Instant::now();
        std::thread::sleep(stop_time);
    });

    let offer = connections[0].expect("new");
    let client_left = wait.saturating_sub(sent_at.elapsed());
    let offered_ms = offer.get("f").and_then(|fields| fields.get_str("left"));
    let offered_ms: u64 = offered_ms
        .expect("the offer has no time left")
        .parse()
        .expect("the time left is not a number");

    assert!(
        Duration::from_millis(offered_ms) <= client_left + slack,
        "the host was told {offered_ms} ms, but the client had {client_left:?} left"
    );
}
