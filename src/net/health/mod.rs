//! The fronts for balancers: agent checks and HTTP checks.

mod agent;
pub mod gate;
mod http;
pub mod watch;

use super::clients::accept::pause_after_accept_error;
use super::dispatch::Shared;
use crate::operator;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use gate::{Away, Gate, Place};
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use task_placer::Micros;
use task_placer::health::drain::{Check, Poller};
use tracing::{debug, info};

/// How long the peer may take to read its answer and close.
const LINGER: Micros = 1_000_000;
const CHUNK: usize = 1_024;

/// Why a connection of a balancer ended; one log line each.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Answered,
    Closed,
    Failed(io::ErrorKind),
    Malformed,
    Refused(u16),
    Away(Away),
}

impl std::fmt::Display for End {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            End::Answered => f.write_str("answered"),
            End::Closed => f.write_str("closed"),
            End::Failed(kind) => write!(f, "failed:{kind}"),
            End::Malformed => f.write_str("malformed"),
            End::Refused(status) => write!(f, "refused:{status}"),
            End::Away(Away::Shed) => f.write_str("shed"),
            End::Away(Away::Late) => f.write_str("late"),
        }
    }
}

impl From<io::Error> for End {
    fn from(e: io::Error) -> End {
        End::Failed(e.kind())
    }
}

/// Opens all listeners and answers on them for the life of the process.
pub fn open(
    settings: &operator::Health,
    executor: &Rc<LocalExecutor<'static>>,
    shared: &Shared,
) -> io::Result<()> {
    let fronts = settings.agent.iter().map(|a| (Check::Agent, a));
    for (check, address) in fronts.chain(settings.http.iter().map(|a| (Check::Http, a))) {
        let listener = Async::<TcpListener>::bind(*address).map_err(|e| {
            let field = if check == Check::Agent {
                "health.agent"
            } else {
                "health.http"
            };
            io::Error::new(e.kind(), format!("{field}: can't listen at {address}: {e}"))
        })?;
        info!(?check, address = %listener.get_ref().local_addr()?, "answers balancers");
        executor
            .spawn(accept(check, listener, shared.clone()))
            .detach();
    }
    Ok(())
}

async fn accept(check: Check, listener: Async<TcpListener>, shared: Shared) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let dispatch = shared.borrow();
                let gate = dispatch.gate.clone();
                let place = gate.enter(dispatch.clock.now() + dispatch.poll_time(check));
                let serving = serve(check, stream, peer, place, gate, shared.clone());
                dispatch.tasks.spawn(serving);
            }
            Err(e) => pause_after_accept_error(&shared, &e).await,
        }
        // Those that were sent away give their descriptors back before the next is taken.
        future::yield_now().await;
    }
}

async fn serve(
    check: Check,
    stream: Async<TcpStream>,
    peer: SocketAddr,
    place: Place,
    gate: Rc<Gate>,
    shared: Shared,
) {
    let away = async { End::Away(place.away().await) };
    let answering = async {
        let end = match check {
            Check::Agent => agent(&stream, peer, &shared).await,
            Check::Http => http(&stream, peer, &place, &gate, &shared).await,
        };
        let end = end.unwrap_or_else(|end| end);
        if matches!(end, End::Answered | End::Refused(_)) {
            gate.stay(&place, shared.borrow().clock.now() + LINGER);
            linger(&stream).await;
        }
        end
    };
    let end = future::or(answering, away).await;
    gate.leave(&place);
    match end {
        // The ordinary end of a poll is no news: there are thousands an hour.
        End::Answered | End::Closed => {
            debug!(?check, %peer, reason = %end, "balancer connection ended")
        }
        _ => info!(?check, %peer, reason = %end, "balancer connection ended"),
    }
}

/// Ends our side, and reads off what still comes: closing on unread input would reset the connection and
/// could take the answer along.
pub async fn linger(stream: &Async<TcpStream>) {
    let _ = stream.get_ref().shutdown(Shutdown::Write);
    let (mut stream, mut scratch, mut count) = (stream, [0; CHUNK], 0);
    while let Ok(n) = stream.read(&mut scratch).await {
        count += n;
        if n == 0 || count > 64 * CHUNK {
            return;
        }
    }
}

