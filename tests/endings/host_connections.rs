//! Connections to hosts that fail or stop carrying data while tasks run on the host.
//!
//! Guards against task ends that never reach the client. A host repeats unacknowledged task ends on the next connection
//! that opens. If the connection on which it reports is reset, closed for an unreadable answer, or silent, the placer
//! has to open another one. It failed to do so because only the end of the current connection led to a new one, and
//! because a connection was judged silent by when the host was last heard on any connection. Without the fix, no
//! connection follows in these tests until an attempt happens to need one.

use super::*;

/// Starts a host with task 1 running, and returns it with its connection and the client of the task.
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

/// Accepts the next connection of the host, repeats the end of task 1 on it, and expects the client to receive it.
fn assert_end_is_read_on_a_new_connection(host: &Host, client: &mut Client, limit: Duration) {
    let mut connection = host
        .accept_within(limit)
        .expect("no new connection was opened in time");
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
    // The host stays silent, so another connection is opened beside the first.
    let _second = host.accept();

    connection.send_bytes(b"{ not a message }\n");
    assert!(connection.wait_closed());

    assert_end_is_read_on_a_new_connection(&host, &mut client, Duration::from_secs(1));
}

// The host has not noticed yet that its connection was closed, and writes the end of a task to it although another
// connection is already open. That message is lost, and the host repeats it on the next connection.
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

    // The host sends one more message on the connection while the attempt is in flight, and none after that.
    connection.report_ended(&hex(3), 16, "");

    assert_end_is_read_on_a_new_connection(&host, &mut client, Duration::from_secs(2));
}

#[test]
fn silent_connection_of_a_host_with_a_running_task_is_checked_and_replaced() {
    let (_program, _feed, host, mut connection, mut client) = start_with_running_task();

    // No attempt is in flight, and the connection check is not answered.
    connection.ignore_check();

    assert_end_is_read_on_a_new_connection(&host, &mut client, Duration::from_secs(2));
}

#[test]
fn release_that_a_host_has_not_confirmed_is_sent_again_on_the_next_connection() {
    let (_program, _feed, host, mut connection, mut client) = start_with_running_task();
    client.release(1, 31);
    connection.expect("down");

    // The host fails before it reads the release, and returns with the task still running.
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

// Guards against a task that runs on after a cut of the network, although its client's release was acknowledged: a
// release was forgotten 3 s after it had arrived, even if the host could not be reached in that time.
#[test]
fn release_is_kept_while_its_host_is_cut_off() {
    let (program, _feed, hosts, mut connections) = start_with_hosts(1);
    let mut client = checked_client(&program);
    run_task(&mut client, &mut connections[0], 1);
    let cut_off = hosts[0].make_unreachable();

    client.release(1, 31);
    assert_eq!(client.expect_message().kind, 16);
    // The silent connection is given up, and connects fail for longer than a host may take to confirm a release.
    program.wait_for_log("reason=silent");
    std::thread::sleep(Duration::from_secs(3));
    hosts[0].make_reachable(cut_off);

    let mut connection = hosts[0].accept();
    let release = connection.expect("down");
    assert_eq!(release.get_str("ref"), Some(hex(1).as_str()));
    // A host that is heard and does not confirm the release does not know the task.
    assert!(connection.read_within(Duration::from_secs(5)).is_none());
    program.wait_for_log("task ended task=0000000000000001");
}

// The process of a host has exited, and a new host has its address. The list names the new host first, and removes the
// old one later. The old host counted as reachable meanwhile, since the new one accepts connections there.
#[test]
fn host_at_the_address_of_one_that_has_gone_is_not_taken_for_it() {
    let (program, mut feed, hosts, mut connections) = start_with_hosts(1);
    let mut client = program.client();
    client.request_task(1, &request(1));
    let id = connections[0].expect_offer();
    connections[0].report_running(&id);
    assert_eq!(client.expect_message().kind, 9);

    let mut entry = hosts[0].entry("up", 0);
    entry.insert("host", "new-host").expect("an object");
    feed.send(&endpoint_event(2, UpdateKind::Delta, vec![entry]));
    drop(connections);

    let end = client.expect_message();
    assert_eq!((end.kind, end.id, end.cause()), (12, 1, 41));
    client.acknowledge_end(1);
    // The new host gets one connection, and no other follows for the old one.
    let mut connection = hosts[0].accept();
    client.request_task(2, &request(2));
    let id = connection.expect_offer();
    connection.report_running(&id);
    assert_eq!(client.expect_message().kind, 9);
    assert!(hosts[0].accept_within(Duration::from_secs(2)).is_none());
}
