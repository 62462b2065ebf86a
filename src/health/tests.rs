//! Tests of `health`.

use super::*;

const MS: Micros = 1_000;

/// An engine whose loop turns every 5 ms and whose feed speaks each second.
struct Run {
    health: Health,
    now: Micros,
    feed: bool,
    gauges: Gauges,
}

impl Run {
    fn new() -> Run {
        let now = 1_000 * SECOND;
        Run {
            health: Health::new(Settings::default(), now),
            now,
            feed: true,
            gauges: Gauges::default(),
        }
    }

    /// One that is up.
    fn up() -> Run {
        let mut run = Run::new();
        run.pass(15 * SECOND);
        assert_eq!((run.health.state(), run.health.weight()), (State::Up, 100));
        run
    }

    fn pass(&mut self, span: Micros) -> Vec<Change> {
        self.pass_with(span, |_, _| {})
    }

    /// Lets time pass; `each` is called every 100 ms.
    fn pass_with(
        &mut self,
        span: Micros,
        mut each: impl FnMut(&mut Health, Micros),
    ) -> Vec<Change> {
        let (end, mut changes) = (self.now + span, Vec::new());
        while self.now < end {
            self.now += 5 * MS;
            changes.extend(self.health.handle(self.now, Event::Turn));
            if self.now % (250 * MS) == 0 {
                changes.extend(
                    self.health
                        .handle(self.now, Event::Look(self.gauges.clone())),
                );
            }
            if self.now % (100 * MS) == 0 {
                each(&mut self.health, self.now);
            }
            if self.feed && self.now % SECOND == 0 {
                changes.extend(self.health.handle(self.now, Event::Feed));
            }
        }
        changes
    }

    fn cause(&mut self) -> Option<Code> {
        self.health.report(self.now).0.cause
    }
}

#[test]
fn a_placer_starts_slowly_and_is_up_once_that_is_over() {
    let mut run = Run::new();
    assert_eq!(
        (run.health.state(), run.health.weight()),
        (State::Starting, 10)
    );
    run.pass(5 * SECOND);
    assert!(
        (40..=60).contains(&run.health.weight()),
        "{}",
        run.health.weight()
    );
    assert_eq!(run.cause(), Some(Code::SlowStart));
    let changes = run.pass(10 * SECOND);
    assert_eq!(
        (run.health.state(), run.health.weight(), run.cause()),
        (State::Up, 100, None)
    );
    assert!(
        changes
            .iter()
            .any(|c| matches!(c, Change::State(t) if t.why == "slow-start-over"))
    );
}

#[test]
fn a_loop_that_stands_still_counts_at_the_first_poll_after_it() {
    let mut run = Run::up();
    run.now += 700 * MS;
    let (report, _) = run.health.report(run.now);
    assert_eq!(
        (report.cause, report.weight < 80),
        (Some(Code::LoopLate), true),
        "{report:?}"
    );
    // Turns that are a little late do not.
    let mut run = Run::up();
    for _ in 0..400 {
        run.now += 15 * MS;
        run.health.handle(run.now, Event::Turn);
        run.health.handle(run.now, Event::Feed);
    }
    assert_eq!(run.health.weight(), 100);
}

#[test]
fn a_silent_feed_shows_within_3_s_and_never_takes_the_weight_to_nothing() {
    let mut run = Run::up();
    run.feed = false;
    run.pass(3 * SECOND);
    assert!(run.health.weight() < 100, "{}", run.health.weight());
    assert_eq!(run.cause(), Some(Code::FeedAge));
    let at_3 = run.health.weight();
    run.pass(10 * SECOND);
    let at_13 = run.health.weight();
    run.pass(300 * SECOND);
    assert!(
        at_13 < at_3 && run.health.weight() < at_13,
        "the longer, the less"
    );
    assert!(
        (40..=45).contains(&run.health.weight()),
        "{}",
        run.health.weight()
    );
    assert_eq!(run.health.state(), State::Degraded);
    run.feed = true;
    run.pass(20 * SECOND);
    assert_eq!((run.health.weight(), run.health.state()), (100, State::Up));
}

