//! Parses lines of the simulator's protocol into events. The words of the protocol's input occur only here, in
//! `fields` and in `session`.

use crate::error::{InputError, Problem};
use crate::fields::{ABSENT, Fields};
use std::collections::BTreeMap;
use task_placer::settings::{Names, millis_to_micros};
use task_placer::{
    CellId, ClassId, Endpoint, EndpointState, Event, KindId, ServiceId, Task, TaskKey, TaskReport,
    TenantId, TimerToken, UpdateKind, ZoneId,
};

/// The endpoint lists received so far, as unparsed lines, by the number that the CATALOG line before each list states.
pub type Catalogs = BTreeMap<u64, Vec<String>>;

/// Positions of a task's fields in a message.
struct TaskFields {
    id: usize,
    class: usize,
    tenant: usize,
    key: usize,
    time_budget: usize,
    expected_run_seconds: usize,
    service: usize,
    cores: usize,
    memory: usize,
    is_retry: usize,
    is_returning: usize,
}

/// Positions of the fields in a TASK message.
const REQUESTED_TASK: TaskFields = TaskFields {
    id: 0,
    expected_run_seconds: 1,
    class: 2,
    cores: 3,
    service: 4,
    key: 5,
    memory: 6,
    is_retry: 7,
    time_budget: 8,
    is_returning: 9,
    tenant: 10,
};
/// Number of values of a TASK message in a deployment without tenants, which omits the tenant.
const TASK_VALUES_WITHOUT_TENANT: usize = 10;

/// Positions of the fields of the task in a STANDING message. The host that runs the task follows them.
const ADOPTED_TASK: TaskFields = TaskFields {
    id: 0,
    class: 1,
    tenant: 2,
    key: 3,
    time_budget: 4,
    expected_run_seconds: 5,
    service: 6,
    cores: 7,
    memory: 8,
    is_retry: 9,
    is_returning: 10,
};

/// Parses one event line; `None` for an event that the decision module does not use.
pub fn read_event(
    fields: &Fields<'_>,
    names: &Names,
    catalogs: &Catalogs,
) -> Result<Option<Event>, InputError> {
    let event = match fields.name {
        "BACKENDS_CHANGED" => endpoints_changed(fields, names, catalogs)?,
        "TASK" => task_requested(fields, names)?,
        "STANDING" => {
            fields.expect_count(12)?;
            let task = read_task(fields, &ADOPTED_TASK, names)?;
            Event::TaskAdopted(task, fields.host_id(11, "host")?)
        }
        "CONFIRMED" => attempt_started(fields)?,
        "INTERIM" => task_reported(fields)?,
        "RESULT" => attempt_ended(fields)?,
        "STATUS_BACK" => health_check_ended(fields)?,
        "ABANDONED" => {
            fields.expect_count(1)?;
            Event::TaskCancelled(fields.request_id(0, "rid")?)
        }
        "TIMER" => {
            fields.expect_count(1)?;
            Event::TimerFired(TimerToken(fields.unsigned(0, "mark")?))
        }
        "PEER_DATA" => {
            fields.expect_count(2)?;
            fields.unsigned(0, "who")?;
            fields.text(1, "contents")?;
            return Ok(None);
        }
        _ => return Err(fields.error("message", Problem::UnknownEvent)),
    };
    Ok(Some(event))
}

fn endpoints_changed(
    fields: &Fields<'_>,
    names: &Names,
    catalogs: &Catalogs,
) -> Result<Event, InputError> {
    fields.expect_count(3)?;
    let kind = match fields.text(0, "mode")? {
        "incr" => UpdateKind::Delta,
        "total" => UpdateKind::Complete,
        "warm_copy" => UpdateKind::Cached,
        "lost" => UpdateKind::Failed,
        other => return Err(fields.error("mode", Problem::UnknownMode(other))),
    };
    let mut endpoints = Vec::new();
    if kind != UpdateKind::Failed {
        fields.number_or(1, "seq_no", 0.0)?;
        let list = fields.unsigned(2, "list")?;
        let lines = catalogs.get(&list);
        let lines = lines.ok_or_else(|| fields.error("list", Problem::UnknownList))?;
        for text in lines {
            endpoints.push(read_endpoint(fields.line, text, names)?);
        }
    }
    Ok(Event::EndpointsChanged { kind, endpoints })
}

