//! Tests of the messages between the processes of one placer.

use super::*;

fn host(name: &str) -> HostId {
    HostId(Arc::from(name))
}

#[test]
fn messages_are_read_as_they_were_written() {
    let task = TaskId(0x51);
    let messages = [
        PeerMessage::Hello,
        PeerMessage::Task {
            task,
            host: host("s-1\"\\\n"),
            state: PeerTaskState::Running,
        },
        PeerMessage::Task {
            task,
            host: host(&"x".repeat(MAX_HOST_BYTES)),
            state: PeerTaskState::Releasing(Cause::CANCELLED),
        },
        PeerMessage::Done(task),
        PeerMessage::Release(task, Cause(16)),
        PeerMessage::ReleaseReply {
            task,
            is_known: true,
        },
        PeerMessage::ReleaseReply {
            task,
            is_known: false,
        },
    ];
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
        let message = PeerMessage::Task {
            task: TaskId(1),
            host: host(&name),
            state: PeerTaskState::Running,
        };
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
            &format!("{{\"t\":\"task\",\"ref\":\"{id}\",\"f\":{{}}}}"),
            Malformed::Field("host"),
        ),
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
