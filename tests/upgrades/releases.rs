//! Releases of running tasks that reach another process than the one that is responsible for the task.
//!
//! Guards against tasks that run on although their client's release was acknowledged. During an upgrade both processes
//! accept connections from one socket, and a release may arrive at either. A process that did not know the task
//! acknowledged the release and dropped it, so the task ran on, and a client that asked for it anew had it run twice.

use super::*;
use std::collections::BTreeSet;
use std::os::unix::net::UnixListener;

/// Time within which a release must be acknowledged, even if another process does not reply.
const MAX_REPLY_TIME: Duration = Duration::from_secs(3);

/// Waits for the release of a task at its host.
fn expect_release(connection: &mut HostConnection, id: u64) {
    let release = connection.expect("down");
    assert_eq!(release.get_str("ref"), Some(hex(id).as_str()));
    assert_eq!(release.get_u64("c"), Some(31));
}

/// Waits for the acknowledgement of a client's release.
fn expect_acknowledgement(client: &mut Client, id: u64) {
    let message = client.expect_message();
    assert_eq!((message.kind, message.id), (16, id));
}

#[test]
fn release_at_either_process_ends_the_task_of_the_other() {
    let mut upgrade = start_upgrade();
    let mut of_old = client_of(&upgrade.old, &upgrade.new);
    let mut of_new = client_of(&upgrade.new, &upgrade.old);
    run_task(&mut of_old, &mut upgrade.old_connection, 1);
    run_task(&mut of_new, &mut upgrade.new_connection, 2);

    of_new.release(1, 31);
    expect_release(&mut upgrade.old_connection, 1);
    expect_acknowledgement(&mut of_new, 1);
    of_old.release(2, 31);
    expect_release(&mut upgrade.new_connection, 2);
    expect_acknowledgement(&mut of_old, 2);

    // The client that released a task is not owed its end.
    upgrade.old_connection.report_ended(&hex(1), 31, "");
    upgrade.old_connection.expect("ack");
    assert!(of_old.health_check() && of_new.health_check());
}

#[test]
fn task_that_started_before_the_upgrade_is_released_through_the_new_process() {
    let (mut feed, host) = (Feed::new(), Host::new("h0", "north"));
    let processes = Processes::of(single_placer_config(&feed, vec![host.entry("up", 0)]));
    let (old, _) = processes.start();
    assert_eq!(feed.accept_subscription(), 1);
    feed.send(&json!({ "n": 1 }));
    let mut connection = host.accept();
    let mut client = old.client();
    run_task(&mut client, &mut connection, 1);
    let (new, _) = processes.start();

    let mut of_new = client_of(&new, &old);
    of_new.release(1, 31);

    expect_release(&mut connection, 1);
    expect_acknowledgement(&mut of_new, 1);
}

#[test]
fn release_is_continued_by_the_other_process_if_the_responsible_one_is_killed() {
    let mut upgrade = start_upgrade();
    let mut of_old = client_of(&upgrade.old, &upgrade.new);
    run_task(&mut of_old, &mut upgrade.old_connection, 1);
    let mut of_new = client_of(&upgrade.new, &upgrade.old);

    upgrade.old.signal("-STOP");
    of_new.release(1, 31);
    assert!(of_new.health_check(), "the release was read");
    upgrade.old.signal("-KILL");

    expect_release(&mut upgrade.new_connection, 1);
    expect_acknowledgement(&mut of_new, 1);
}

#[test]
fn release_is_continued_by_the_other_process_if_the_responsible_one_does_not_reply() {
    let mut upgrade = start_upgrade();
    let mut of_old = client_of(&upgrade.old, &upgrade.new);
    run_task(&mut of_old, &mut upgrade.old_connection, 1);
    let mut of_new = client_of(&upgrade.new, &upgrade.old);

    upgrade.old.signal("-STOP");
    let released_at = Instant::now();
    of_new.release(1, 31);

    expect_release(&mut upgrade.new_connection, 1);
    expect_acknowledgement(&mut of_new, 1);
    assert!(
        released_at.elapsed() < MAX_REPLY_TIME,
        "{:?}",
        released_at.elapsed()
    );
    upgrade.old.signal("-CONT");
}

#[test]
fn release_that_its_host_has_not_confirmed_outlives_the_process() {
    let mut upgrade = start_upgrade();
    let mut of_old = client_of(&upgrade.old, &upgrade.new);
    run_task(&mut of_old, &mut upgrade.old_connection, 1);

    of_old.release(1, 31);
    expect_acknowledgement(&mut of_old, 1);
    expect_release(&mut upgrade.old_connection, 1);
    upgrade.old.terminate();

    assert!(upgrade.old.wait_exit().success());
    expect_release(&mut upgrade.new_connection, 1);
}

#[test]
fn task_of_a_process_that_has_exited_is_released_before_any_client_names_it() {
    let mut upgrade = start_upgrade();
    let mut of_old = client_of(&upgrade.old, &upgrade.new);
    run_task(&mut of_old, &mut upgrade.old_connection, 1);
    upgrade.old.terminate();
    assert!(upgrade.old.wait_exit().success());
    upgrade.new.wait_for_log("others=0");

    let mut client = upgrade.new.client();
    client.release(1, 31);

    expect_release(&mut upgrade.new_connection, 1);
    expect_acknowledgement(&mut client, 1);
}

