//! The environment of a run: the simulated peers (clients, workers and feeds) and the real placers.
//!
//! [`TestEnvironment`] owns all threads and processes of the run, starts and stops them, and applies faults. It takes
//! no measurements of resource usage; [`super::meter`] does.

use super::schedule::Action;
use crate::audit::Kill;
use crate::clients::{ClientAudit, ClientCommand, ClientState, Clients, running_tasks};
use crate::deployment::{PlacerInstance, configuration};
use crate::error::RunError;
use crate::feeds::{FeedCommand, Feeds};
use crate::identity::PlacerId;
use crate::listener::free_address;
use crate::placer_process::{LaunchOptions, PlacerProcess};
use crate::settings::Settings;
use crate::traffic::{Direction, PlacerCounters, TrafficKind, Volume};
use crate::workers::{WorkerCommand, WorkerReport, WorkerSetup, WorkerState, Workers};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};
use tempfile::TempDir;

/// A placer that has not passed a health check since its latest start, with the last lines of its log.
pub struct NotReady {
    placer: PlacerId,
    log: String,
}

impl NotReady {
    /// Returns the error that ends the run; `limit` is the time within which the placer had to become ready.
    pub fn into_error(self, limit: Duration) -> RunError {
        RunError::NotReady {
            placer: self.placer,
            limit,
            log: self.log,
        }
    }
}

/// The records that are available after the environment has stopped.
pub struct FinalReports {
    /// The records of the clients.
    pub clients: ClientAudit,
    /// The records of the workers.
    pub workers: WorkerReport,
    /// For each placer, the time from each of its starts to the first passed health check, in milliseconds.
    pub ready_ms: Vec<Vec<f64>>,
}

/// The folder of the placers' configurations and logs.
enum Folder {
    /// A temporary folder, removed when this value is dropped.
    Temporary(TempDir),
    /// The folder of the `keep-files` setting, which stays after the run.
    Kept(PathBuf),
}

impl Folder {
    fn open(settings: &Settings) -> Result<Folder, RunError> {
        match &settings.keep_files {
            Some(path) => {
                std::fs::create_dir_all(path)
                    .map_err(RunError::system("create the folder of keep-files"))?;
                Ok(Folder::Kept(path.clone()))
            }
            None => {
                let folder = tempfile::Builder::new().prefix("scale-test-").tempdir();
                folder
                    .map(Folder::Temporary)
                    .map_err(RunError::system("create a temporary folder"))
            }
        }
    }

    fn path(&self) -> &Path {
        match self {
            Folder::Temporary(folder) => folder.path(),
            Folder::Kept(path) => path,
        }
    }
}

/// One placer of the run, with its current process.
struct PlacerSlot {
    process: PlacerProcess,
    restarts: u32,
    /// Whether no health check has passed since the latest start.
    is_starting: bool,
    /// For each start that led to a passed health check, the time from one to the other, in milliseconds.
    ready_ms: Vec<f64>,
}

/// The simulated peers and the placers. Fields are dropped in declaration order, so the placers are killed first.
pub struct TestEnvironment {
    placers: Vec<PlacerSlot>,
    clients: Clients,
    workers: Workers,
    feeds: Feeds,
    counters: Vec<Arc<PlacerCounters>>,
    settings: Settings,
    folder: Folder,
}

impl TestEnvironment {
    /// Starts the simulated peers, then the placers with their configurations.
    pub fn start(settings: &Settings, program: &Path) -> Result<TestEnvironment, RunError> {
        let folder = Folder::open(settings)?;
        let counters: Vec<Arc<PlacerCounters>> =
            (0..settings.placers).map(|_| Arc::default()).collect();
        let peers = |peers| move |source| RunError::Peers { peers, source };
        let running_tasks = running_tasks(settings);
        let feeds = Feeds::start(settings, counters.clone()).map_err(peers("feeds"))?;
        let workers = Workers::start(
            &WorkerSetup::of(settings),
            &running_tasks,
            &counters,
            &feeds.commands(),
        );
        let workers = workers.map_err(peers("workers"))?;
        let clients =
            Clients::start(settings, &running_tasks, counters.clone()).map_err(peers("clients"))?;
        let settings = settings.clone();
        let placers = Vec::new();
        let mut environment = TestEnvironment {
            placers,
            clients,
            workers,
            feeds,
            counters,
            settings,
            folder,
        };
        for placer in (0..environment.settings.placers).map(PlacerId) {
            environment.start_placer(placer, program)?;
        }
        Ok(environment)
    }

