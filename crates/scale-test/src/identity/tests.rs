//! Conversion of ids to addresses, names and keys, and back.

use super::*;

#[test]
fn worker_is_found_by_its_address_and_its_name() {
    for index in [0, 1, 255, 256, 7_299, MAX_WORKERS - 1] {
        let worker = WorkerId(index);
        assert_eq!(
            WorkerId::from_address(IpAddr::V4(worker.address()), MAX_WORKERS),
            Some(worker)
        );
        assert_eq!(WorkerId::from_name(&worker.to_string()), Some(worker));
        assert_eq!(worker.address().octets()[0], 127);
    }
    assert_eq!(
        WorkerId::from_address("127.0.0.1".parse().expect("a valid address"), 10),
        None
    );
    assert_eq!(
        WorkerId::from_address("127.16.0.10".parse().expect("a valid address"), 10),
        None
    );
    assert_eq!(
        WorkerId::from_address("::1".parse().expect("a valid address"), 10),
        None
    );
}

#[test]
fn task_is_found_by_its_key_and_its_request_id() {
    let task = TaskIndex(467_999);
    assert_eq!(TaskIndex::from_key(task.key()), Some(task));
    assert_eq!(TaskIndex::from_key(7), None);
    let id = RequestId::new(task, 3);
    assert_eq!(id.parts(), Some((task, 3)));
    assert_eq!(RequestId::parse(&id.to_string()), Some(id));
    assert_eq!(RequestId(0).parts(), None);
    assert_eq!(RequestId::parse("12"), None);
}
