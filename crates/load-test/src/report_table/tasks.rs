//! Writes the tasks of a run as a Parquet table.

use super::error::TableError;
use super::write::{Column, counts, floats, integers, texts, write_parquet};
use crate::clients::Fate;
use crate::outcome::Outcome;
use crate::results::task_result;
use arrow_array::UInt64Array;
use std::path::Path;
use std::sync::Arc;

/// Writes every task of a run as Parquet. Times are in microseconds. The columns `started` and `answered` count from when
/// the task was due, and are empty if the task did not start or was not answered.
///
/// # Errors
///
/// The file can't be written.
pub fn write_tasks(file: &Path, outcome: &Outcome) -> Result<(), TableError> {
    let plan = &outcome.plan;
    let tasks = || outcome.tasks.iter();
    let class = |index: usize| plan.classes.get(index).map(|class| class.name.as_str());
    let tenant = |index: usize| plan.tenants.get(index).map(|tenant| tenant.name.as_str());
    let zone = |index: usize| plan.zones.get(index).map(String::as_str);
    let phase = |index: usize| {
        let phase = outcome.profile.phases.get(index);
        phase.map(|phase| phase.name.as_str())
    };
    let placer = |placer: Option<usize>| placer.and_then(|index| i64::try_from(index).ok());
    let key = Column {
        name: "key",
        values: Arc::new(tasks().map(|task| Some(task.key)).collect::<UInt64Array>()),
    };
    write_parquet(
        file,
        vec![
            key,
            integers("due", tasks().map(|task| Some(task.arrival.due))),
            texts("class", tasks().map(|task| class(task.arrival.class))),
            texts("tenant", tasks().map(|task| tenant(task.arrival.tenant))),
            counts("service", tasks().map(|task| task.arrival.service)),
            texts("room", tasks().map(|task| zone(task.arrival.zone))),
            texts("phase", tasks().map(|task| phase(task.phase))),
            floats("cores", tasks().map(|task| task.arrival.cores)),
            floats("memory", tasks().map(|task| task.arrival.memory)),
            integers("life", tasks().map(|task| Some(task.arrival.run_time))),
            integers("started", tasks().map(|task| task.start_latency)),
            integers("answered", tasks().map(|task| task.answer_latency)),
            counts("attempts", tasks().map(|task| task.attempts)),
            counts("refused", tasks().map(|task| task.rejections)),
            integers("placer", tasks().map(|task| placer(task.placer))),
            texts(
                "result",
                tasks().map(|task| Some(task_result(outcome, task).as_str())),
            ),
            texts("fate", tasks().map(|task| task.fate.map(Fate::as_str))),
        ],
    )
}
