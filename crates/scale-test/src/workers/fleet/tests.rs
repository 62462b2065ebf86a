//! Tests of the capacity, the replies and the records of simulated workers.

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
        lifetime: Duration::from_secs(7),
        non_idempotent: false,
    }
}

fn offer(index: u32, shape: TaskShape) -> Offer {
    let task = TaskIndex(index);
    Offer {
        id: RequestId::new(task, 0),
        key: task.key(),
        description: shape.write(),
    }
}

fn id(index: u32) -> ActiveTaskId {
    (WORKER, RequestId::new(TaskIndex(index), 0))
}

/// Offers a task to [`WORKER`] and completes its start.
fn start_running_task(fleet: &mut Fleet, index: u32) {
    let reply = fleet.offer(WORKER, PLACER, &offer(index, shape(1.0, 2.0)));
    assert_eq!(
        reply,
        OfferReply::Starts {
            after: Duration::from_millis(200)
        }
    );
    assert_eq!(
        fleet.complete_start(id(index)),
        Some(Duration::from_secs(7))
    );
}

/// Returns a report of free capacity at [`WORKER`].
fn free(free_cores: f64, free_memory: f64) -> FreeResources {
    FreeResources {
        worker: WORKER,
        free_cores,
        free_memory,
    }
}

fn starts() -> OfferReply {
    OfferReply::Starts {
        after: Duration::from_millis(200),
    }
}

#[test]
fn started_task_takes_capacity() {
    let mut fleet = fleet();

    start_running_task(&mut fleet, 0);

    assert_eq!(fleet.take_changed_resources(), [free(1.0, 6.0)]);
}

#[test]
fn ended_task_frees_capacity_and_ends_only_once() {
    let mut fleet = fleet();
    start_running_task(&mut fleet, 0);
    fleet.take_changed_resources();

    assert_eq!(fleet.end_task(id(0)), Some(PLACER));

    assert_eq!(fleet.end_task(id(0)), None, "a task ends only once");
    assert_eq!(fleet.take_changed_resources(), [free(2.0, 8.0)]);
}

#[test]
fn end_is_kept_until_it_is_acknowledged() {
    let mut fleet = fleet();
    start_running_task(&mut fleet, 0);
    fleet.end_task(id(0));
    let pending = [(id(0).1, cause::NORMAL)];
    assert_eq!(fleet.unacknowledged(WORKER, PLACER), pending);

    fleet.acknowledge_end(id(0), Instant::now());

    assert_eq!((fleet.unacknowledged_count(), fleet.active_count()), (0, 0));
    let record = fleet.audit.task(TaskIndex(0));
    assert_eq!(
        (record.starts, record.ended, record.active_copies),
        (1, 1, 0)
    );
    assert!(record.end_acknowledged_at.is_some());
}

/// Returns a fleet in which [`WORKER`] has no free capacity: one task runs and another offer is not answered yet.
fn full_fleet() -> Fleet {
    let mut fleet = fleet();
    start_running_task(&mut fleet, 0);
    let reply = fleet.offer(WORKER, PLACER, &offer(1, shape(1.0, 6.0)));
    assert_eq!(reply, starts());
    fleet
}

#[test]
fn full_worker_names_the_resource_that_it_lacks() {
    let mut fleet = full_fleet();

    let too_many_cores = fleet.offer(WORKER, PLACER, &offer(2, shape(1.0, 1.0)));
    let too_much_memory = fleet.offer(WORKER, PLACER, &offer(2, shape(0.0, 1.0)));

    assert_eq!(too_many_cores, OfferReply::Full(NoCapacity::Cores));
    assert_eq!(too_much_memory, OfferReply::Full(NoCapacity::Memory));
    assert_eq!(fleet.audit.task(TaskIndex(2)).refusals, 2);
}

#[test]
fn withdrawn_offer_frees_its_capacity() {
    let mut fleet = full_fleet();

    assert_eq!(fleet.release(id(1)), ReleaseReply::Nothing);

    assert_eq!(fleet.complete_start(id(1)), None, "the offer was withdrawn");
    let reply = fleet.offer(WORKER, PLACER, &offer(2, shape(1.0, 1.0)));
    assert_eq!(reply, starts());
}

