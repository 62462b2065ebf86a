//! Hosts that warm up.

use super::*;

#[test]
fn warming_host_gets_no_more_than_this_placers_part_including_rejected_attempts() {
    let mut placer = TestPlacer::new(settings());
    let mut cold = endpoint(0, EndpointState::Up);
    cold.started_at = placer.now;
    placer.handle(Event::EndpointsChanged {
        kind: UpdateKind::Complete,
        endpoints: vec![cold],
    });
    let mut offers = 0;
    for n in 0..60 {
        let actions = placer.request(task(n, n as u64));
        for at in sent_hosts(&actions) {
            offers += 1;
            placer.end(n, 0, &at, Outcome::Rejected, OutcomeDetail::NotEligible);
            placer.handle(Event::HealthCheckEnded {
                host: at,
                outcome: Outcome::Completed,
                elapsed: MS,
                load_report: Vec::new(),
            });
        }
    }
    offers += sent_hosts(&without_times(placer.advance(SECOND))).len();
    assert!(
        offers > 0 && offers <= 20,
        "{offers} offers where 60 / 3 are borne"
    );
}

#[test]
fn processes_of_one_placer_share_its_slow_start_budget() {
    // How many offers so many processes send to one cold machine within `span`, asked all along.
    let offers =
        |placers: usize, sends_borne: f64, processes: u32, told: bool, span: Micros| -> usize {
            let settings = Settings {
                placer_count: placers,
                slow_start_attempts: sends_borne,
                ..settings()
            };
            let mut all: Vec<TestPlacer> = (0..processes)
                .map(|_| TestPlacer::new(settings.clone()))
                .collect();
            let mut count = 0;
            for (process_index, placer) in all.iter_mut().enumerate() {
                let mut cold = endpoint(0, EndpointState::Up);
                cold.started_at = placer.now;
                placer.handle(Event::EndpointsChanged {
                    kind: UpdateKind::Complete,
                    endpoints: vec![cold],
                });
                if told {
                    placer.handle(Event::LimitsChanged(vec![Limit::Processes {
                        process_count: processes,
                        process_index: process_index as u32,
                    }]));
                }
                for n in 0..usize::try_from(span / (20 * MS)).unwrap() {
                    let mut sent = sent_hosts(&placer.request(Task {
                        time_budget: 10 * MS,
                        ..task(n, n as u64)
                    }));
                    sent.extend(sent_hosts(&without_times(placer.advance(0))));
                    for at in sent {
                        count += 1;
                        placer.end(n, 0, &at, Outcome::Rejected, OutcomeDetail::NotEligible);
                        placer.handle(Event::HealthCheckEnded {
                            host: at,
                            outcome: Outcome::Completed,
                            elapsed: MS,
                            load_report: Vec::new(),
                        });
                    }
                    placer.advance(20 * MS);
                }
            }
            count
        };
    let (fall, cold) = (settings().collapse_window, settings().slow_start);
    // A part of several offers, and one of less than an offer, which is had by turns.
    for (placers, borne, span) in [(3, 60.0, fall), (30, 30.0, cold - fall)] {
        let (one, two) = (
            offers(placers, borne, 1, true, span),
            offers(placers, borne, 2, true, span),
        );
        let untold = offers(placers, borne, 2, false, span);
        assert!(
            one > 1 && two <= one + 1,
            "{placers}: {one} of one process, {two} of two"
        );
        assert!(
            untold > one + 1,
            "{placers}: {untold} of two that do not know of each other, {one} of one"
        );
    }
}
