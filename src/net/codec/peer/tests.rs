//! Tests of the messages between the processes of one placer.

use super::*;

fn host(name: &str) -> HostId {
    HostId(Arc::from(name))
}

#[test]
fn messages_are_read_as_they_were_written() {
    let task = TaskId(0x51);
    let long_name = "x".repeat(MAX_HOST_BYTES);
    let delivery = [EndDelivery::InProgress, EndDelivery::WaitsForClient];
    let states = [
        PeerTaskState::Running(host("s-1\"\\\n")),
        PeerTaskState::Releasing(host(&long_name), Cause::CANCELLED),
        PeerTaskState::Ended(TaskEnd::Released(Cause(16)), delivery[0]),
        PeerTaskState::Ended(TaskEnd::Migrated, delivery[1]),
    ];
    let mut messages = vec![
        PeerMessage::Hello,
        PeerMessage::Done(task),
        PeerMessage::Release(task, Cause(16)),
        PeerMessage::Claim(task),
        PeerMessage::Grant(task),
        PeerMessage::Adopted(task),
        PeerMessage::Tried(task),
    ];
    messages.extend(states.map(|state| PeerMessage::Task(task, state)));
    messages.extend([true, false].map(|is_known| PeerMessage::ReleaseReply { task, is_known }));
    messages.extend(
        [OutcomeDetail::Unknown, OutcomeDetail::Preempted].map(|detail| PeerMessage::HostRelease {
            task,
            host: host("s"),
            cause: Cause(41),
            detail,
        }),
    );
    for message in messages {
        let mut line = write(&message).expect("the message can be sent");
        assert_eq!(line.pop(), Some(b'\n'), "{message:?}");
        assert!(!line.contains(&b'\n'), "{message:?}");

        assert_eq!(read(&mut line), Ok(message));
    }
}

#[test]
fn task_at_a_host_with_too_long_a_name_is_not_announced() {
    for name in [String::new(), "x".repeat(MAX_HOST_BYTES + 1)] {
        let message = PeerMessage::Task(TaskId(1), PeerTaskState::Running(host(&name)));
        assert_eq!(write(&message), None, "{} bytes", name.len());
    }
}

#[test]
fn malformed_lines_are_rejected_with_the_field_at_fault() {
    let id = "0000000000000001";
    for (line, expected) in [
        ("", Malformed::Json),
        ("[]", Malformed::Json),
        ("{\"t\":1}", Malformed::Field("t")),
        ("{\"t\":\"done\"}", Malformed::Field("ref")),
        ("{\"t\":\"done\",\"ref\":\"1\"}", Malformed::Field("ref")),
        (
            &format!("{{\"t\":\"release\",\"ref\":\"{id}\"}}"),
            Malformed::Field("c"),
        ),
        (
            &format!("{{\"t\":\"release\",\"ref\":\"{id}\",\"c\":256}}"),
            Malformed::Field("c"),
        ),
        (
            &format!("{{\"t\":\"released\",\"ref\":\"{id}\",\"f\":{{\"known\":1}}}}"),
            Malformed::Field("known"),
        ),
        (
            &format!("{{\"t\":\"task\",\"ref\":\"{id}\",\"f\":{{\"state\":\"running\"}}}}"),
            Malformed::Field("host"),
        ),
        (
            &format!("{{\"t\":\"task\",\"ref\":\"{id}\",\"f\":{{\"state\":\"ended\"}}}}"),
            Malformed::Field("end"),
        ),
        (
            &format!("{{\"t\":\"down\",\"ref\":\"{id}\",\"c\":16}}"),
            Malformed::Field("host"),
        ),
        ("{\"t\":\"claim\",\"ref\":16}", Malformed::Field("ref")),
        (
            &format!(
                "{{\"t\":\"task\",\"ref\":\"{id}\",\"f\":{{\"host\":\"s\",\"state\":\"lost\"}}}}"
            ),
            Malformed::Field("state"),
        ),
        (
            &format!(
                "{{\"t\":\"task\",\"ref\":\"{id}\",\"f\":{{\"host\":\"s\",\"state\":\"releasing\"}}}}"
            ),
            Malformed::Field("c"),
        ),
    ] {
        assert_eq!(read(&mut line.as_bytes().to_vec()), Err(expected), "{line}");
    }
    assert_eq!(
        read(&mut b"{\"t\":\"later\"}".to_vec()),
        Ok(PeerMessage::Other)
    );
}
