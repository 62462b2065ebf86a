//! Tests of the health monitor.

use super::*;
use crate::{Outcome, OutcomeDetail};

const MILLISECOND: Micros = 1_000;

/// A monitor in simulated time. Its event loop runs every 5 ms, its gauges are sampled every 250 ms, and service
/// discovery sends an update each second while it is up.
struct Simulation {
    monitor: HealthMonitor,
    now: Micros,
    discovery_is_up: bool,
    gauges: Gauges,
}

impl Simulation {
    fn starting() -> Simulation {
        let now = 1_000 * SECOND;
        Simulation {
            monitor: HealthMonitor::new(Settings::default(), now),
            now,
            discovery_is_up: true,
            gauges: Gauges::default(),
        }
    }

    /// Returns a simulation of a placer that is up with full weight.
    fn up() -> Simulation {
        let mut simulation = Simulation::starting();
        simulation.run(15 * SECOND);
        assert_eq!(simulation.state_and_weight(), (State::Up, 100));
        simulation
    }

    fn run(&mut self, duration: Micros) -> Vec<Change> {
        self.run_with(duration, |_, _| {})
    }

    /// Runs the event loop for `duration` and returns the changes of state and weight. `each` is called every 100 ms
    /// with the monitor and the time.
    fn run_with(
        &mut self,
        duration: Micros,
        mut each: impl FnMut(&mut HealthMonitor, Micros),
    ) -> Vec<Change> {
        let end = self.now + duration;
        let mut changes = Vec::new();
        while self.now < end {
            self.now += 5 * MILLISECOND;
            changes.extend(self.monitor.handle(self.now, Event::LoopIteration));
            if self.now % (250 * MILLISECOND) == 0 {
                let sampled = Event::GaugesSampled(self.gauges.clone());
                changes.extend(self.monitor.handle(self.now, sampled));
            }
            if self.now % (100 * MILLISECOND) == 0 {
                each(&mut self.monitor, self.now);
            }
            if self.discovery_is_up && self.now % SECOND == 0 {
                changes.extend(self.monitor.handle(self.now, Event::DiscoveryUpdated));
            }
        }
        changes
    }

    fn command(&mut self, command: Command) {
        self.monitor
            .handle(self.now, Event::CommandReceived(command));
    }

    fn state_and_weight(&self) -> (State, u8) {
        (self.monitor.state(), self.monitor.weight())
    }

    fn weight(&self) -> u8 {
        self.monitor.weight()
    }

    fn cause(&mut self) -> Option<Signal> {
        self.monitor.report(self.now).0.cause
    }
}

fn answer_late(monitor: &mut HealthMonitor, now: Micros) {
    let answered = Event::RequestAnswered {
        within_objective: false,
    };
    monitor.handle(now, answered);
}

#[test]
fn placer_starts_with_a_low_weight_and_is_up_after_the_slow_start() {
    let mut simulation = Simulation::starting();
    assert_eq!(simulation.state_and_weight(), (State::Starting, 10));

    simulation.run(5 * SECOND);
    let weight = simulation.weight();
    assert!((40..=60).contains(&weight), "{weight}");
    assert_eq!(simulation.cause(), Some(Signal::SlowStart));

    let changes = simulation.run(10 * SECOND);
    assert_eq!(simulation.state_and_weight(), (State::Up, 100));
    assert_eq!(simulation.cause(), None);
    assert!(changes.iter().any(
        |change| matches!(change, Change::State(t) if t.reason.as_str() == "slow-start-over")
    ));
}

#[test]
fn stalled_event_loop_counts_at_the_first_poll_after_it() {
    let mut simulation = Simulation::up();

    simulation.now += 700 * MILLISECOND;
    let (report, _) = simulation.monitor.report(simulation.now);

    assert_eq!(report.cause, Some(Signal::LoopLate), "{report:?}");
    assert!(report.weight < 80, "{report:?}");
}

#[test]
fn slightly_late_iterations_do_not_count() {
    let mut simulation = Simulation::up();

    for _ in 0..400 {
        simulation.now += 15 * MILLISECOND;
        let now = simulation.now;
        simulation.monitor.handle(now, Event::LoopIteration);
        simulation.monitor.handle(now, Event::DiscoveryUpdated);
    }

    assert_eq!(simulation.weight(), 100);
}

#[test]
fn silent_discovery_lowers_the_weight_within_3_s_and_more_with_time_but_not_to_the_minimum() {
    let mut simulation = Simulation::up();
    simulation.discovery_is_up = false;

    simulation.run(3 * SECOND);
    let after_3_seconds = simulation.weight();
    assert!(after_3_seconds < 100, "{after_3_seconds}");
    assert_eq!(simulation.cause(), Some(Signal::DiscoveryAge));

    simulation.run(10 * SECOND);
    let after_13_seconds = simulation.weight();
    simulation.run(300 * SECOND);
    let in_the_end = simulation.weight();
    assert!(
        after_13_seconds < after_3_seconds && in_the_end < after_13_seconds,
        "the weight falls further while discovery stays silent"
    );
    assert!((40..=45).contains(&in_the_end), "{in_the_end}");
    assert_eq!(simulation.monitor.state(), State::Degraded);

    simulation.discovery_is_up = true;
    simulation.run(20 * SECOND);
    assert_eq!(simulation.state_and_weight(), (State::Up, 100));
}