#[test]
fn late_answers_count_only_as_far_as_the_fleet_does_not_explain_them() {
    let late = |health: &mut Health, now| {
        health.handle(now, Event::Answered { in_aim: false });
    };
    let mut alone = Run::up();
    alone.gauges.oldest = 3.0;
    alone.pass_with(10 * SECOND, late);
    assert!(alone.health.weight() <= 30, "{}", alone.health.weight());
    // The same, with hosts that refuse.
    let mut full = Run::up();
    for oldest in [0.0, 3.0] {
        full.gauges.oldest = oldest;
        full.pass_with(5 * SECOND, |health, now| {
            late(health, now);
            let offer = Event::Offer {
                outcome: Outcome::Rejected,
                detail: OutcomeDetail::NoCores,
                stretch: 0.0,
            };
            health.handle(now, offer);
        });
    }
    assert!(full.health.weight() >= 95, "{}", full.health.weight());
    assert!(full.health.report(full.now).0.fleet > 0.95);
    // And with a room that is lost, hosts silent there alone.
    let mut lost = Run::up();
    lost.gauges.oldest = 3.0;
    lost.gauges.zones = vec![
        Zone {
            listed: 4,
            silent: 4,
            ..Zone::default()
        },
        Zone {
            listed: 4,
            ..Zone::default()
        },
    ];
    lost.pass_with(10 * SECOND, late);
    assert!(lost.health.weight() >= 95, "{}", lost.health.weight());
}

#[test]
fn each_own_signal_lowers_the_weight_and_is_named() {
    type Spoil = fn(&mut Gauges);
    let bad: [(Code, Spoil); 4] = [
        (Code::Descriptors, |g| g.descriptors = 0.97),
        (Code::Queues, |g| g.queues = 0.9),
        (Code::Unreached, |g| {
            g.zones = vec![
                Zone {
                    listed: 4,
                    silent: 3,
                    ..Zone::default()
                };
                2
            ]
        }),
        (Code::AskAge, |g| g.oldest = 3.5),
    ];
    for (code, spoil) in bad {
        let mut run = Run::up();
        spoil(&mut run.gauges);
        run.pass(5 * SECOND);
        assert!(run.health.weight() < 60, "{code}: {}", run.health.weight());
        assert_eq!(
            (run.cause(), run.health.state()),
            (Some(code), State::Degraded)
        );
    }
    let events: [(Code, Event); 2] = [
        (Code::TurnedAway, Event::Connection { turned_away: true }),
        (
            Code::OfferTimeout,
            Event::Offer {
                outcome: Outcome::Timeout,
                detail: OutcomeDetail::Unknown,
                stretch: 1.0,
            },
        ),
    ];
    for (code, event) in events {
        let mut run = Run::up();
        run.pass_with(5 * SECOND, |health, now| {
            health.handle(now, event.clone());
        });
        assert!(run.health.weight() < 60, "{code}: {}", run.health.weight());
        assert_eq!(run.cause(), Some(code));
    }
}

#[test]
fn orders_go_where_the_drawing_says_and_nowhere_else() {
    use Order::*;
    use State as S;
    let cases: [(&[Order], S); 10] = [
        (&[Drain], S::Drain),
        (&[Drain, Ready], S::Starting),
        (&[Drain, Maint], S::Maint),
        (&[Maint, Drain], S::Drain),
        (&[Maint, Ready], S::Starting),
        (&[Ready], S::Up),
        (&[Drain, Drain], S::Drain),
        (&[Drain, Stop], S::Stopped),
        (&[Stop, Ready], S::Stopped),
        (&[Stop, Drain], S::Stopped),
    ];
    for (orders, state) in cases {
        let mut run = Run::up();
        for order in orders {
            run.health.handle(run.now, Event::Order(*order));
        }
        assert_eq!(run.health.state(), state, "{orders:?}");
    }
    // Out of service the weight is still steered, and no signal ends the state.
    let mut run = Run::up();
    run.health.handle(run.now, Event::Order(Drain));
    run.feed = false;
    run.pass(60 * SECOND);
    assert_eq!(run.health.state(), S::Drain);
    run.health.handle(run.now, Event::Order(Ready));
    assert_eq!(run.health.weight(), 10, "back with a slow start");
}

#[test]
fn the_history_is_bounded() {
    let mut run = Run::up();
    for _ in 0..100 {
        run.health.handle(run.now, Event::Order(Order::Drain));
        run.health.handle(run.now, Event::Order(Order::Ready));
    }
    let (report, _) = run.health.report(run.now);
    assert_eq!(report.history.len(), HISTORY);
    assert_eq!(
        report.history.last().map(|t| (t.from, t.to)),
        Some((State::Drain, State::Starting))
    );
}
