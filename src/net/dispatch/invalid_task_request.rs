//! Why a request is answered before the decision module or a host sees it.

use task_placer::facade::InvalidRequest;

/// A request that cannot be right.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub(super) enum InvalidTaskRequest {
    /// No deployment with these settings can mean it.
    #[error(transparent)]
    Request(#[from] InvalidRequest),
    /// The id 0 stands for no task.
    #[error("task id 0, expected another")]
    MissingId,
    /// Its id is that of a task that has ended.
    #[error("the id of a task that is complete")]
    IdUsedBefore,
    /// It does not fit into one line to a host.
    #[error("description too long for a line to a host")]
    TooLongForHost,
}