#[test]
fn releases_are_passed_on_in_each_upgrade_of_a_series() {
    let mut upgrade = start_upgrade();
    for id in 1..4 {
        let mut of_old = client_of(&upgrade.old, &upgrade.new);
        run_task(&mut of_old, &mut upgrade.old_connection, id);
        let mut of_new = client_of(&upgrade.new, &upgrade.old);
        of_new.release(id, 31);
        expect_release(&mut upgrade.old_connection, id);
        expect_acknowledgement(&mut of_new, id);
        upgrade.old_connection.report_ended(&hex(id), 31, "");

        upgrade.old.terminate();
        assert!(upgrade.old.wait_exit().success());
        upgrade.new.wait_for_log("others=0");
        let (next, _) = upgrade.processes.start();
        let next_connection = upgrade.host.accept();
        next.wait_for_log("exchanges messages with another process");
        upgrade.old = std::mem::replace(&mut upgrade.new, next);
        upgrade.old_connection = std::mem::replace(&mut upgrade.new_connection, next_connection);
    }
}

// Guards against a release that is lost after a client has named its task to the other process: the process that had
// started the task remembered it as over.
#[test]
fn task_that_was_named_to_the_new_process_is_released_through_the_old_one() {
    let mut upgrade = start_upgrade();
    let mut of_old = client_of(&upgrade.old, &upgrade.new);
    run_task(&mut of_old, &mut upgrade.old_connection, 1);
    let mut of_new = client_of(&upgrade.new, &upgrade.old);
    of_new.request_task(
        1,
        &TaskRequest {
            running_at: Some("h0"),
            ..request(1)
        },
    );
    upgrade.old.wait_for_log("task adopted by another process");

    of_old.release(1, 31);

    expect_release(&mut upgrade.new_connection, 1);
    expect_acknowledgement(&mut of_old, 1);
}

// Guards against releases that are lost because a client floods the placer with releases of tasks that nobody knows.
#[test]
fn task_is_released_beside_thousands_of_releases_of_unknown_tasks() {
    let mut upgrade = start_upgrade();
    let mut of_old = client_of(&upgrade.old, &upgrade.new);
    run_task(&mut of_old, &mut upgrade.old_connection, 1);
    let mut flooding = client_of(&upgrade.new, &upgrade.old);
    let releases: BTreeSet<u64> = (10_000..20_000).collect();
    releases.iter().for_each(|id| flooding.release(*id, 31));
    // Those that are passed on are acknowledged after the others.
    let acknowledged = releases.iter().map(|_| flooding.expect_message());
    let acknowledged: BTreeSet<u64> = acknowledged.map(|message| message.id).collect();
    assert_eq!(acknowledged, releases);

    let mut of_new = client_of(&upgrade.new, &upgrade.old);
    of_new.release(1, 31);

    expect_release(&mut upgrade.old_connection, 1);
    expect_acknowledgement(&mut of_new, 1);
}

#[test]
fn release_of_a_task_that_no_process_knows_is_acknowledged() {
    let upgrade = start_upgrade();
    let mut of_new = client_of(&upgrade.new, &upgrade.old);

    of_new.release(77, 31);

    expect_acknowledgement(&mut of_new, 77);
}

/// Another process of the placer that sends `input` and then nothing more. A process of an earlier version sends nothing
/// at all.
fn release_beside_a_process_that_sends(input: &[u8]) {
    let feed = Feed::new();
    let mut config = single_placer_config(&feed, Vec::new());
    config.insert("name", "p").expect("an object");
    let processes = Processes::of(config);
    let socket = processes.folder.path().join("anisehead-p.sock");
    let listener = UnixListener::bind(socket).expect("a free path");
    let (new, admin) = processes.start();
    let (mut other, _) = listener.accept().expect("the new process connects");
    other.write_all(input).expect("the new process reads");
    new.wait_for_log("others=1");
    let mut client = new.client();

    let released_at = Instant::now();
    client.release(1, 31);

    expect_acknowledgement(&mut client, 1);
    let took = released_at.elapsed();
    assert!(took < MAX_REPLY_TIME, "{took:?}");
    assert!(admin.is_healthy());
    drop(other);
    new.wait_for_log("others=0");
}

#[test]
fn release_is_acknowledged_beside_a_process_of_an_earlier_version() {
    release_beside_a_process_that_sends(b"");
}

#[test]
fn malformed_messages_of_another_process_are_ignored() {
    let unfinished = vec![b'{'; 100_000];
    let inputs: [&[u8]; 5] = [
        b"{\"t\":\"hello\"}\nnonsense\n",
        b"{\"t\":\"hello\"}\n{\"t\":\"task\",\"ref\":\"1\"}\n",
        b"{\"t\":\"hello\"}\n{\"t\":\"released\",\"ref\":\"0000000000000001\",\"f\":{\"known\":\"0\"}}\n",
        b"\xff\xfe\0\n",
        &unfinished,
    ];
    for input in inputs {
        release_beside_a_process_that_sends(input);
    }
}