fn read_endpoint(line: u64, text: &str, names: &Names) -> Result<Endpoint, InputError> {
    let fields = Fields::new(line, text);
    fields.expect_count(9)?;
    let state = match fields.text(2, "health")? {
        "up" => EndpointState::Up,
        "draining" => EndpointState::Draining,
        "removed" => EndpointState::Removed,
        other => return Err(fields.error("health", Problem::UnknownState(other))),
    };
    fields.number_or(3, "nominal", 1.0)?;
    Ok(Endpoint {
        free_cores: fields.number_or(0, "spare_cpu", 0.0)?,
        zone: ZoneId(fields.name_index(1, "az", &names.zones)?),
        state,
        kind: KindId(fields.name_index(4, "flavor", &names.kinds)?),
        started_at: millis_to_micros(fields.number_or(5, "started_at", 0.0)?),
        cell: CellId(fields.unsigned(6, "pack")?),
        free_memory: fields.number_or(7, "open_memory", 0.0)?,
        host: fields.host_id(8, "host")?,
    })
}

fn task_requested(fields: &Fields<'_>, names: &Names) -> Result<Event, InputError> {
    if fields.values.len() != TASK_VALUES_WITHOUT_TENANT {
        fields.expect_count(TASK_VALUES_WITHOUT_TENANT + 1)?;
    }
    Ok(Event::TaskRequested(read_task(
        fields,
        &REQUESTED_TASK,
        names,
    )?))
}

fn read_task(fields: &Fields<'_>, at: &TaskFields, names: &Names) -> Result<Task, InputError> {
    let tenant = match fields.values.get(at.tenant) {
        None | Some(&(ABSENT | "0")) => None,
        Some(_) => Some(TenantId(fields.name_index(
            at.tenant,
            "billing",
            &names.tenants,
        )?)),
    };
    let run_seconds = fields.number_or(at.expected_run_seconds, "life", f64::NAN)?;
    Ok(Task {
        id: fields.request_id(at.id, "rid")?,
        class: ClassId(fields.name_index(at.class, "qos", &names.classes)?),
        service: ServiceId(fields.hex(at.service, "app")?),
        key: TaskKey(fields.hex(at.key, "task_name")?),
        tenant,
        cores: fields.number(at.cores, "cpu")?,
        memory: fields.number(at.memory, "memory")?,
        expected_run_seconds: (!run_seconds.is_nan()).then_some(run_seconds),
        time_budget: fields.micros(at.time_budget, "budget")?,
        is_retry: fields.flag(at.is_retry, "resent")?,
        is_returning: fields.flag(at.is_returning, "came_back")?,
        shed_rank: 0.0,
        retry_after: 0,
    })
}

fn attempt_started(fields: &Fields<'_>) -> Result<Event, InputError> {
    fields.expect_count(4)?;
    Ok(Event::AttemptStarted {
        id: fields.request_id(0, "rid")?,
        attempt: fields.attempt(1)?,
        host: fields.host_id(2, "host")?,
        elapsed: fields.micros(3, "cost_time")?,
    })
}

fn task_reported(fields: &Fields<'_>) -> Result<Event, InputError> {
    fields.expect_count(5)?;
    fields.attempt(1)?;
    let report = match fields.unsigned(3, "what")? {
        1 => TaskReport::Running,
        2 => TaskReport::Cores,
        3 => TaskReport::Memory,
        4 => TaskReport::ServiceLevel,
        5 => TaskReport::HostMemory,
        _ => TaskReport::Other,
    };
    let value = fields.number_or(4, "value", 0.0)?;
    Ok(Event::TaskReported {
        id: fields.request_id(0, "rid")?,
        host: fields.host_id(2, "host")?,
        report,
        value,
    })
}

fn attempt_ended(fields: &Fields<'_>) -> Result<Event, InputError> {
    fields.expect_count(8)?;
    Ok(Event::AttemptEnded {
        id: fields.request_id(0, "rid")?,
        outcome: fields.outcome(1)?,
        done: fields.flag(2, "complete")?,
        detail: fields.outcome_detail(3)?,
        attempt: fields.attempt(4)?,
        elapsed: fields.micros(5, "cost_time")?,
        host: fields.host_id(6, "host")?,
        load_report: fields.load_report(7, "load")?,
    })
}

fn health_check_ended(fields: &Fields<'_>) -> Result<Event, InputError> {
    fields.expect_count(4)?;
    Ok(Event::HealthCheckEnded {
        outcome: fields.outcome(0)?,
        elapsed: fields.micros(1, "cost_time")?,
        host: fields.host_id(2, "host")?,
        load_report: fields.load_report(3, "load")?,
    })
}
