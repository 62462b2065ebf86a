//! Tests of the limits on the attempts at hosts that are warming up.

use super::*;

#[test]
fn warming_host_gets_no_more_than_this_placers_part_including_rejected_attempts() {
    let mut placer = TestPlacer::new(settings());
    let mut warming = endpoint(0, EndpointState::Up);
    warming.started_at = placer.now;
    placer.handle(Event::EndpointsChanged {
        kind: UpdateKind::Complete,
        endpoints: vec![warming],
    });
    let mut attempts = 0;
    for n in 0..60 {
        let actions = placer.request(task(n, n as u64));
        for rejecting_host in sent_hosts(&actions) {
            attempts += 1;
            placer.end(
                n,
                0,
                &rejecting_host,
                Outcome::Rejected,
                OutcomeDetail::NotEligible,
            );
            placer.handle(Event::HealthCheckEnded {
                host: rejecting_host,
                outcome: Outcome::Completed,
                elapsed: MS,
                load_report: Vec::new(),
            });
        }
    }
    attempts += sent_hosts(&without_times(placer.advance(SECOND))).len();
    assert!(
        attempts > 0 && attempts <= 20,
        "{attempts} attempts, but a warming host handles 60 / 3 from each placer"
    );
}

/// Processes that together serve as one of several placers.
struct Processes {
    placer_count: usize,
    slow_start_attempts: f64,
    processes: u32,
    /// Whether each process is notified of the number of processes.
    know_each_other: bool,
}

impl Processes {
    /// Returns the number of attempts that all processes send to one warming host within `span` while requests keep
    /// coming.
    fn attempts_within(&self, span: Micros) -> usize {
        let indices = 0..self.processes;
        indices
            .map(|index| self.attempts_of_process(index, span))
            .sum()
    }

    fn attempts_of_process(&self, process_index: u32, span: Micros) -> usize {
        let mut placer = TestPlacer::new(Settings {
            placer_count: self.placer_count,
            slow_start_attempts: self.slow_start_attempts,
            ..settings()
        });
        let warming = Endpoint {
            started_at: placer.now,
            ..endpoint(0, EndpointState::Up)
        };
        placer.handle(Event::EndpointsChanged {
            kind: UpdateKind::Complete,
            endpoints: vec![warming],
        });
        if self.know_each_other {
            placer.handle(Event::LimitsChanged(vec![Limit::Processes {
                process_count: self.processes,
                process_index,
            }]));
        }
        let steps = usize::try_from(span / STEP).expect("a positive span");
        (0..steps).map(|n| request_and_reject(&mut placer, n)).sum()
    }
}

/// Time between two requests, in microseconds.
const STEP: Micros = 20 * MS;

/// Requests a task, has the host reject each attempt, and lets a step pass. Returns the number of attempts.
fn request_and_reject(placer: &mut TestPlacer, n: usize) -> usize {
    let mut sent = sent_hosts(&placer.request(Task {
        time_budget: STEP / 2,
        ..task(n, n as u64)
    }));
    sent.extend(sent_hosts(&without_times(placer.advance(0))));
    let attempts = sent.len();
    for host in sent {
        placer.end(n, 0, &host, Outcome::Rejected, OutcomeDetail::NotEligible);
        placer.handle(Event::HealthCheckEnded {
            host,
            outcome: Outcome::Completed,
            elapsed: MS,
            load_report: Vec::new(),
        });
    }
    placer.advance(STEP);
    attempts
}

#[test]
fn processes_of_one_placer_share_its_slow_start_budget() {
    let window = settings().collapse_window;
    let slow_start = settings().slow_start;
    // The first case has a budget of several attempts for each placer. In the second case the budget is less than
    // one attempt, so the placers take turns.
    let cases = [(3, 60.0, window), (30, 30.0, slow_start - window)];
    for (placer_count, slow_start_attempts, span) in cases {
        let attempts = |processes, know_each_other| {
            let processes = Processes {
                placer_count,
                slow_start_attempts,
                processes,
                know_each_other,
            };
            processes.attempts_within(span)
        };

        let one = attempts(1, true);
        let two = attempts(2, true);
        let two_unaware = attempts(2, false);

        assert!(
            one > 1 && two <= one + 1,
            "{placer_count} placers: {one} attempts of one process, {two} of two"
        );
        assert!(
            two_unaware > one + 1,
            "{placer_count} placers: {two_unaware} attempts of two processes unaware of each other, {one} of one"
        );
    }
}