async fn agent(stream: &Async<TcpStream>, peer: SocketAddr, shared: &Shared) -> Result<End, End> {
    let wait = shared.borrow().line_wait();
    let line = async {
        let (mut inbox, mut scratch, mut stream) = (Vec::new(), [0; CHUNK], stream);
        loop {
            match agent::sent(&inbox) {
                agent::Sent::Line(line) => return Ok(line),
                agent::Sent::Bad => return Err(End::Malformed),
                agent::Sent::More => {}
            }
            let n = stream.read(&mut scratch).await?;
            if n == 0 {
                // It ends its side and may still read.
                return Ok(String::new());
            }
            inbox.extend_from_slice(scratch.get(..n).unwrap_or_default());
        }
    };
    let none = async {
        Timer::after(wait).await;
        Ok(String::new())
    };
    let line = if wait.is_zero() {
        String::new()
    } else {
        future::or(line, none).await?
    };
    let answer = shared
        .borrow_mut()
        .agent_polled(Poller(Check::Agent, format!("{} {line}", peer.ip())));
    let mut out = stream;
    out.write_all(answer.as_bytes()).await?;
    Ok(End::Answered)
}

async fn http(
    mut stream: &Async<TcpStream>,
    peer: SocketAddr,
    place: &Place,
    gate: &Gate,
    shared: &Shared,
) -> Result<End, End> {
    let (mut inbox, mut scratch) = (Vec::new(), [0; CHUNK]);
    loop {
        match http::parse(&inbox) {
            http::Parsed::More => {
                let n = stream.read(&mut scratch).await?;
                if n == 0 {
                    return Ok(End::Closed);
                }
                if inbox.is_empty() {
                    let dispatch = shared.borrow();
                    gate.stay(
                        place,
                        dispatch.clock.now() + dispatch.poll_time(Check::Http),
                    );
                }
                inbox.extend_from_slice(scratch.get(..n).unwrap_or_default());
            }
            http::Parsed::Bad(status) => {
                stream.write_all(&http::refusal(status)).await?;
                return Ok(End::Refused(status));
            }
            http::Parsed::Request(request, length) => {
                inbox.drain(..length.min(inbox.len()));
                let poller = Poller(Check::Http, peer.ip().to_string());
                let answer = shared.borrow_mut().http_polled(poller, &request);
                stream.write_all(&answer).await?;
                if !request.keep {
                    return Ok(End::Answered);
                }
                {
                    let dispatch = shared.borrow();
                    gate.stay(place, dispatch.clock.now() + dispatch.idle_time());
                }
                // A peer that asks without pause does not keep the thread to itself.
                future::yield_now().await;
            }
        }
    }
}

/// A duration as the clock counts.
pub fn micros(duration: Duration) -> Micros {
    Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX / 4)
}

/// The answers, with what dispatch knows.
impl super::dispatch::Dispatch {
    /// How long a poll may take.
    fn poll_time(&self, check: Check) -> Micros {
        let settings = self.watch.as_ref().map(|watch| &watch.settings);
        settings.map_or(LINGER, |s| match check {
            Check::Agent => micros(s.line_wait) + LINGER,
            Check::Http => micros(s.request_time),
        })
    }

    fn idle_time(&self) -> Micros {
        self.watch
            .as_ref()
            .map_or(LINGER, |watch| micros(watch.settings.idle))
    }

    fn line_wait(&self) -> Duration {
        self.watch
            .as_ref()
            .map_or(Duration::ZERO, |watch| watch.settings.line_wait)
    }

    fn agent_polled(&mut self, poller: Poller) -> String {
        let (now, budget) = (
            self.clock.now(),
            self.clients.connection_limit(self.active_host_count()),
        );
        let Some(watch) = &mut self.watch else {
            return String::new();
        };
        let maxconn = watch.settings.maxconn.then_some(budget);
        agent::answer(&watch.polled(now, poller), maxconn)
    }

    fn http_polled(&mut self, poller: Poller, request: &http::Request) -> Vec<u8> {
        let now = self.clock.now();
        let Some(watch) = &mut self.watch else {
            return http::refusal(503);
        };
        // Only what tells of a drain counts as a balancer's poll.
        let polls = matches!(request.target, http::Target::Ready | http::Target::Health);
        let report = if polls {
            watch.polled(now, poller)
        } else {
            watch.report(now)
        };
        let around = http::Surroundings {
            now,
            started: watch.started() || report.state != task_placer::health::State::Starting,
            drain_status: watch.settings.drain_status,
            degraded_below: watch.settings.degraded_below,
        };
        http::answer(request, &report, &around).1
    }
}
