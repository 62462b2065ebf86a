//! Checks the protocol line that each kind of action is formatted as.

use super::*;
use std::sync::Arc;
use task_placer::{HostId, RequestId, TimerToken};

#[test]
fn each_action_is_written_as_its_line() {
    let id = || RequestId(Arc::from("c:a"));
    let host = || HostId(Arc::from("host.b"));
    let cases = [
        (Action::Subscribe, "TRACK\t1\n"),
        (Action::Unsubscribe, "TRACK\t0\n"),
        (Action::PollEndpoints, "SNAPSHOT\n"),
        (
            Action::CloseIdleConnections { host: host() },
            "LET_GO\thost.b\n",
        ),
        (Action::ReportFault("no\tway".into()), "BAIL_OUT\tno way\n"),
        (
            Action::SendAttempt {
                id: id(),
                host: host(),
                timeout: 80_500,
            },
            "PROPOSE\tc:a\thost.b\t80.5\n",
        ),
        (
            Action::CancelAttempt {
                id: id(),
                attempt: 2,
            },
            "RETRACT\tc:a\t2\n",
        ),
        (
            Action::Reject {
                id: id(),
                retry_after: 1_000,
            },
            "SHED\tc:a\t1\n",
        ),
        (Action::Fail { id: id() }, "FINISH_ERROR\tc:a\n"),
        (Action::Migrate { id: id() }, "TAKE_OFF\tc:a\n"),
        (
            Action::SendHealthCheck { host: host() },
            "SOUND_OUT\thost.b\n",
        ),
        (
            Action::SetTimer {
                token: TimerToken(7),
                after: 2_000,
            },
            "SET_ALARM\t7\t2\n",
        ),
        (Action::Log("one\nline".into()), "RECORD\tone line\n"),
    ];
    for (action, line) in cases {
        let mut out = String::new();
        write_action(&mut out, &action);
        assert_eq!(out, line);
    }
}