    fn start_placer(&mut self, placer: PlacerId, program: &Path) -> Result<(), RunError> {
        self.feeds.commands().send(FeedCommand::SetWorkerPorts(
            placer,
            self.workers.ports(placer).to_vec(),
        ));
        let launch = LaunchOptions {
            placer,
            program: program.to_path_buf(),
            folder: self.folder.path().to_path_buf(),
            address: free_address().map_err(RunError::system("find a free port"))?,
            max_descriptors: self.settings.placer_sockets,
        };
        let address = launch.address;
        let text = self.configuration(placer, 0, address)?;
        let process = PlacerProcess::start(launch, &text)?;
        self.placers.push(PlacerSlot {
            process,
            restarts: 0,
            is_starting: true,
            ready_ms: Vec::new(),
        });
        self.clients
            .send(ClientCommand::PlacerStarted(placer, address));
        Ok(())
    }

    /// Returns the configuration of a placer that starts now, and counts it as traffic to the placer.
    fn configuration(
        &self,
        placer: PlacerId,
        restarts: u32,
        listen: std::net::SocketAddr,
    ) -> Result<String, RunError> {
        let no_feed = || RunError::Peers {
            peers: "feeds",
            source: io::Error::other("the placer has no feed"),
        };
        let feed = self.feeds.address(placer).ok_or_else(no_feed)?;
        let known_events = self.feeds.start_placer(placer);
        let known_events = known_events.map_err(|source| RunError::Peers {
            peers: "feeds",
            source,
        })?;
        let text = configuration(
            &self.settings,
            &PlacerInstance {
                placer,
                restarts,
                listen,
                feed,
                known_events: &known_events,
            },
        );
        if let Some(counters) = self.counters.get(placer.index()) {
            let volume = Volume {
                bytes: text.len() as u64,
                messages: 1,
            };
            counters.add(TrafficKind::Configuration, Direction::ToPlacer, volume);
            counters.add_raw(Direction::ToPlacer, volume.bytes);
        }
        Ok(text)
    }

    /// Returns the traffic counters of all placers, in the order of their indexes.
    pub fn counters(&self) -> Vec<Arc<PlacerCounters>> {
        self.counters.clone()
    }

    /// Returns the simulated clients.
    pub fn clients(&self) -> &Clients {
        &self.clients
    }

    /// Returns the simulated workers.
    pub fn workers(&self) -> &Workers {
        &self.workers
    }

