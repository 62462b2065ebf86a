//! The end of a running task on its way to its client.
//!
//! What users saw: tasks that had ended stayed on clients' books as running, although the placer had been told of the end
//! and had other connections of clients open. The order of events: a host releases the task; the placer writes the end to
//! the client's connection that it heard last; whoever is behind that connection does not read any more, or never knew the
//! task; the connection stays open. The cause: an end that was written counted as delivered until its connection closed,
//! although clients acknowledge each end. The evidence: `task end sent` on such a connection, `task end acknowledged` only
//! seconds later, after that connection had closed and the end had been sent on another one.

use super::*;

/// The end of a task has to reach its client within this time of the host's release (the protocol's figure).
const MAX_DELIVERY_TIME: Duration = Duration::from_secs(1);

/// Names a running task on a connection on which nothing is acknowledged.
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
    // Heard last, these connections are the first choice for the end; nobody reads them any more.
    let _silent: Vec<Client> = (100..112).map(|id| silent_client(&program, id)).collect();

    connections[0].report_ended(&hex(1), 16, "");
    let released_at = Instant::now();

    let end = live.expect_message();
    assert_eq!((end.kind, end.id, end.cause()), (12, 1, 16));
    let delivery_time = released_at.elapsed();
    assert!(delivery_time < MAX_DELIVERY_TIME, "{delivery_time:?}");
}

// What users saw: during a release of the hosts, a task was reported as placed, although it was the second run of a request
// whose first run was over already, and nobody had been told of that. The order of events: a host starts the task; its
// answer is lost or late; the host drains and sends the task away; the placer reads only that. The cause: any release with
// cause 41 before the answer was taken for an attempt that had broken on its way, and the request was sent to another host.
// The evidence: `attempt ended outcome=Reset detail=Drained` and `task started` at another host 0.1 s later, for each
// request that was reported; the note of such a release names what only happens to a task that runs.
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
