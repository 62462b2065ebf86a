//! Ends of running tasks that reach another process than the one whose client is to be told.
//!
//! Guards against clients that keep a task on their books after its end. During an upgrade, an end was acknowledged towards
//! the host by a process that had no connection of the client, and was lost when that process exited, although the
//! client was connected to the other one. The host does not repeat it, since no further connection opens.

use super::*;

/// Time within which a client must be told the end of a task, counted from the host's release.
const MAX_DELIVERY_TIME: Duration = Duration::from_secs(1);

/// Shows that this connection is a client's, and not a load balancer's, without asking for anything.
fn show_client(client: &mut Client) {
    client.acknowledge_end(0xffff);
    assert!(client.health_check());
}

/// Waits for the end of a task, and acknowledges it.
fn expect_end(client: &mut Client, id: u64) {
    let end = client.expect_message();
    assert_eq!((end.kind, end.id, end.cause()), (12, id, 16));
    client.acknowledge_end(id);
}

/// Checks that nothing has been sent to a client since its last message.
fn expect_nothing(client: &mut Client) {
    assert!(client.health_check());
}

/// Starts a task for a client of the old process whose connection ends.
fn run_task_of_departed_client(upgrade: &mut Upgrade, id: u64) {
    let mut client = client_of(&upgrade.old, &upgrade.new);
    run_task(&mut client, &mut upgrade.old_connection, id);
    client.close();
    upgrade.old.wait_for_log("peer=\"client\"");
}

/// Reports the end of a task to the old process, which has no client to tell.
fn end_task_at_old_process(upgrade: &mut Upgrade, id: u64) {
    upgrade.old_connection.report_ended(&hex(id), 16, "");
    upgrade.old_connection.expect("ack");
}

#[test]
fn end_that_waits_for_a_client_is_told_by_the_process_that_has_one() {
    let mut upgrade = start_upgrade();
    run_task_of_departed_client(&mut upgrade, 1);
    let mut client = client_of(&upgrade.new, &upgrade.old);
    show_client(&mut client);

    end_task_at_old_process(&mut upgrade, 1);
    let released_at = Instant::now();

    expect_end(&mut client, 1);
    let took = released_at.elapsed();
    assert!(took < MAX_DELIVERY_TIME, "{took:?}");
    upgrade.old.terminate();
    assert!(upgrade.old.wait_exit().success());
    upgrade.new.wait_for_log("others=0");
    expect_nothing(&mut client);
}

#[test]
fn end_at_the_new_process_is_told_by_the_old_one_if_only_that_has_a_client() {
    let mut upgrade = start_upgrade();
    let mut departing = client_of(&upgrade.new, &upgrade.old);
    run_task(&mut departing, &mut upgrade.new_connection, 1);
    departing.close();
    upgrade.new.wait_for_log("peer=\"client\"");
    let mut client = client_of(&upgrade.old, &upgrade.new);
    show_client(&mut client);

    upgrade.new_connection.report_ended(&hex(1), 16, "");

    expect_end(&mut client, 1);
    expect_nothing(&mut client);
}

#[test]
fn end_that_waits_for_a_client_outlives_its_process() {
    for signal in ["-TERM", "-KILL"] {
        let mut upgrade = start_upgrade();
        run_task_of_departed_client(&mut upgrade, 1);
        end_task_at_old_process(&mut upgrade, 1);
        upgrade.old.wait_for_log("task end waits for a client");

        upgrade.old.signal(signal);
        upgrade.old.wait_exit();
        upgrade.new.wait_for_log("others=0");

        let mut client = upgrade.new.client();
        client.acknowledge_end(0xffff);
        expect_end(&mut client, 1);
        let mut second = upgrade.new.client();
        show_client(&mut second);
        expect_nothing(&mut client);
    }
}

#[test]
fn end_that_waits_at_a_process_which_does_not_reply_is_told_by_the_other() {
    let mut upgrade = start_upgrade();
    run_task_of_departed_client(&mut upgrade, 1);
    end_task_at_old_process(&mut upgrade, 1);
    upgrade.old.wait_for_log("task end waits for a client");
    let mut client = client_of(&upgrade.new, &upgrade.old);

    upgrade.old.signal("-STOP");
    client.acknowledge_end(0xffff);

    expect_end(&mut client, 1);
    upgrade.old.signal("-CONT");
    upgrade.old.terminate();
    assert!(upgrade.old.wait_exit().success());
    upgrade.new.wait_for_log("others=0");
    expect_nothing(&mut client);
}

