//! Tests of the placer's log on standard error: its JSON format, and a reader that blocks or closes it.

use super::*;

/// Opens connections with malformed messages, each of which makes the placer log a line.
fn open_connections(program: &Program, lines: usize) {
    for _ in 0..lines {
        let mut client = Client::connect(program.address).expect("cannot connect");
        client.send(&[0, 1, 0]);
        let _ = client.next_message();
    }
}

#[test]
fn placer_keeps_serving_with_a_blocked_or_closed_log() {
    for closed in [false, true] {
        let records: Arc<Mutex<HostRecords>> = Arc::default();
        let behavior = HostBehavior {
            start_time: Duration::from_millis(5),
            run_time: SECOND,
            capacity: 100,
        };
        let host = EmulatedHost::start("h0", "north", behavior, records);
        let feed = EmulatedFeed::start();
        let config = emulator::placer_config("n0", 0, 1, &feed.address(), vec![host.entry("up")]);
        let (reader, writer) = std::io::pipe().expect("cannot create a pipe");
        let reader = if closed {
            drop(reader);
            None
        } else {
            Some(reader)
        };
        let mut program = Launch::new(&config)
            .operator_file("[log]\nqueue-bytes = 4096\n")
            .log_to(Stdio::from(writer))
            .start();
        drop(program.client());
        // These are more lines than the pipe and the queue can hold.
        open_connections(&program, 1_500);
        let mut client = program.client();
        client.request_task(1, &IDEMPOTENT_TASK);
        assert_eq!(client.expect_message().kind, 9);
        assert!(client.health_check());
        if let Some(mut reader) = reader {
            // Once the log is read again, the placer logs the number of dropped lines.
            let reading = std::thread::spawn(move || {
                let (mut text, mut chunk) = (String::new(), [0; 4096]);
                while !text.contains("log lines dropped dropped=") {
                    let n = reader.read(&mut chunk).expect("cannot read the log");
                    assert!(n > 0, "the log ended early: {text}");
                    text.push_str(&String::from_utf8_lossy(&chunk[..n]));
                }
                text
            });
            let text = reading.join().expect("the reading thread panicked");
            assert!(
                text.contains("connection ended peer=\"client\"")
                    && text.contains("reason=malformed:"),
                "{text}"
            );
        }
        program.terminate();
        assert_eq!(program.wait_exit().code(), Some(0));
    }
}

#[test]
fn log_lines_can_be_json() {
    let feed = Feed::new();
    let mut program = Launch::new(&single_placer_config(&feed, vec![]))
        .args(&["serve", "--log-format", "json"])
        .start();
    open_connections(ready(&program), 1);
    program.terminate();
    assert_eq!(program.wait_exit().code(), Some(0));
    let log = program.log();
    let lines: Vec<simd_json::OwnedValue> = log
        .lines()
        .map(|line| simd_json::to_owned_value(&mut line.as_bytes().to_vec()).expect(line))
        .collect();
    let ended = lines.iter().find(|line| {
        line.get_str("reason")
            .is_some_and(|r| r.starts_with("malformed:"))
    });
    assert_eq!(
        ended.and_then(|line| line.get_str("peer")),
        Some("client"),
        "{log}"
    );
}

fn ready(program: &Program) -> &Program {
    drop(program.client());
    program
}
