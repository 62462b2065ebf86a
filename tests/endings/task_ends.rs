//! Delivery of the end of a running task to its client.
//!
//! Guards against tasks that have ended but stay recorded as running by their client. When a host releases a task, the
//! placer writes the task end to the client connection that it heard last. If the peer of that connection no longer
//! reads, or never knew the task, while the connection stays open, the end must be sent on another connection.
//! Previously, a written task end counted as delivered until its connection closed, although clients acknowledge each
//! one. In the log, `task end acknowledged` followed `task end sent` only seconds later, after that connection had
//! closed and the task end had been sent on another one.

use super::*;

/// Time after the host's release within which a task end has to reach its client, as the protocol requires.
const MAX_DELIVERY_TIME: Duration = Duration::from_secs(1);

/// Opens a connection that names a running task and never acknowledges anything.
fn silent_client(program: &Program, id: u64) -> Client {
    let mut client = checked_client(program);
    client.request_task(
        id,
        &TaskRequest {
            running_at: Some("h0"),
            ..request(id)
        },
    );
    assert!(client.health_check());
    client
}

#[test]
fn end_that_a_silent_client_does_not_acknowledge_reaches_another_one_in_time() {
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut live = checked_client(&program);
    run_task(&mut live, &mut connections[0], 2);
    let mut origin = checked_client(&program);
    run_task(&mut origin, &mut connections[0], 1);
    origin.close();
    // These connections were heard last, so they are the first choice for the task end, but nobody reads them any more.
    let _silent: Vec<Client> = (100..112).map(|id| silent_client(&program, id)).collect();

    connections[0].report_ended(&hex(1), 16, "");
    let released_at = Instant::now();

    let end = live.expect_message();
    assert_eq!((end.kind, end.id, end.cause()), (12, 1, 16));
    let delivery_time = released_at.elapsed();
    assert!(delivery_time < MAX_DELIVERY_TIME, "{delivery_time:?}");
}

// Guards against a second run of a task whose first run is already over. During a rollout of the hosts, a host starts a
// task, its answer is lost or late, and the host drains and releases the task; the placer reads only the release. Any
// release with cause 41 before the answer was taken for a broken attempt, so the request was sent to another host and
// its second run was reported as placed, while nobody was told of the first. The log showed `attempt ended
// outcome=Reset detail=Drained` and `task started` at another host 0.1 s later. The note of such a release names an
// event that happens only to running tasks.
#[test]
fn task_that_its_host_sent_away_before_its_answer_arrived_is_over_for_its_client() {
    for note in ["dr", "ev", "pre"] {
        let (program, _feed, _hosts, mut connections) = start_with_hosts(2);
        let mut client = checked_client(&program);
        client.request_task(1, &request(1));
        let (at, id) = next_offer(&mut connections);

        connections[at].report_ended(&id, 41, note);

        let end = client.expect_message();
        assert_eq!((end.kind, end.id, end.cause()), (12, 1, 41), "{note}");
        assert_eq!(
            offers_until_last(&program, &[], &mut connections),
            NO_OFFERS,
            "{note}"
        );
    }
}
