//! Tests of running tasks and of how their ends are reported.

use super::*;

#[test]
fn running_task_is_not_bound_to_a_connection() {
    let (program, _feed, hosts, mut connections) = start_with_hosts(1);
    let mut client = program.client();
    for id in [1, 2] {
        client.request_task(
            id,
            &TaskRequest {
                service: id,
                ..IDEMPOTENT_TASK
            },
        );
        let offer = connections[0].expect_offer();
        connections[0].report_running(&offer);
        client.expect_message();
    }
    drop(client);
    // When the host closes its connection, its tasks keep running, and the placer reconnects.
    drop(connections.remove(0));
    let mut connection = hosts[0].accept();
    connection.report_ended(&hex(1), 41, "ev");
    connection.report_ended(&hex(1), 41, "ev");
    connection.expect("ack");
    connection.expect("ack");
    // While no client is connected, the end of the task is kept, and sent once to the next client that sends a message.
    // A client may end a task on any connection, and the host's report of that end is not forwarded.
    let mut client = program.client();
    client.release(2, 31);
    let end = client.expect_message();
    assert_eq!((end.kind, end.id, end.cause()), (12, 1, 41));
    assert_eq!(client.expect_message().kind, 16);
    assert_eq!(connection.expect("down").get_u64("c"), Some(31));
    connection.report_ended(&hex(2), 31, "");
    connection.expect("ack");
    assert!(client.health_check());
}

#[test]
fn tasks_of_a_crashed_host_process_are_lost_at_once() {
    let (program, _feed, mut hosts, mut connections) = start_with_hosts(1);
    let mut client = program.client();
    client.request_task(1, &IDEMPOTENT_TASK);
    let id = connections[0].expect_offer();
    connections[0].report_running(&id);
    client.expect_message();
    hosts.clear();
    connections.clear();
    let end = client.expect_message();
    assert_eq!((end.kind, end.id, end.cause()), (12, 1, 41));
}

// Regression: when several hosts crashed together, the crash of one without an offer in flight was not noticed until
// the feed reported it.
#[test]
fn crash_of_a_host_process_makes_the_placer_reconnect_to_the_others_of_its_cell() {
    let (program, _feed, mut hosts, mut connections) = start_with_hosts(2);
    let mut client = program.client();
    for (id, host) in [(1, "h0"), (2, "h1")] {
        client.request_task(
            id,
            &TaskRequest {
                running_at: Some(host),
                ..IDEMPOTENT_TASK
            },
        );
    }
    assert!(client.health_check());
    // No host listens any more, but only the first connection is closed.
    hosts.clear();
    drop(connections.remove(0));
    let mut lost =
        [client.expect_message(), client.expect_message()].map(|end| (end.id, end.cause()));
    lost.sort_unstable();
    assert_eq!(lost, [(1, 41), (2, 41)]);
}

#[test]
fn task_end_before_the_client_reconnects_is_kept_for_it() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    connections[0].report_ended(&hex(1), 16, "");
    connections[0].expect("ack");
    let mut client = program.client();
    client.request_task(
        1,
        &TaskRequest {
            running_at: Some("h0"),
            ..IDEMPOTENT_TASK
        },
    );
    client.request_task(
        2,
        &TaskRequest {
            running_at: Some("h0"),
            ..IDEMPOTENT_TASK
        },
    );
    // A repeated request of a reconnecting client has no further effect.
    client.request_task(
        2,
        &TaskRequest {
            running_at: Some("h0"),
            ..IDEMPOTENT_TASK
        },
    );
    let end = client.expect_message();
    assert_eq!((end.kind, end.id, end.cause()), (12, 1, 16));
    connections[0].report_ended(&hex(2), 16, "");
    assert_eq!(client.expect_message().id, 2);
    assert!(client.health_check());
}