// Guards against ends that a host wrote to a connection of a process that exited before it read them.
#[test]
fn end_that_an_exited_process_has_not_read_is_repeated_by_the_host_and_told() {
    let mut upgrade = start_upgrade();
    run_task_of_departed_client(&mut upgrade, 1);
    let mut client = client_of(&upgrade.new, &upgrade.old);
    show_client(&mut client);

    upgrade.old.signal("-STOP");
    upgrade.old_connection.report_ended(&hex(1), 16, "");
    upgrade.old.signal("-KILL");

    let mut repeated = upgrade.host.accept();
    repeated.report_ended(&hex(1), 16, "");
    repeated.expect("ack");
    expect_end(&mut client, 1);
    expect_nothing(&mut client);
}

// Guards against a task that counts as running until the next upgrade, because its host wrote the end to a connection of
// the other process, as a host does if the connection of the task has ended.
#[test]
fn end_that_reaches_the_other_process_is_told_once_by_the_responsible_one() {
    let mut upgrade = start_upgrade();
    let mut client = client_of(&upgrade.old, &upgrade.new);
    run_task(&mut client, &mut upgrade.old_connection, 1);

    upgrade.new_connection.report_ended(&hex(1), 16, "");
    upgrade.new_connection.expect("ack");

    expect_end(&mut client, 1);
    upgrade.old_connection.report_ended(&hex(1), 16, "");
    upgrade.old_connection.expect("ack");
    expect_nothing(&mut client);
}

#[test]
fn end_of_a_task_that_a_client_named_to_the_new_process_is_told_once() {
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
    assert!(of_new.health_check());
    upgrade.old.wait_for_log("task adopted by another process");

    upgrade.old_connection.report_ended(&hex(1), 16, "");

    expect_end(&mut of_new, 1);
    expect_nothing(&mut of_old);
    expect_nothing(&mut of_new);
}

#[test]
fn tasks_of_a_process_that_exited_can_be_named_to_the_other() {
    let mut upgrade = start_upgrade();
    run_task_of_departed_client(&mut upgrade, 1);
    upgrade.old.terminate();
    assert!(upgrade.old.wait_exit().success());
    upgrade.new.wait_for_log("others=0");

    let mut client = upgrade.new.client();
    client.request_task(
        1,
        &TaskRequest {
            running_at: Some("h0"),
            ..request(1)
        },
    );
    expect_nothing(&mut client);

    upgrade.new_connection.report_ended(&hex(1), 16, "");
    expect_end(&mut client, 1);
    expect_nothing(&mut client);
}

// Guards against ends that a host repeats to the new process before that knows of the other one's tasks.
#[test]
fn end_that_reaches_the_new_process_before_it_knows_the_task_is_passed_on() {
    let (mut feed, host) = (Feed::new(), Host::new("h0", "north"));
    let processes = Processes::of(single_placer_config(&feed, vec![host.entry("up", 0)]));
    let (old, _) = processes.start();
    assert_eq!(feed.accept_subscription(), 1);
    feed.send(&json!({ "n": 1 }));
    let mut old_connection = host.accept();
    let mut client = old.client();
    run_task(&mut client, &mut old_connection, 1);

    old.signal("-STOP");
    let (_new, _) = processes.start();
    let mut new_connection = host.accept();
    new_connection.report_ended(&hex(1), 16, "");
    new_connection.expect("ack");
    old.signal("-CONT");

    expect_end(&mut client, 1);
    expect_nothing(&mut client);
}

// Guards against ends that are lost with the second process after the one that had started the task.
#[test]
fn end_of_a_task_that_no_client_has_named_outlives_two_upgrades() {
    let mut upgrade = start_upgrade();
    run_task_of_departed_client(&mut upgrade, 1);
    upgrade.old.terminate();
    assert!(upgrade.old.wait_exit().success());
    upgrade.new.wait_for_log("others=0");
    let _repeated = upgrade.host.accept();
    let (last, _) = upgrade.processes.start();
    let mut last_connection = upgrade.host.accept();
    last.wait_for_log("exchanges messages with another process");
    upgrade.new.terminate();
    assert!(upgrade.new.wait_exit().success());
    last.wait_for_log("others=0");

    let mut client = last.client();
    show_client(&mut client);
    last_connection.report_ended(&hex(1), 16, "");

    expect_end(&mut client, 1);
    expect_nothing(&mut client);
}
