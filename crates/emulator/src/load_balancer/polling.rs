//! A load balancer with sockets, which polls the agent check of each placer.

use super::agent_report::{AdminState, parse_agent_report};
use super::balancer::{CheckResult, LoadBalancer};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// The number of consecutive passed checks after which a server counts as up.
const RISE: u32 = 2;
/// The number of consecutive failed checks after which a server counts as down.
const FALL: u32 = 3;

/// The addresses of a placer.
#[derive(Debug, Clone, Copy)]
pub struct ServerAddresses {
    /// The address at which clients connect.
    pub clients: SocketAddr,
    /// The address at which the agent check answers.
    pub agent: SocketAddr,
}

/// One poll of an agent check.
#[derive(Debug, Clone)]
pub struct Poll {
    /// The time at which the poll was complete.
    pub at: Instant,
    /// The index of the polled server.
    pub server: usize,
    /// The reply, or `None` if there was no reply in time.
    pub line: Option<String>,
}

/// Polls an agent check once: connects, sends a line, and returns the complete reply. Returns `None` if any step fails,
/// or the reply is empty.
pub fn query_agent(address: SocketAddr, line: &str, limit: Duration) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    stream.write_all(line.as_bytes()).ok()?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply).ok()?;
    (!reply.is_empty()).then_some(reply)
}

/// A load balancer that polls its servers until it is dropped.
pub struct PollingLoadBalancer {
    balancer: Arc<Mutex<LoadBalancer>>,
    polls: Arc<Mutex<Vec<Poll>>>,
    servers: Vec<ServerAddresses>,
    stop: Arc<AtomicBool>,
}

/// The state of the thread that polls one server.
struct Poller {
    server: usize,
    agent: SocketAddr,
    interval: Duration,
    limit: Duration,
    balancer: Arc<Mutex<LoadBalancer>>,
    polls: Arc<Mutex<Vec<Poll>>>,
    stop: Arc<AtomicBool>,
}

impl Poller {
    fn run(&self) {
        while !self.stop.load(Ordering::Relaxed) {
            let next = Instant::now() + self.interval;
            self.poll();
            std::thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    }

    fn poll(&self) {
        let server = self.server;
        let request = format!("front/p{server}\n");
        let line = query_agent(self.agent, &request, self.limit);
        // An invalid report is a fault of the placer, so it panics and fails the test.
        let report = line
            .as_deref()
            .map(|line| parse_agent_report(line).expect("invalid agent report"));
        if let Some(report) = report {
            lock(&self.balancer).apply_report(server, report);
        }
        let result = CheckResult::from_pass(line.is_some());
        lock(&self.balancer).apply_check(server, result);
        let at = Instant::now();
        lock(&self.polls).push(Poll { at, server, line });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("a poller has panicked")
}

impl PollingLoadBalancer {
    /// Starts polling each of these placers. `limit` is the timeout for each step of a poll.
    pub fn start(
        servers: &[ServerAddresses],
        interval: Duration,
        limit: Duration,
    ) -> PollingLoadBalancer {
        let balancer = Arc::new(Mutex::new(LoadBalancer::new(servers.len(), RISE, FALL)));
        let polls = Arc::new(Mutex::new(Vec::new()));
        let stop = Arc::new(AtomicBool::new(false));
        for (server, addresses) in servers.iter().enumerate() {
            let poller = Poller {
                server,
                agent: addresses.agent,
                interval,
                limit,
                balancer: balancer.clone(),
                polls: polls.clone(),
                stop: stop.clone(),
            };
            std::thread::spawn(move || poller.run());
        }
        PollingLoadBalancer {
            balancer,
            polls,
            servers: servers.to_vec(),
            stop,
        }
    }

    /// Returns the server for the next client, or `None` if no server gets new clients.
    pub fn pick(&self) -> Option<usize> {
        lock(&self.balancer).pick()
    }

    /// Returns the address at which clients connect to a server.
    pub(super) fn client_address(&self, server: usize) -> SocketAddr {
        self.servers[server].clients
    }

    /// Returns the weight of a server for new clients, which is 0 if it gets none.
    pub fn weight(&self, server: usize) -> u32 {
        let balancer = lock(&self.balancer);
        let server = &balancer.servers[server];
        if server.up && server.admin == AdminState::Ready {
            server.weight
        } else {
            0
        }
    }

    /// Returns the administrative state of a server.
    pub fn admin(&self, server: usize) -> AdminState {
        lock(&self.balancer).servers[server].admin
    }

    /// Returns all polls so far.
    pub fn polls(&self) -> Vec<Poll> {
        lock(&self.polls).clone()
    }
}

impl Drop for PollingLoadBalancer {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}
