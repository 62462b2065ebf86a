//! Everything that takes part in a run: the hollow peers and the real placers.

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

/// A placer that passes no test.
pub struct NotReady {
    placer: PlacerId,
    log: String,
}

impl NotReady {
    /// As the error that ends a run.
    pub fn into_error(self, limit: Duration) -> RunError {
        RunError::NotReady {
            placer: self.placer,
            limit,
            log: self.log,
        }
    }
}

/// What is left when all has ended.
pub struct FinalReports {
    /// What the clients noted.
    pub clients: ClientAudit,
    /// What the workers noted.
    pub workers: WorkerReport,
    /// From each start of each placer to its first passed test, in milliseconds.
    pub ready: Vec<Vec<f64>>,
}

/// Where the placers' files are.
enum Folder {
    /// It goes with this value.
    Temporary(TempDir),
    /// It stays.
    Kept(PathBuf),
}

impl Folder {
    fn open(settings: &Settings) -> Result<Folder, RunError> {
        match &settings.keep_files {
            Some(path) => {
                std::fs::create_dir_all(path)
                    .map_err(RunError::system("make the folder of keep-files"))?;
                Ok(Folder::Kept(path.clone()))
            }
            None => {
                let folder = tempfile::Builder::new().prefix("scale-test-").tempdir();
                folder
                    .map(Folder::Temporary)
                    .map_err(RunError::system("make a folder"))
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

struct PlacerSlot {
    process: PlacerProcess,
    restarts: u32,
    /// Its latest start was not followed by a passed test yet.
    starts: bool,
    ready_ms: Vec<f64>,
}

/// Everything that takes part. Placers end first: fields are dropped in their order.
pub struct TestEnvironment {
    members: Vec<PlacerSlot>,
    clients: Clients,
    workers: Workers,
    feeds: Feeds,
    counters: Vec<Arc<PlacerCounters>>,
    settings: Settings,
    folder: Folder,
}

impl TestEnvironment {
    /// Starts the hollow peers, then the placers.
    pub fn start(settings: &Settings, program: &Path) -> Result<TestEnvironment, RunError> {
        let folder = Folder::open(settings)?;
        let counters: Vec<Arc<PlacerCounters>> =
            (0..settings.placers).map(|_| Arc::default()).collect();
        let peers = |peers| move |source| RunError::Peers { peers, source };
        let standing = running_tasks(settings);
        let feeds = Feeds::start(settings, counters.clone()).map_err(peers("feeds"))?;
        let workers = Workers::start(
            &WorkerSetup::of(settings),
            &standing,
            &counters,
            &feeds.commands(),
        );
        let workers = workers.map_err(peers("workers"))?;
        let clients =
            Clients::start(settings, &standing, counters.clone()).map_err(peers("clients"))?;
        let settings = settings.clone();
        let members = Vec::new();
        let mut environment = TestEnvironment {
            members,
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
            sockets: self.settings.placer_sockets,
        };
        let address = launch.address;
        let text = self.configuration(placer, 0, address)?;
        let process = PlacerProcess::start(launch, &text)?;
        self.members.push(PlacerSlot {
            process,
            restarts: 0,
            starts: true,
            ready_ms: Vec::new(),
        });
        self.clients
            .send(ClientCommand::PlacerStarted(placer, address));
        Ok(())
    }

    /// The configuration of a placer that starts now. It is counted as sent to it.
    fn configuration(
        &self,
        placer: PlacerId,
        restarts: u32,
        listen: std::net::SocketAddr,
    ) -> Result<String, RunError> {
        let no_feed = || RunError::Peers {
            peers: "feeds",
            source: io::Error::other("no such feed"),
        };
        let feed = self.feeds.address(placer).ok_or_else(no_feed)?;
        let known = self.feeds.start_placer(placer);
        let known = known.map_err(|source| RunError::Peers {
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
                known: &known,
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

    /// The counters of all placers.
    pub fn counters(&self) -> Vec<Arc<PlacerCounters>> {
        self.counters.clone()
    }

    /// The clients.
    pub fn clients(&self) -> &Clients {
        &self.clients
    }

    /// The workers.
    pub fn workers(&self) -> &Workers {
        &self.workers
    }

    /// The processes of all placers; none for one that is killed.
    pub fn process_ids(&self) -> impl Iterator<Item = Option<u32>> + '_ {
        self.members.iter().map(|member| member.process.id())
    }

    /// How clients and workers are.
    pub fn states(&self) -> (ClientState, WorkerState) {
        (self.clients.state(), self.workers.state())
    }

    /// An error if a placer or a thread of the peers has ended by itself.
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
        self.members
            .iter_mut()
            .try_for_each(|member| member.process.check())
    }

    // ---- Ready ----

    /// Takes over which placers have passed a test since their start.
    pub fn note_ready(&mut self) {
        let ready = self.clients.state().ready;
        for (member, ready) in self.members.iter_mut().zip(ready) {
            if let Some(ready) = ready.filter(|_| member.starts) {
                member.starts = false;
                let took = ready.saturating_duration_since(member.process.started);
                member.ready_ms.push(took.as_secs_f64() * 1e3);
            }
        }
    }

    /// Whether all placers that run have passed a test.
    pub fn all_ready(&self) -> bool {
        let ready = self.clients.state().ready;
        let all = self.members.iter().zip(ready);
        all.into_iter()
            .all(|(member, ready)| member.process.id().is_none() || ready.is_some())
    }

    /// A placer that starts and has not passed a test yet.
    pub fn not_ready(&self) -> Option<NotReady> {
        self.overdue(Duration::ZERO)
    }

    /// A placer that has not passed a test for so long since its start.
    pub fn overdue(&self, limit: Duration) -> Option<NotReady> {
        let late = self.members.iter().find(|member| {
            member.starts
                && member.process.id().is_some()
                && member.process.started.elapsed() > limit
        });
        late.map(|member| NotReady {
            placer: member.process.placer(),
            log: member.process.log_end(),
        })
    }

    // ---- Faults ----

    /// Does what is due.
    pub fn act(&mut self, action: Action, kills: &mut Vec<Kill>) -> Result<(), RunError> {
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
                if let Some(member) = self.members.get_mut(placer.index()) {
                    member.process.kill();
                }
                self.clients.send(ClientCommand::PlacerKilled(placer));
            }
            Action::RestartPlacer(placer) => self.restart(placer)?,
            Action::SendGarbage(workers) => self.workers.send(WorkerCommand::SendGarbage(workers)),
        }
        Ok(())
    }

    fn restart(&mut self, placer: PlacerId) -> Result<(), RunError> {
        let Some(member) = self.members.get_mut(placer.index()) else {
            return Ok(());
        };
        member.restarts += 1;
        member.starts = true;
        let (restarts, address) = (member.restarts, member.process.address());
        let text = self.configuration(placer, restarts, address)?;
        if let Some(member) = self.members.get_mut(placer.index()) {
            member.process.restart(&text)?;
        }
        self.clients.clear_kill(placer);
        self.clients
            .send(ClientCommand::PlacerStarted(placer, address));
        Ok(())
    }

    // ---- End ----

    /// Ends everything.
    pub fn stop(self) -> Result<FinalReports, RunError> {
        let TestEnvironment {
            members,
            clients,
            workers,
            feeds,
            ..
        } = self;
        let peers = |peers| move |source| RunError::Peers { peers, source };
        // Peers end first: what the end of a placer would make them say is not owed any more.
        let clients = clients.stop().map_err(peers("clients"))?;
        let workers = workers.stop().map_err(peers("workers"))?;
        feeds.stop().map_err(peers("feeds"))?;
        let ready = members
            .into_iter()
            .map(|member| member.ready_ms.clone())
            .collect();
        Ok(FinalReports {
            clients,
            workers,
            ready,
        })
    }
}

/// The system's time in Unix milliseconds.
fn unix_millis() -> u64 {
    let since = SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