#[test]
fn repeated_cancellation_gets_the_same_reply_and_counts_once() {
    let mut fleet = fleet();
    start_running_task(&mut fleet, 0);

    let replies = [fleet.release(id(0)), fleet.release(id(0))];

    let cancelled = ReleaseReply::Ended(cause::CANCELLED);
    assert_eq!(replies, [cancelled, cancelled]);
    assert_eq!(fleet.unacknowledged_count(), 1);
    assert_eq!(fleet.audit.task(TaskIndex(0)).cancelled, 1);
}

/// Returns a fleet in which the zone of [`WORKER`] has crashed while one task ran and another had ended without an
/// acknowledgement.
fn crashed_fleet() -> Fleet {
    let mut fleet = fleet();
    start_running_task(&mut fleet, 0);
    start_running_task(&mut fleet, 1);
    assert_eq!(fleet.end_task(id(1)), Some(PLACER));
    fleet.take_changed_resources();
    fleet.crash_zone(WORKER.zone(2));
    fleet
}

#[test]
fn crashed_zone_loses_its_tasks_and_its_pending_ends() {
    let mut fleet = crashed_fleet();

    assert_eq!((fleet.active_count(), fleet.unacknowledged_count()), (0, 0));
    assert_eq!(fleet.end_task(id(0)), None);
    let record = fleet.audit.task(TaskIndex(0));
    assert_eq!((record.lost_with_worker, record.active_copies), (1, 0));
}

#[test]
fn crashed_zone_is_silent_and_reports_no_free_capacity() {
    let mut fleet = crashed_fleet();

    assert!(fleet.is_down(WORKER) && !fleet.is_down(WorkerId(0)));
    assert_eq!(
        fleet.take_changed_resources(),
        [],
        "a crashed worker reports nothing"
    );
    let reply = fleet.offer(WORKER, PLACER, &offer(2, shape(1.0, 1.0)));
    assert_eq!(reply, OfferReply::Silent);
}

#[test]
fn restored_zone_is_empty_and_counts_its_starts() {
    let mut fleet = crashed_fleet();

    fleet.restore_zone(WORKER.zone(2));

    let resources = fleet.take_changed_resources();
    assert_eq!(resources.len(), 2);
    assert!(
        resources
            .iter()
            .all(|worker| worker.free_cores == 2.0 && worker.free_memory == 8.0)
    );
    assert_eq!(fleet.audit.starts_after_return, 0);
    start_running_task(&mut fleet, 3);
    assert_eq!(fleet.audit.starts_after_return, 1);
}

#[test]
fn unreadable_offers_are_counted_and_start_nothing() {
    let mut fleet = fleet();
    let unknown_key = Offer {
        key: 7,
        ..offer(0, shape(1.0, 1.0))
    };
    let bad_description = Offer {
        description: "cores=NaN".to_string(),
        ..offer(0, shape(1.0, 1.0))
    };

    for unreadable in [unknown_key, bad_description] {
        let reply = fleet.offer(WORKER, PLACER, &unreadable);
        assert_eq!(reply, OfferReply::Unreadable);
    }

    assert_eq!(fleet.audit.bad_offers, 2);
    assert_eq!(fleet.active_count(), 0);
}

#[test]
fn second_offer_of_a_running_task_is_counted_and_gets_no_reply() {
    let mut fleet = fleet();
    start_running_task(&mut fleet, 0);

    let reply = fleet.offer(WORKER, PLACER, &offer(0, shape(1.0, 1.0)));

    assert_eq!(reply, OfferReply::Silent);
    assert_eq!(fleet.audit.bad_offers, 1);
}

#[test]
fn offer_to_a_worker_that_does_not_exist_gets_no_reply() {
    let reply = fleet().offer(WorkerId(99), PLACER, &offer(1, shape(1.0, 1.0)));

    assert_eq!(reply, OfferReply::Silent);
}

#[test]
fn no_task_ends_by_itself_after_the_fleet_stopped_ending_tasks() {
    let mut fleet = fleet();
    start_running_task(&mut fleet, 0);

    fleet.stop_ending_tasks();

    assert_eq!(fleet.end_task(id(0)), None);
    assert_eq!(fleet.active_count(), 1);
}
