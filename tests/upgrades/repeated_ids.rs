//! A request whose id was used before must not lead to a second run of its task, whichever process reads it.

use super::*;

/// Expects the failure of request 1, long before its client stops waiting.
fn expect_immediate_failure(client: &mut Client) {
    let answer = client
        .message_within(Duration::from_secs(2))
        .expect("an answer at once")
        .expect("an open connection");
    assert_eq!((answer.kind, answer.id, answer.cause()), (12, 1, 47));
}

// The client left while its attempt was out, so the task may run. The other process did not know the id, and sent the
// request to a host a second time.
#[test]
fn id_of_a_client_that_has_left_is_not_sent_again_by_the_other_process() {
    let mut upgrade = start_upgrade();
    let mut client = client_of(&upgrade.old, &upgrade.new);
    client.request_task(1, &request(1));
    assert_eq!(upgrade.old_connection.expect_offer(), hex(1));
    client.close();
    upgrade.old_connection.expect("down");

    let mut again = client_of(&upgrade.new, &upgrade.old);
    again.request_task(1, &request(1));

    expect_immediate_failure(&mut again);
    assert!(again.health_check());
}

// The attempt is out at the old process while the request comes again at the new one.
#[test]
fn id_that_is_open_at_one_process_is_not_sent_by_the_other() {
    let mut upgrade = start_upgrade();
    let mut client = client_of(&upgrade.old, &upgrade.new);
    client.request_task(1, &request(1));
    assert_eq!(upgrade.old_connection.expect_offer(), hex(1));

    let mut again = client_of(&upgrade.new, &upgrade.old);
    again.request_task(1, &request(1));

    expect_immediate_failure(&mut again);
    upgrade.old_connection.report_running(&hex(1));
    assert_eq!(client.expect_message().kind, 9);
}

// What was tried before the new process started is announced to it, too.
#[test]
fn id_that_was_tried_before_the_upgrade_is_not_sent_by_the_new_process() {
    let (mut feed, host) = (Feed::new(), Host::new("h0", "north"));
    let processes = Processes::of(single_placer_config(&feed, vec![host.entry("up", 0)]));
    let (old, _) = processes.start();
    assert_eq!(feed.accept_subscription(), 1);
    feed.send(&json!({ "n": 1 }));
    let mut old_connection = host.accept();
    let mut client = old.client();
    client.request_task(1, &request(1));
    assert_eq!(old_connection.expect_offer(), hex(1));
    client.close();
    old_connection.expect("down");
    let (new, _) = processes.start();
    for process in [&old, &new] {
        process.wait_for_log("exchanges messages with another process");
    }

    let mut again = client_of(&new, &old);
    again.request_task(1, &request(1));

    expect_immediate_failure(&mut again);
}
