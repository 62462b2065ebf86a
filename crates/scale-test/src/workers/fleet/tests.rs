//! What workers hold and say.

use super::*;

const WORKER: WorkerId = WorkerId(1);
const PLACER: PlacerId = PlacerId(0);

fn fleet() -> Fleet {
    let start_time = Duration::from_millis(200);
    Fleet::new(
        WorkerSetup {
            workers: 4,
            zones: 2,
            cores: 2.0,
            memory: 8.0,
            start_time,
        },
        &[],
    )
}

fn shape(cores: f64, memory: f64) -> TaskShape {
    TaskShape {
        cores,
        memory,
        life: Duration::from_secs(7),
        once: false,
    }
}

fn offer(index: u32, shape: TaskShape) -> Offer {
    let task = TaskIndex(index);
    Offer {
        id: SetupId::new(task, 0),
        key: task.key(),
        description: shape.write(),
    }
}

fn id(index: u32) -> ActiveTaskId {
    (WORKER, SetupId::new(TaskIndex(index), 0))
}

/// Offers a task and has it stand.
fn stands(fleet: &mut Fleet, index: u32) {
    let reply = fleet.offer(WORKER, PLACER, &offer(index, shape(1.0, 2.0)));
    assert_eq!(
        reply,
        OfferReply::Starts {
            after: Duration::from_millis(200)
        }
    );
    assert_eq!(fleet.answer(id(index)), Some(Duration::from_secs(7)));
}

#[test]
fn a_task_starts_stands_ends_and_its_end_is_kept_until_it_is_heard() {
    let mut fleet = fleet();
    stands(&mut fleet, 0);
    let room = FreeResources {
        worker: WORKER,
        free_cores: 1.0,
        free_memory: 6.0,
    };
    assert_eq!(fleet.take_changed_resources(), [room]);
    assert_eq!(fleet.end(id(0)), Some(PLACER));
    assert_eq!(fleet.end(id(0)), None, "it ends once");
    assert_eq!(
        fleet.unacknowledged(WORKER, PLACER),
        [(id(0).1, cause::NORMAL)]
    );
    assert_eq!(
        fleet.take_changed_resources(),
        [FreeResources {
            free_cores: 2.0,
            free_memory: 8.0,
            ..room
        }]
    );
    fleet.heard(id(0), Instant::now());
    assert_eq!((fleet.unacknowledged_count(), fleet.active_count()), (0, 0));
    let book = fleet.audit.task(TaskIndex(0));
    assert_eq!((book.starts, book.ended, book.active_copies), (1, 1, 0));
    assert!(book.heard.is_some());
}

#[test]
fn a_full_worker_says_what_it_lacks_and_an_offer_that_is_given_up_frees_its_room() {
    let mut fleet = fleet();
    stands(&mut fleet, 0);
    let starts = OfferReply::Starts {
        after: Duration::from_millis(200),
    };
    assert_eq!(
        fleet.offer(WORKER, PLACER, &offer(1, shape(1.0, 6.0))),
        starts
    );
    let full = |why| OfferReply::Full(why);
    assert_eq!(
        fleet.offer(WORKER, PLACER, &offer(2, shape(1.0, 1.0))),
        full(NoCapacity::Cores)
    );
    assert_eq!(
        fleet.offer(WORKER, PLACER, &offer(2, shape(0.0, 1.0))),
        full(NoCapacity::Memory)
    );
    assert_eq!(fleet.release(id(1)), ReleaseReply::Nothing);
    assert_eq!(fleet.answer(id(1)), None, "it was given up");
    assert_eq!(
        fleet.offer(WORKER, PLACER, &offer(2, shape(1.0, 1.0))),
        starts
    );
    assert_eq!(fleet.audit.task(TaskIndex(2)).refusals, 2);
}

#[test]
fn a_placer_cuts_what_stands_and_hears_so_each_time_that_it_asks() {
    let mut fleet = fleet();
    stands(&mut fleet, 0);
    let cut = ReleaseReply::Ended(cause::CANCELLED);
    assert_eq!([fleet.release(id(0)), fleet.release(id(0))], [cut, cut]);
    assert_eq!(fleet.unacknowledged_count(), 1);
    assert_eq!(fleet.audit.task(TaskIndex(0)).cut, 1);
}

#[test]
fn a_zone_that_vanishes_takes_its_tasks_along_and_comes_back_empty() {
    let mut fleet = fleet();
    stands(&mut fleet, 0);
    stands(&mut fleet, 1);
    assert_eq!(fleet.end(id(1)), Some(PLACER));
    let zone = WORKER.zone(2);
    fleet.take_changed_resources();
    fleet.vanish(zone);
    assert_eq!((fleet.active_count(), fleet.unacknowledged_count()), (0, 0));
    assert!(fleet.gone(WORKER) && !fleet.gone(WorkerId(0)));
    assert_eq!(fleet.take_changed_resources(), [], "nobody sees it");
    assert_eq!(
        fleet.offer(WORKER, PLACER, &offer(2, shape(1.0, 1.0))),
        OfferReply::Silent
    );
    assert_eq!(fleet.end(id(0)), None);
    fleet.restore_zone(zone);
    let rooms = fleet.take_changed_resources();
    assert_eq!(rooms.len(), 2);
    assert!(
        rooms
            .iter()
            .all(|room| room.free_cores == 2.0 && room.free_memory == 8.0)
    );
    assert_eq!(fleet.audit.starts_after_return, 0);
    stands(&mut fleet, 3);
    assert_eq!(fleet.audit.starts_after_return, 1);
    let book = fleet.audit.task(TaskIndex(0));
    assert_eq!((book.vanished, book.active_copies), (1, 0));
}

#[test]
fn offers_that_no_client_has_made_are_counted_and_start_nothing() {
    let mut fleet = fleet();
    let unknown = Offer {
        key: 7,
        ..offer(0, shape(1.0, 1.0))
    };
    let garbled = Offer {
        description: "cores=NaN".to_string(),
        ..offer(0, shape(1.0, 1.0))
    };
    assert_eq!(
        fleet.offer(WORKER, PLACER, &unknown),
        OfferReply::Unreadable
    );
    assert_eq!(
        fleet.offer(WORKER, PLACER, &garbled),
        OfferReply::Unreadable
    );
    stands(&mut fleet, 0);
    assert_eq!(
        fleet.offer(WORKER, PLACER, &offer(0, shape(1.0, 1.0))),
        OfferReply::Silent
    );
    assert_eq!(fleet.audit.bad_offers, 3);
    assert_eq!(
        fleet.offer(WorkerId(99), PLACER, &offer(1, shape(1.0, 1.0))),
        OfferReply::Silent
    );
}

#[test]
fn nothing_ends_by_itself_once_the_fleet_is_frozen() {
    let mut fleet = fleet();
    stands(&mut fleet, 0);
    fleet.freeze();
    assert_eq!(fleet.end(id(0)), None);
    assert_eq!(fleet.active_count(), 1);
}
