//! Connections to hosts that carry nothing more while tasks run there.
//!
//! What users saw: tasks that had ended at their hosts stayed on clients' books as running. The order of events: a host
//! has several connections open to the placer; the one that it reports on is reset, is closed for an unreadable answer, or
//! carries nothing more; the host repeats the ends of tasks on the next connection that opens, and none does. The cause:
//! only the end of the current connection led to another one, and whether a connection is silent was judged by when the
//! host was last heard on any. The evidence: with a task running, no connection follows in these tests until an attempt
//! happens to need one.

use super::*;

/// A host where task 1 runs, its connection, and the client of the task.
fn start_with_running_task() -> (Program, Feed, Host, HostConnection, Client) {
    let (program, feed, mut hosts, mut connections) = start_with_hosts(1);
    let mut client = checked_client(&program);
    run_task(&mut client, &mut connections[0], 1);
    (
        program,
        feed,
        hosts.remove(0),
        connections.remove(0),
        client,
    )
}

/// Reports the end of task 1 on the connection that a host opens to repeat it on, and expects it at the client.
fn assert_end_is_read_on_a_new_connection(host: &Host, client: &mut Client, limit: Duration) {
    let mut connection = host.accept_within(limit).expect("another connection");
    connection.report_ended(&hex(1), 16, "");
    loop {
        let message = client.expect_message();
        if (message.kind, message.id) == (12, 1) {
            return client.acknowledge_end(1);
        }
    }
}

#[test]
fn unreadable_answer_on_a_replaced_connection_is_followed_by_a_new_connection() {
    let (_program, _feed, host, mut connection, mut client) = start_with_running_task();
    client.request_task(2, &request(2));
    connection.expect_offer();
    // Silence: another connection is made beside the first.
    let _second = host.accept();

    connection.send_bytes(b"{ not a message }\n");
    assert!(connection.wait_closed());

    assert_end_is_read_on_a_new_connection(&host, &mut client, Duration::from_secs(1));
}

// The host has not seen yet that its connection was closed: it writes the end of a task there, although another connection
// is open already. What it wrote is lost, and it repeats the end on the next connection.
#[test]
fn end_that_crosses_the_close_of_its_connection_is_repeated_on_a_new_one() {
    let (_program, _feed, host, mut connection, mut client) = start_with_running_task();
    connection.send_bytes(b"{ not a message }\n");
    let _second = host.accept();

    connection.report_ended(&hex(1), 16, "");
    assert!(connection.wait_closed());

    assert_end_is_read_on_a_new_connection(&host, &mut client, Duration::from_secs(2));
}

#[test]
fn connection_that_falls_silent_after_a_message_during_an_attempt_is_replaced() {
    let (_program, _feed, host, mut connection, mut client) = start_with_running_task();
    run_task(&mut client, &mut connection, 3);
    client.request_task(2, &request(2));
    connection.expect_offer();

    // Heard once more while the attempt is in flight, and never again.
    connection.report_ended(&hex(3), 16, "");

    assert_end_is_read_on_a_new_connection(&host, &mut client, Duration::from_secs(2));
}

#[test]
fn silent_connection_of_a_host_with_a_running_task_is_checked_and_replaced() {
    let (_program, _feed, host, mut connection, mut client) = start_with_running_task();

    // Nothing is in flight, and the check of the connection is not answered.
    connection.ignore_check();

    assert_end_is_read_on_a_new_connection(&host, &mut client, Duration::from_secs(2));
}

#[test]
fn release_that_a_host_has_not_confirmed_is_sent_again_on_the_next_connection() {
    let (_program, _feed, host, mut connection, mut client) = start_with_running_task();
    client.release(1, 31);
    connection.expect("down");

    // The host is gone before it has read the release, and comes back with the task.
    connection.close();

    let mut connection = host.accept();
    let release = connection.expect("down");
    assert_eq!(
        (release.get_str("ref"), release.get_u64("c")),
        (Some(hex(1).as_str()), Some(31))
    );
    connection.report_ended(&hex(1), 31, "");
    connection.expect("ack");
}
