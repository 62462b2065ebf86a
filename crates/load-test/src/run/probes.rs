//! Tests of placers for the life of a run, as the front layer makes them, and questions to their agents.

use super::generator::World;
use crate::clients::Event;
use crate::front::Tested;
use crate::plan::Spread;
use async_io::{Async, Timer};
use emulator::load_balancer::parse_agent_report;
use emulator::{Message, encode_message};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Between tests of a placer, and how long one may take.
const TEST_EVERY: Duration = Duration::from_millis(500);
const TEST_LIMIT: Duration = Duration::from_millis(1_000);

impl World {
    /// Tests every placer for the life of the run, and asks its agent where clients go by it.
    pub(super) fn test_all(self: Rc<Self>) {
        for n in 0..self.placers.len() {
            let testing = self.clone();
            self.executor
                .spawn(async move { testing.test_on(n).await })
                .detach();
            if self.plan.clients.spread == Spread::Agent {
                let asking = self.clone();
                self.executor
                    .spawn(async move { asking.ask_agent_on(n).await })
                    .detach();
            }
        }
    }

    async fn test_on(self: Rc<Self>, n: usize) {
        let Some((address, _)) = self.placers.get(n).copied() else {
            return;
        };
        // A test on a connection that was made anew, after one before it broke, means a new process.
        let mut stream: Option<Async<TcpStream>> = None;
        let (mut was_in, mut renewed) = (false, false);
        loop {
            let tested = async {
                if stream.is_none() {
                    stream = Async::<TcpStream>::connect(address).await.ok();
                    renewed = true;
                }
                let Some(open) = &stream else {
                    return Tested::Failed;
                };
                let mut open = open;
                let mut inbox = Vec::new();
                if open
                    .write_all(&encode_message(52, 0xfe, &[(171, &[0])]))
                    .await
                    .is_err()
                {
                    stream = None;
                    return Tested::Failed;
                }
                loop {
                    if let Some((message, length)) = Message::decode(&inbox) {
                        inbox.drain(..length);
                        match message.kind {
                            53 if message.get(171) == Some(&[1]) => return Tested::Passed,
                            53 => return Tested::Closing,
                            // The end of a task may be told on any connection.
                            _ => {
                                self.word(u64::MAX, n, &message);
                                if message.kind == 12 {
                                    let _ =
                                        open.write_all(&encode_message(16, message.id, &[])).await;
                                }
                                continue;
                            }
                        }
                    }
                    let mut chunk = [0; 1024];
                    match open.read(&mut chunk).await {
                        Ok(count) if count > 0 => {
                            inbox.extend_from_slice(chunk.get(..count).unwrap_or_default())
                        }
                        _ => {
                            stream = None;
                            return Tested::Failed;
                        }
                    }
                }
            };
            let limit = async {
                Timer::after(TEST_LIMIT).await;
                Tested::Failed
            };
            let tested = tested.or(limit).await;
            self.inner.borrow_mut().front.tested(n, tested);
            if tested == Tested::Passed {
                if was_in && renewed {
                    let now = self.log.now();
                    self.tell(now, Event::Restarted(n), Some(n));
                }
                (was_in, renewed) = (true, false);
            }
            Timer::after(if was_in {
                TEST_EVERY
            } else {
                Duration::from_millis(20)
            })
            .await;
        }
    }

    async fn ask_agent_on(self: Rc<Self>, n: usize) {
        let Some((_, agent)) = self.placers.get(n).copied() else {
            return;
        };
        loop {
            let asked = async {
                let mut stream = Async::<TcpStream>::connect(agent).await.ok()?;
                stream.write_all(b"rehearsal\n").await.ok()?;
                let mut answer = String::new();
                stream.read_to_string(&mut answer).await.ok()?;
                parse_agent_report(&answer).ok()
            };
            let limit = async {
                Timer::after(TEST_LIMIT).await;
                None
            };
            if let Some(advice) = asked.or(limit).await {
                self.inner.borrow_mut().front.advised(n, advice);
            }
            Timer::after(TEST_EVERY).await;
        }
    }
}
