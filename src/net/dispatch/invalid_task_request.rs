//! The reasons for which a request is answered without reaching the decision module or a host.

use task_placer::facade::InvalidRequest;

/// Why a request to place or adopt a task is invalid.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub(super) enum InvalidTaskRequest {
    /// The request is not valid under any deployment with these settings.
    #[error(transparent)]
    Request(#[from] InvalidRequest),
    /// The task id is 0, which is reserved for "no task".
    #[error("task id 0 is reserved")]
    MissingId,
    /// The task id is that of a task that has ended.
    #[error("task id already used by a task that has ended")]
    IdUsedBefore,
    /// The request does not fit into one line to a host.
    #[error("description too long for one line to a host")]
    TooLongForHost,
}
