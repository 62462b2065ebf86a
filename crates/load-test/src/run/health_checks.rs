//! The load balancer's health checks and agent checks of placers, which run for the whole load test.

use super::generator::Generator;
use super::protocol::{CAUSE, END_ACKNOWLEDGED, RELEASED};
use crate::clients::Event;
use crate::load_balancer::HealthCheckResult;
use crate::plan::Balancing;
use async_io::{Async, Timer};
use emulator::load_balancer::parse_agent_report;
use emulator::{Message, encode_message};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

const CHECK_INTERVAL: Duration = Duration::from_millis(500);
const CHECK_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time between health checks until the first one passes.
const STARTUP_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Message id of health checks.
const CHECK_ID: u64 = 0xfe;
/// Message types of health checks and their results.
const CHECK: u8 = 52;
const CHECK_RESULT: u8 = 53;

/// The connection for the health checks of one placer.
#[derive(Default)]
struct CheckConnection {
    stream: Option<Async<TcpStream>>,
    /// Whether the connection was opened after the last health check that passed.
    reopened: bool,
}

impl Generator {
    /// Starts the health checks of every placer, and its agent checks if the load balancer uses agent weights.
    pub(super) fn start_health_checks(self: Rc<Self>) {
        for placer in 0..self.placers.len() {
            let generator = self.clone();
            self.executor
                .spawn(async move { generator.check_placer(placer).await })
                .detach();
            if self.plan.clients.balancing == Balancing::AgentWeights {
                let generator = self.clone();
                self.executor
                    .spawn(async move { generator.poll_agent(placer).await })
                    .detach();
            }
        }
    }

    async fn check_placer(self: Rc<Self>, placer: usize) {
        let Some(addresses) = self.placers.get(placer).copied() else {
            return;
        };
        let mut connection = CheckConnection::default();
        let mut has_passed = false;
        loop {
            let check = self.check_once(placer, addresses.clients, &mut connection);
            let timeout = async {
                Timer::after(CHECK_TIMEOUT).await;
                HealthCheckResult::Failed
            };
            let result = check.or(timeout).await;
            self.state
                .borrow_mut()
                .balancer
                .apply_health_check(placer, result);
            if result == HealthCheckResult::Passed {
                // A check that passes on a new connection, after the previous connection failed, means that the placer
                // has restarted.
                if has_passed && connection.reopened {
                    let now = self.log.now();
                    self.notify_clients(now, Event::PlacerRestarted(placer), Some(placer));
                }
                has_passed = true;
                connection.reopened = false;
            }
            let pause = if has_passed {
                CHECK_INTERVAL
            } else {
                STARTUP_CHECK_INTERVAL
            };
            Timer::after(pause).await;
        }
    }

    async fn check_once(
        self: &Rc<Self>,
        placer: usize,
        address: SocketAddr,
        connection: &mut CheckConnection,
    ) -> HealthCheckResult {
        if connection.stream.is_none() {
            connection.stream = Async::<TcpStream>::connect(address).await.ok();
            connection.reopened = true;
        }
        let Some(stream) = &connection.stream else {
            return HealthCheckResult::Failed;
        };
        let result = self.exchange_check(placer, stream).await;
        if result.is_none() {
            connection.stream = None;
        }
        result.unwrap_or(HealthCheckResult::Failed)
    }

    /// Sends a health check and returns its result, or none if the connection fails.
    async fn exchange_check(
        self: &Rc<Self>,
        placer: usize,
        mut stream: &Async<TcpStream>,
    ) -> Option<HealthCheckResult> {
        let check = encode_message(CHECK, CHECK_ID, &[(CAUSE, &[0])]);
        stream.write_all(&check).await.ok()?;
        let mut inbox = Vec::new();
        loop {
            if let Some((message, length)) = Message::decode(&inbox) {
                inbox.drain(..length);
                if message.kind == CHECK_RESULT {
                    return Some(if message.get(CAUSE) == Some(&[1]) {
                        HealthCheckResult::Passed
                    } else {
                        HealthCheckResult::Draining
                    });
                }
                // A placer may send the notice of a task's end on any connection.
                self.handle_message(None, placer, &message);
                if message.kind == RELEASED {
                    let acknowledgement = encode_message(END_ACKNOWLEDGED, message.id, &[]);
                    let _ = stream.write_all(&acknowledgement).await;
                }
                continue;
            }
            let mut buffer = [0; 1024];
            match stream.read(&mut buffer).await {
                Ok(count) if count > 0 => {
                    inbox.extend_from_slice(buffer.get(..count).unwrap_or_default());
                }
                _ => return None,
            }
        }
    }

    async fn poll_agent(self: Rc<Self>, placer: usize) {
        let Some(addresses) = self.placers.get(placer).copied() else {
            return;
        };
        loop {
            let poll = async {
                let mut stream = Async::<TcpStream>::connect(addresses.agent).await.ok()?;
                stream.write_all(b"rehearsal\n").await.ok()?;
                let mut reply = String::new();
                stream.read_to_string(&mut reply).await.ok()?;
                parse_agent_report(&reply).ok()
            };
            let timeout = async {
                Timer::after(CHECK_TIMEOUT).await;
                None
            };
            if let Some(report) = poll.or(timeout).await {
                self.state
                    .borrow_mut()
                    .balancer
                    .apply_report(placer, report);
            }
            Timer::after(CHECK_INTERVAL).await;
        }
    }
}
