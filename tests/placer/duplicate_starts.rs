//! Tests of rule 2: no task is started twice.

use super::*;

#[test]
fn non_idempotent_task_fails_once_it_may_have_run() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(2);
    let mut client = program.client();
    client.request_task(1, &NON_IDEMPOTENT_TASK);
    let (first, _) = next_offer(&mut connections);
    drop(connections.remove(first));
    let answer = client.expect_message();
    assert_eq!((answer.kind, answer.cause()), (12, 47));
    assert!(
        connections[0].read_within(QUIET_PERIOD).is_none(),
        "the task is not offered to another host"
    );
}

#[test]
fn timed_out_attempt_is_cancelled_and_its_late_answer_is_ignored() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = program.client();
    client.request_task(
        1,
        &TaskRequest {
            wait_ms: 800,
            ..IDEMPOTENT_TASK
        },
    );
    let id = connections[0].expect_offer();
    let down = connections[0].expect("down");
    assert_eq!(
        (down.get_str("ref"), down.get_u64("c")),
        (Some(id.as_str()), Some(16))
    );
    connections[0].report_running(&id);
    assert_eq!(
        (client.expect_message().kind, client.health_check()),
        (12, true)
    );
}
