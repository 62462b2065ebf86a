//! Why a set-up is answered before the decision module or a host sees it.

use task_placer::facade::InvalidRequest;

/// A set-up that cannot be right.
#[derive(Debug, Clone, PartialEq, thiserror::Error)]
pub(super) enum InvalidTaskRequest {
    /// The settings leave no sense to it.
    #[error(transparent)]
    Request(#[from] InvalidRequest),
    /// The id 0 stands for no task.
    #[error("task id 0, expected another")]
    MissingId,
    /// Its id is that of a task that is complete.
    #[error("the id of a task that is complete")]
    IdUsedBefore,
    /// It does not fit into one line to a host.
    #[error("description too long for a line to a host")]
    TooLongForHost,
}