    /// Returns the process ids of all placers, with `None` for each placer that has been killed.
    pub fn process_ids(&self) -> impl Iterator<Item = Option<u32>> + '_ {
        self.placers.iter().map(|slot| slot.process.id())
    }

    /// Returns the current states of the clients and of the workers.
    pub fn states(&self) -> (ClientState, WorkerState) {
        (self.clients.state(), self.workers.state())
    }

    /// Returns an error if a placer has exited or a peer thread has ended without being told to.
    pub fn check(&mut self) -> Result<(), RunError> {
        let failures = [
            ("workers", self.workers.failure()),
            ("clients", self.clients.failure()),
            ("feeds", self.feeds.failure()),
        ];
        for (peers, failure) in failures {
            if let Some(source) = failure {
                return Err(RunError::Peers { peers, source });
            }
        }
        self.placers
            .iter_mut()
            .try_for_each(|slot| slot.process.check())
    }

    // ---- Ready ----

    /// Records how long each placer took to become ready, for the placers that have become ready since the last call.
    pub fn record_ready_times(&mut self) {
        let ready = self.clients.state().ready;
        for (slot, ready) in self.placers.iter_mut().zip(ready) {
            if let Some(ready) = ready.filter(|_| slot.is_starting) {
                slot.is_starting = false;
                let took = ready.saturating_duration_since(slot.process.started);
                slot.ready_ms.push(took.as_secs_f64() * 1e3);
            }
        }
    }

    /// Returns whether all running placers have passed a health check since their latest start.
    pub fn all_ready(&self) -> bool {
        let ready = self.clients.state().ready;
        self.placers
            .iter()
            .zip(ready)
            .all(|(slot, ready)| slot.process.id().is_none() || ready.is_some())
    }

    /// Returns a placer that has started and is not ready, if there is one.
    pub fn not_ready(&self) -> Option<NotReady> {
        self.overdue(Duration::ZERO)
    }

    /// Returns a placer that started longer than `limit` ago and is not ready, if there is one.
    pub fn overdue(&self, limit: Duration) -> Option<NotReady> {
        let late = self.placers.iter().find(|slot| {
            slot.is_starting
                && slot.process.id().is_some()
                && slot.process.started.elapsed() > limit
        });
        late.map(|slot| NotReady {
            placer: slot.process.placer(),
            log: slot.process.log_tail(),
        })
    }

    // ---- Faults ----

    /// Applies one action of the fault schedule. Adds a killed placer and the time of its kill to `kills`.
    pub fn apply(&mut self, action: Action, kills: &mut Vec<Kill>) -> Result<(), RunError> {
        match action {
            Action::CrashZone(zone) => self.workers.send(WorkerCommand::CrashZone(zone)),
            Action::ReportZoneRemoved(zone) => {
                self.feeds.commands().send(FeedCommand::RemoveZone(zone))
            }
            Action::RestoreZone(zone) => {
                self.workers.send(WorkerCommand::RestoreZone(zone));
                self.feeds
                    .commands()
                    .send(FeedCommand::RestoreZone(zone, unix_millis()));
            }
            Action::KillPlacer(placer) => {
                self.clients.announce_kill(placer);
                kills.push(Kill {
                    placer,
                    at: Instant::now(),
                });
                if let Some(slot) = self.placers.get_mut(placer.index()) {
                    slot.process.kill();
                }
                self.clients.send(ClientCommand::PlacerKilled(placer));
            }
            Action::RestartPlacer(placer) => self.restart(placer)?,
            Action::SendGarbage(workers) => self.workers.send(WorkerCommand::SendGarbage(workers)),
        }
        Ok(())
    }

    /// Starts a killed placer again at its former address, with a new configuration.
    fn restart(&mut self, placer: PlacerId) -> Result<(), RunError> {
        let Some(slot) = self.placers.get_mut(placer.index()) else {
            return Ok(());
        };
        slot.restarts += 1;
        slot.is_starting = true;
        let restarts = slot.restarts;
        let address = slot.process.address();
        let text = self.configuration(placer, restarts, address)?;
        if let Some(slot) = self.placers.get_mut(placer.index()) {
            slot.process.restart(&text)?;
        }
        self.clients.clear_kill(placer);
        self.clients
            .send(ClientCommand::PlacerStarted(placer, address));
        Ok(())
    }

    // ---- End ----

    /// Stops the peers and the placers, and returns what they recorded.
    pub fn stop(self) -> Result<FinalReports, RunError> {
        let TestEnvironment {
            placers,
            clients,
            workers,
            feeds,
            ..
        } = self;
        let peers = |peers| move |source| RunError::Peers { peers, source };
        // The peers stop first, so that they do not handle the closing of the placers' connections.
        let clients = clients.stop().map_err(peers("clients"))?;
        let workers = workers.stop().map_err(peers("workers"))?;
        feeds.stop().map_err(peers("feeds"))?;
        let ready_ms = placers
            .into_iter()
            .map(|slot| slot.ready_ms.clone())
            .collect();
        Ok(FinalReports {
            clients,
            workers,
            ready_ms,
        })
    }
}

/// Returns the system time in milliseconds since the Unix epoch.
fn unix_millis() -> u64 {
    let since = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