#[test]
fn late_responses_lower_the_weight_if_the_fleet_does_not_explain_them() {
    let mut simulation = Simulation::up();
    simulation.gauges.oldest_request = 3.0;

    simulation.run_with(10 * SECOND, answer_late);

    assert!(simulation.weight() <= 30, "{}", simulation.weight());
}

#[test]
fn late_responses_do_not_count_while_hosts_reject_attempts_for_lack_of_capacity() {
    let mut simulation = Simulation::up();

    for oldest_request in [0.0, 3.0] {
        simulation.gauges.oldest_request = oldest_request;
        simulation.run_with(5 * SECOND, |monitor, now| {
            answer_late(monitor, now);
            let rejected = Event::AttemptEnded {
                outcome: Outcome::Rejected,
                detail: OutcomeDetail::NoCores,
                relative_duration: 0.0,
            };
            monitor.handle(now, rejected);
        });
    }

    assert!(simulation.weight() >= 95, "{}", simulation.weight());
    let (report, _) = simulation.monitor.report(simulation.now);
    assert!(report.explained_by_fleet > 0.95);
}

#[test]
fn late_responses_do_not_count_while_the_hosts_of_one_zone_are_silent() {
    let mut simulation = Simulation::up();
    simulation.gauges.oldest_request = 3.0;
    let reachable = ZoneReachability {
        listed: 4,
        ..ZoneReachability::default()
    };
    let silent = ZoneReachability {
        silent: 4,
        ..reachable
    };
    simulation.gauges.zones = vec![silent, reachable];

    simulation.run_with(10 * SECOND, answer_late);

    assert!(simulation.weight() >= 95, "{}", simulation.weight());
}

#[test]
fn each_own_gauge_lowers_the_weight_and_is_reported_as_the_cause() {
    type Worsen = fn(&mut Gauges);
    let cases: [(Signal, Worsen); 4] = [
        (Signal::Descriptors, |gauges| gauges.descriptors = 0.97),
        (Signal::Queues, |gauges| gauges.queues = 0.9),
        (Signal::Unreachable, |gauges| {
            let mostly_silent = ZoneReachability {
                listed: 4,
                silent: 3,
                ..ZoneReachability::default()
            };
            gauges.zones = vec![mostly_silent; 2];
        }),
        (Signal::RequestAge, |gauges| gauges.oldest_request = 3.5),
    ];
    for (signal, worsen) in cases {
        let mut simulation = Simulation::up();
        worsen(&mut simulation.gauges);

        simulation.run(5 * SECOND);

        let weight = simulation.weight();
        assert!(weight < 60, "{signal}: {weight}");
        assert_eq!(simulation.cause(), Some(signal));
        assert_eq!(simulation.monitor.state(), State::Degraded);
    }
}

#[test]
fn each_own_event_lowers_the_weight_and_is_reported_as_the_cause() {
    let cases: [(Signal, Event); 2] = [
        (
            Signal::ConnectionsRejected,
            Event::ClientConnected { rejected: true },
        ),
        (
            Signal::AttemptTimeout,
            Event::AttemptEnded {
                outcome: Outcome::Timeout,
                detail: OutcomeDetail::Unknown,
                relative_duration: 1.0,
            },
        ),
    ];
    for (signal, event) in cases {
        let mut simulation = Simulation::up();

        simulation.run_with(5 * SECOND, |monitor, now| {
            monitor.handle(now, event.clone());
        });

        let weight = simulation.weight();
        assert!(weight < 60, "{signal}: {weight}");
        assert_eq!(simulation.cause(), Some(signal));
    }
}

#[test]
fn commands_change_the_state_as_the_diagram_shows() {
    use Command::{Drain, Maint, Ready, Stop};
    let cases: [(&[Command], State); 10] = [
        (&[Drain], State::Drain),
        (&[Drain, Ready], State::Starting),
        (&[Drain, Maint], State::Maint),
        (&[Maint, Drain], State::Drain),
        (&[Maint, Ready], State::Starting),
        (&[Ready], State::Up),
        (&[Drain, Drain], State::Drain),
        (&[Drain, Stop], State::Stopped),
        (&[Stop, Ready], State::Stopped),
        (&[Stop, Drain], State::Stopped),
    ];
    for (commands, state) in cases {
        let mut simulation = Simulation::up();

        for command in commands {
            simulation.command(*command);
        }

        assert_eq!(simulation.monitor.state(), state, "{commands:?}");
    }
}

#[test]
fn signals_do_not_end_a_drain_and_ready_begins_a_slow_start() {
    let mut simulation = Simulation::up();
    simulation.command(Command::Drain);
    simulation.discovery_is_up = false;

    simulation.run(60 * SECOND);
    assert_eq!(simulation.monitor.state(), State::Drain);

    simulation.command(Command::Ready);
    assert_eq!(
        simulation.weight(),
        10,
        "the placer returns with a slow start"
    );
}

#[test]
fn history_is_limited_to_the_latest_transitions() {
    let mut simulation = Simulation::up();

    for _ in 0..100 {
        simulation.command(Command::Drain);
        simulation.command(Command::Ready);
    }

    let (report, _) = simulation.monitor.report(simulation.now);
    assert_eq!(report.history.len(), MAX_HISTORY);
    assert_eq!(
        report
            .history
            .last()
            .map(|transition| (transition.from, transition.to)),
        Some((State::Drain, State::Starting))
    );
}
