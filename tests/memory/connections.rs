//! Guards against memory that is used beside the pending requests: by what is remembered of requests that are over, and
//! by messages that have not arrived whole.

use super::*;

const MEMORY_MB: u64 = 32;

fn start_program() -> (Feed, Arc<Program>) {
    let feed = Feed::new();
    let mut config = single_placer_config(&feed, Vec::new());
    config["limits"] = json!({ "cores": 1.0, "memory_mb": MEMORY_MB, "sockets": 1024 });
    (feed, Arc::new(Program::start(&config)))
}

#[test]
fn requests_that_are_repeated_as_soon_as_they_are_rejected_stay_within_the_limit() {
    let _turn = take_turn();
    let (_feed, program) = start_program();
    let description = "x".repeat(1_000);
    let request = TaskRequest {
        service: 0xbad0,
        ..IDEMPOTENT_TASK
    };
    let mut floods: Vec<Flood> = (0..50)
        .map(|client| {
            let ids = (client + 1) << 32..(client + 2) << 32;
            let first = (ids.start..ids.start + 300)
                .flat_map(|id| encode_task_request(id, &request, &description))
                .collect();
            Flood::new(&program, ids, first)
        })
        .collect();

    let watch = MemoryWatch::start(&program);
    let mut repeated = vec![0; floods.len()];
    let end = Instant::now() + Duration::from_secs(8);
    while Instant::now() < end {
        drive(&mut floods, Duration::from_millis(1), |_| false);
        for (flood, repeated) in floods.iter_mut().zip(&mut repeated) {
            flood.drop_written();
            while *repeated < flood.answers() {
                *repeated += 1;
                let id = flood.ids.start + 300 + *repeated;
                flood
                    .output
                    .extend(encode_task_request(id, &request, &description));
            }
        }
    }

    let peak_kb = watch.finish();
    let answers: u64 = floods.iter().map(Flood::answers).sum();
    assert!(
        peak_kb < MEMORY_MB * 1_024,
        "{answers} answers: {peak_kb} kB"
    );
}

#[test]
fn hundreds_of_unfinished_messages_stay_within_the_limit() {
    let _turn = take_turn();
    let (_feed, program) = start_program();
    let message = encode_task_request(1, &IDEMPOTENT_TASK, &"x".repeat(16_000));
    let unfinished = &message[..message.len() - 1];

    let watch = MemoryWatch::start(&program);
    let mut floods: Vec<Flood> = (0..900)
        .map(|_| Flood::new(&program, 0..1, unfinished.to_vec()))
        .collect();
    drive(&mut floods, Duration::from_secs(4), |floods| {
        floods.iter().all(|flood| flood.has_ended)
    });

    let peak_kb = watch.finish();
    let ended = floods.iter().filter(|flood| flood.has_ended).count();
    assert_eq!(ended, floods.len(), "connections that were closed");
    assert!(peak_kb < MEMORY_MB * 1_024, "{peak_kb} kB");
}

// Guards against memory that grows with the square of the time: each client that connects was sent the ends that nobody
// had acknowledged, which kept them for another 10 s, with the connections that they were sent on.
#[test]
fn ends_that_nobody_acknowledges_are_discarded_although_clients_go_on_connecting() {
    let _turn = take_turn();
    const RETENTION: Duration = Duration::from_secs(10);
    let (program, _feed, _hosts, mut connections) = start_with_hosts(1);
    let mut client = program.client();
    client.request_task(1, &IDEMPOTENT_TASK);
    let id = connections[0].expect_offer();
    connections[0].report_running(&id);
    assert_eq!(client.expect_message().kind, 9);
    connections[0].report_ended(&id, 16, "");
    assert_eq!(client.expect_message().kind, 12);
    let sent_at = Instant::now();

    let mut sent_again = 0;
    let last = loop {
        let mut next = program.client();
        next.acknowledge_end(0xffff);
        let is_told = next
            .message_within(Duration::from_millis(500))
            .is_ok_and(|message| message.is_some_and(|message| message.id == 1));
        if !is_told {
            break sent_at.elapsed();
        }
        sent_again += 1;
        assert!(sent_at.elapsed() < 2 * RETENTION, "sent {sent_again} times");
        std::thread::sleep(Duration::from_millis(200));
    };
    assert!(
        sent_again > 1 && last < RETENTION + Duration::from_secs(2),
        "{last:?}"
    );
}
