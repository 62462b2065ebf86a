//! Guards against a placer that is killed for its memory because of hundreds of clients at once, each of which holds some:
//! unfinished messages, messages of very many fields, answers that are not read, requests and named tasks.

use super::*;
use emulator::fixtures::start_emulated_hosts;
use emulator::host_emulator::HostBehavior;

/// Limits of memory of the range that deployments use, in MB.
const MEMORY_LIMITS_MB: [u64; 5] = [32, 64, 96, 128, 192];
/// The smallest and the largest of these.
const OUTER_LIMITS_MB: [u64; 2] = [32, 192];
/// Nearly as many as there are descriptors for clients.
const CLIENTS: u64 = 900;
const PLAY_TIME: Duration = Duration::from_secs(2);

/// What a client does.
#[derive(Debug, Clone, Copy)]
enum Behavior {
    /// Sends a message byte by byte.
    SlowHead,
    /// Stops half way through a large request.
    HalfRequest,
    /// Sends large messages of very many empty fields, the last of which is not finished.
    ManyFields,
    /// Sends health checks, and does not read the answers.
    NoReader,
    /// Sends requests that wait, as large as they can be.
    Requests,
    /// Names tasks as running.
    Adoptions,
}

impl Behavior {
    /// Returns the bytes that client number `client` sends.
    fn output(self, client: u64) -> Vec<u8> {
        let first_id = 0xbad_0000 + (client << 32);
        match self {
            Behavior::SlowHead => encode_task_request(first_id, &IDEMPOTENT_TASK, "c"),
            Behavior::HalfRequest => {
                let message = encode_task_request(first_id, &IDEMPOTENT_TASK, &"x".repeat(16_000));
                message[..message.len() / 2].to_vec()
            }
            Behavior::ManyFields => {
                let fields = [(200, &b""[..]); 5_400];
                let whole = encode_message(12, first_id, &fields);
                let mut output = encode_message(1, first_id, &fields);
                output.extend(&whole[..whole.len() - 1]);
                output
            }
            Behavior::NoReader => encode_message(52, 1, &[(171, &[0])]).repeat(200_000),
            Behavior::Requests => (0..40)
                .flat_map(|n| {
                    let request = TaskRequest {
                        service: 0xbad0,
                        ..IDEMPOTENT_TASK
                    };
                    encode_task_request(first_id + n, &request, &"x".repeat(15_500))
                })
                .collect(),
            Behavior::Adoptions => (0..300)
                .flat_map(|n| {
                    let request = TaskRequest {
                        service: first_id + n,
                        running_at: Some("h0"),
                        ..IDEMPOTENT_TASK
                    };
                    encode_task_request(first_id + n, &request, "")
                })
                .collect(),
        }
    }

    /// Returns how many bytes the client writes at a time.
    fn step(self) -> usize {
        match self {
            Behavior::SlowHead => 1,
            _ => usize::MAX,
        }
    }
}

/// A client that writes as its behavior says, and reads nothing.
struct Sender {
    stream: TcpStream,
    output: Vec<u8>,
    step: usize,
}

impl Sender {
    fn write(&mut self) {
        let count = self.step.min(self.output.len());
        if let Ok(written) = self.stream.write(&self.output[..count]) {
            self.output.drain(..written);
        }
    }
}

/// Plays clients that behave in turn as `behaviors` say, and returns the most memory used in kB.
fn play(memory_mb: u64, behaviors: &[Behavior]) -> u64 {
    let _turn = take_turn();
    let feed = Feed::new();
    let behavior = HostBehavior {
        start_time: Duration::from_millis(20),
        run_time: Duration::from_millis(200),
        capacity: 10,
    };
    let (hosts, _records) = start_emulated_hosts(2, &behavior);
    let entries = hosts.iter().map(|host| host.entry("up")).collect();
    let mut config = single_placer_config(&feed, entries);
    config["limits"] = json!({ "cores": 1.0, "memory_mb": memory_mb, "sockets": 1024 });
    let program = Arc::new(Program::start(&config));
    let watch = MemoryWatch::start(&program);
    let mut senders: Vec<Sender> = (0..CLIENTS)
        .map(|client| {
            let behavior = behaviors[client as usize % behaviors.len()];
            let stream = program.client().0;
            stream.set_nonblocking(true).expect("a socket option");
            Sender {
                stream,
                output: behavior.output(client),
                step: behavior.step(),
            }
        })
        .collect();
    let end = Instant::now() + PLAY_TIME;
    while Instant::now() < end {
        senders.iter_mut().for_each(Sender::write);
        std::thread::sleep(Duration::from_millis(10));
    }
    watch.finish()
}

fn check(behaviors: &[Behavior], limits_mb: &[u64]) {
    for &memory_mb in limits_mb {
        let peak_kb = play(memory_mb, behaviors);
        println!("{memory_mb} MB, {behaviors:?}: {peak_kb} kB");
        assert!(
            peak_kb < memory_mb * 1_024,
            "{memory_mb} MB, {behaviors:?}: {peak_kb} kB"
        );
    }
}

#[test]
fn clients_that_write_slowly_stay_within_every_limit() {
    check(&[Behavior::SlowHead], &OUTER_LIMITS_MB);
}

#[test]
fn clients_that_stop_half_way_through_a_request_stay_within_every_limit() {
    check(&[Behavior::HalfRequest], &OUTER_LIMITS_MB);
}

#[test]
fn messages_of_very_many_fields_stay_within_every_limit() {
    check(&[Behavior::ManyFields], &OUTER_LIMITS_MB);
}

#[test]
fn answers_that_are_not_read_stay_within_every_limit() {
    check(&[Behavior::NoReader], &OUTER_LIMITS_MB);
}

#[test]
fn clients_that_hold_all_kinds_of_memory_stay_within_every_limit() {
    let all = [
        Behavior::SlowHead,
        Behavior::HalfRequest,
        Behavior::ManyFields,
        Behavior::NoReader,
        Behavior::Requests,
        Behavior::Adoptions,
    ];
    check(&all, &MEMORY_LIMITS_MB);
}
