//! Tests of the feed subscription, and of connections at the descriptor limit.

use super::*;

#[test]
fn feed_with_gaps_is_resubscribed_with_backoff() {
    let mut feed = Feed::new();
    let host = Host::new("h0", "north");
    let program = Program::start(&single_placer_config(&feed, vec![host.entry("up", 0)]));
    let mut subscriptions = 0;
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(1) {
        assert_eq!(feed.accept_subscription(), 1);
        feed.send_host_state(9, &host, "draining");
        subscriptions += 1;
    }
    assert!(
        (2..=9).contains(&subscriptions),
        "{subscriptions} subscriptions within a second"
    );
    assert!(checked_client(&program).health_check());
}

// A connect to the feed hangs because its address does not answer, and a reloaded configuration names another address.
#[test]
fn feed_that_moves_during_a_hanging_connect_is_followed_at_once() {
    let (program, mut feed, hosts, mut connections) = start_with_hosts(1);
    let second = Feed::new();
    let mut config = single_placer_config(&second, vec![hosts[0].entry("up", 0)]);
    config["listen"] = program.address.to_string().into();
    let unreachable = feed.make_unreachable();
    drop(feed.take_subscription());
    program.wait_for_log("connection ended peer=\"feed\"");
    let mut second = second;
    let reloaded_at = Instant::now();
    program.reload(&config.encode());
    assert_eq!(second.accept_subscription(), 1);
    assert!(
        reloaded_at.elapsed() < Duration::from_millis(500),
        "{:?}",
        reloaded_at.elapsed()
    );
    second.send_host_state(2, &hosts[0], "draining");
    second.send(&json!({ "n": 2 }));
    let mut client = checked_client(&program);
    client.request_task(
        1,
        &TaskRequest {
            wait_ms: 300,
            ..request(1)
        },
    );
    assert_eq!(client.expect_message().kind, 12);
    assert!(
        connections[0]
            .read_within(Duration::from_millis(20))
            .is_none()
    );
    drop(unreachable);
}

// Regression: while few hosts were listed, idle clients took the descriptors that the feed and later hosts needed.
#[test]
fn idle_clients_at_the_limit_do_not_block_the_feed_hosts_or_other_clients() {
    let sockets = 160;
    let address = free_address();
    let mut feed = Feed::bind(address);
    let first = Host::new("h0", "north");
    let mut config = single_placer_config(&feed, vec![first.entry("up", 0)]);
    config["limits"] = json!({ "cores": 1.0, "memory_mb": 32, "sockets": sockets });
    let program = Program::start_with_descriptors(&config, sockets);
    feed.accept_subscription();
    let mut connection = first.accept();
    drop(feed.take_subscription());
    // The feed is unreachable now. Each client that has sent a message stays connected.
    drop(feed);
    let mut idle: Vec<Client> = Vec::new();
    for _ in 0..sockets {
        let mut client = program.client();
        if client.health_check() {
            idle.push(client);
        }
    }
    assert!(
        program.descriptors() < sockets as usize,
        "{}",
        program.descriptors()
    );
    let mut feed = Feed::bind(address);
    feed.accept_subscription();
    let hosts: Vec<Host> = (1..40)
        .map(|n| Host::new(&format!("h{n}"), "south"))
        .collect();
    let mut entries: Vec<_> = hosts.iter().map(|host| host.entry("up", 0)).collect();
    entries.push(first.entry("draining", 0));
    feed.send(&endpoint_event(2, UpdateKind::Complete, entries));
    let mut connections: Vec<HostConnection> = hosts.iter().map(Host::accept).collect();
    assert!(
        program.descriptors() < sockets as usize,
        "{}",
        program.descriptors()
    );
    assert!(
        !program.log().contains("no-descriptor"),
        "{}",
        program.log()
    );
    let mut client = checked_client(&program);
    client.request_task(1, &request(1));
    let (at, id) = next_offer(&mut connections);
    connections[at].report_running(&id);
    assert_eq!(client.expect_message().kind, 9);
    assert!(connection.read_within(Duration::from_millis(20)).is_none());
}

// Guards against a running task that is reported as over, because its client names it at a host that was listed while the
// feed could not be heard. A host that the list does not have once the feed is back is not there.
#[test]
fn task_at_a_host_that_is_new_during_an_outage_of_the_feed_is_kept_until_the_list_is_up_to_date() {
    let (program, mut feed, _hosts, _connections) = start_with_hosts(1);
    let new_host = Host::new("h1", "north");
    let unreachable = feed.make_unreachable();
    drop(feed.take_subscription());
    program.wait_for_log("connection ended peer=\"feed\"");
    let mut client = checked_client(&program);
    for (id, host) in [(1, "h1"), (2, "h9")] {
        client.request_task(
            id,
            &TaskRequest {
                running_at: Some(host),
                ..request(id)
            },
        );
    }

    // Longer than the host of a task may be missing from the list while the feed is heard.
    assert!(client.message_within(Duration::from_secs(3)).is_err());
    feed.make_reachable(unreachable);
    assert_eq!(feed.accept_subscription(), 1);
    feed.send_host_state(2, &new_host, "up");
    let mut connection = new_host.accept();
    let end = loop {
        feed.send(&json!({ "n": 2 }));
        if let Ok(message) = client.message_within(Duration::from_millis(500)) {
            break message.expect("the connection stays open");
        }
    };
    assert_eq!((end.kind, end.id, end.cause()), (12, 2, 41));
    client.acknowledge_end(2);

    connection.report_ended(&hex(1), 16, "");
    let end = client.expect_message();
    assert_eq!((end.kind, end.id, end.cause()), (12, 1, 16));
}
