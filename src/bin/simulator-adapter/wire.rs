//! Lines of the wire to events, actions to lines.

use std::collections::BTreeMap;
use std::fmt::{self, Write};
use std::sync::Arc;
use task_placer::settings::{Names, millis, parse_number};
use task_placer::*;

/// What is wrong with the input, and where.
pub struct Problem {
    line: u64,
    field: String,
    what: String,
}

impl Problem {
    pub fn at(line: u64, field: &str, what: &str) -> Problem {
        Problem {
            line,
            field: field.to_string(),
            what: what.to_string(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: field {}: {}", self.line, self.field, self.what)
    }
}

/// One line, split: the message name and its values.
pub struct Fields<'a> {
    pub line: u64,
    pub name: &'a str,
    pub values: Vec<&'a str>,
}

impl<'a> Fields<'a> {
    pub fn new(line: u64, text: &'a str) -> Fields<'a> {
        let mut parts = text.split('\t');
        Fields {
            line,
            name: parts.next().unwrap_or(""),
            values: parts.collect(),
        }
    }

    pub fn problem(&self, field: &str, what: &str) -> Problem {
        Problem::at(self.line, field, &format!("{what} ({})", self.name))
    }

    pub fn exactly(&self, count: usize) -> Result<(), Problem> {
        if self.values.len() == count {
            return Ok(());
        }
        Err(self.problem(
            "message",
            &format!("{} values where {count} belong", self.values.len()),
        ))
    }

    pub fn text(&self, i: usize, field: &str) -> Result<&'a str, Problem> {
        match self.values.get(i) {
            Some(v) if !v.is_empty() => Ok(v),
            _ => Err(self.problem(field, "missing")),
        }
    }

    pub fn unsigned(&self, i: usize, field: &str) -> Result<u64, Problem> {
        let text = self.text(i, field)?;
        text.parse()
            .map_err(|_| self.problem(field, &format!("not a whole number: {text}")))
    }

    pub fn number(&self, i: usize, field: &str) -> Result<f64, Problem> {
        let text = self.text(i, field)?;
        parse_number(text).ok_or_else(|| self.problem(field, &format!("not a number: {text}")))
    }

    fn number_or(&self, i: usize, field: &str, absent: f64) -> Result<f64, Problem> {
        if self.text(i, field)? == "-" {
            Ok(absent)
        } else {
            self.number(i, field)
        }
    }

    pub fn micros(&self, i: usize, field: &str) -> Result<Micros, Problem> {
        self.number(i, field).map(millis)
    }

    fn flag(&self, i: usize, field: &str) -> Result<bool, Problem> {
        match self.text(i, field)? {
            "1" => Ok(true),
            "0" | "-" => Ok(false),
            other => Err(self.problem(field, &format!("not 0 or 1: {other}"))),
        }
    }

    fn hex(&self, i: usize, field: &str) -> Result<u64, Problem> {
        let text = self.text(i, field)?;
        if text == "-" {
            return Ok(0);
        }
        u64::from_str_radix(text, 16)
            .map_err(|_| self.problem(field, &format!("not hex digits: {text}")))
    }

    fn named(&self, i: usize, field: &str, names: &[String]) -> Result<usize, Problem> {
        let text = self.text(i, field)?;
        let found = names.iter().position(|n| n == text);
        found.ok_or_else(|| self.problem(field, &format!("unknown name: {text}")))
    }

    fn id(&self, i: usize, field: &str) -> Result<RequestId, Problem> {
        self.text(i, field).map(|t| RequestId(Arc::from(t)))
    }

    fn host(&self, i: usize, field: &str) -> Result<HostId, Problem> {
        self.text(i, field).map(|t| HostId(Arc::from(t)))
    }

    fn attempt(&self, i: usize) -> Result<u32, Problem> {
        u32::try_from(self.unsigned(i, "copy")?).map_err(|_| self.problem("copy", "too large"))
    }

    fn report(&self, i: usize, field: &str) -> Result<Vec<f64>, Problem> {
        let text = self.text(i, field)?;
        if text == "-" {
            return Ok(Vec::new());
        }
        let values = text
            .split(',')
            .map(|v| if v == "-" { Some(0.0) } else { parse_number(v) });
        values
            .collect::<Option<_>>()
            .ok_or_else(|| self.problem(field, &format!("not numbers: {text}")))
    }

    fn outcome(&self, i: usize) -> Result<Outcome, Problem> {
        Ok(match self.unsigned(i, "how")? {
            100 => Outcome::Completed,
            301 => Outcome::Error,
            302 => Outcome::Rejected,
            303 => Outcome::Timeout,
            304 => Outcome::ConnectFailed,
            305 => Outcome::Reset,
            306 => Outcome::Cancelled,
            307 => Outcome::NotSent,
            other => return Err(self.problem("how", &format!("unknown outcome: {other}"))),
        })
    }

    fn detail(&self, i: usize) -> Result<OutcomeDetail, Problem> {
        if self.text(i, "detail")? == "-" {
            return Ok(OutcomeDetail::Unknown);
        }
        Ok(match self.unsigned(i, "detail")? {
            1 => OutcomeDetail::NoCores,
            2 => OutcomeDetail::NoMemory,
            3 => OutcomeDetail::QueueFull,
            4 => OutcomeDetail::NotEligible,
            5 => OutcomeDetail::Evicted,
            6 => OutcomeDetail::Preempted,
            7 => OutcomeDetail::Drained,
            _ => OutcomeDetail::Unknown,
        })
    }

    /// The fields that TASK and STANDING share, found at these places.
    fn task(&self, at: [usize; 11], names: &Names) -> Result<Task, Problem> {
        let [
            id,
            class,
            tenant,
            key,
            budget,
            hint,
            service,
            cores,
            memory,
            resent,
            back,
        ] = at;
        let tenant = match self.values.get(tenant) {
            None | Some(&("-" | "0")) => None,
            Some(_) => Some(TenantId(self.named(tenant, "billing", &names.tenants)?)),
        };
        let hint = self.number_or(hint, "life", f64::NAN)?;
        Ok(Task {
            id: self.id(id, "rid")?,
            class: ClassId(self.named(class, "qos", &names.classes)?),
            service: ServiceId(self.hex(service, "app")?),
            key: TaskKey(self.hex(key, "task_name")?),
            tenant,
            cores: self.number(cores, "cpu")?,
            memory: self.number(memory, "memory")?,
            expected_run_seconds: (!hint.is_nan()).then_some(hint),
            time_budget: self.micros(budget, "budget")?,
            is_retry: self.flag(resent, "resent")?,
            is_returning: self.flag(back, "came_back")?,
            shed_rank: 0.0,
            retry_after: 0,
        })
    }
}

fn entry(line: u64, text: &str, names: &Names) -> Result<Endpoint, Problem> {
    let f = Fields::new(line, text);
    f.exactly(9)?;
    let state = match f.text(2, "health")? {
        "up" => EndpointState::Up,
        "draining" => EndpointState::Draining,
        "removed" => EndpointState::Removed,
        other => return Err(f.problem("health", &format!("unknown state: {other}"))),
    };
    f.number_or(3, "nominal", 1.0)?;
    Ok(Endpoint {
        free_cores: f.number_or(0, "spare_cpu", 0.0)?,
        zone: ZoneId(f.named(1, "az", &names.zones)?),
        state,
        kind: KindId(f.named(4, "flavor", &names.kinds)?),
        started_at: millis(f.number_or(5, "started_at", 0.0)?),
        cell: CellId(f.unsigned(6, "pack")?),
        free_memory: f.number_or(7, "open_memory", 0.0)?,
        host: f.host(8, "host")?,
    })
}

/// One event line, or `None` for an event that carries nothing for the module.
pub fn event(
    f: &Fields,
    names: &Names,
    catalogs: &BTreeMap<u64, Vec<String>>,
) -> Result<Option<Event>, Problem> {
    Ok(Some(match f.name {
        "BACKENDS_CHANGED" => {
            f.exactly(3)?;
            let kind = match f.text(0, "mode")? {
                "incr" => UpdateKind::Delta,
                "total" => UpdateKind::Complete,
                "warm_copy" => UpdateKind::Cached,
                "lost" => UpdateKind::Failed,
                other => return Err(f.problem("mode", &format!("unknown mode: {other}"))),
            };
            let mut entries = Vec::new();
            if kind != UpdateKind::Failed {
                f.number_or(1, "seq_no", 0.0)?;
                let list = f.unsigned(2, "list")?;
                let lines = catalogs
                    .get(&list)
                    .ok_or_else(|| f.problem("list", "unknown list"))?;
                for text in lines {
                    entries.push(entry(f.line, text, names)?);
                }
            }
            Event::EndpointsChanged {
                kind,
                endpoints: entries,
            }
        }
        "TASK" => {
            if f.values.len() != 10 {
                f.exactly(11)?;
            }
            Event::TaskRequested(f.task([0, 2, 10, 5, 8, 1, 4, 3, 6, 7, 9], names)?)
        }
        "STANDING" => {
            f.exactly(12)?;
            let task = f.task([0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10], names)?;
            Event::TaskAdopted(task, f.host(11, "host")?)
        }
        "CONFIRMED" => {
            f.exactly(4)?;
            Event::AttemptStarted {
                id: f.id(0, "rid")?,
                attempt: f.attempt(1)?,
                host: f.host(2, "host")?,
                elapsed: f.micros(3, "cost_time")?,
            }
        }
        "INTERIM" => {
            f.exactly(5)?;
            f.attempt(1)?;
            let note = match f.unsigned(3, "what")? {
                1 => TaskReport::Running,
                2 => TaskReport::Cores,
                3 => TaskReport::Memory,
                4 => TaskReport::ServiceLevel,
                5 => TaskReport::HostMemory,
                _ => TaskReport::Other,
            };
            let value = f.number_or(4, "value", 0.0)?;
            Event::TaskReported {
                id: f.id(0, "rid")?,
                host: f.host(2, "host")?,
                report: note,
                value,
            }
        }
        "RESULT" => {
            f.exactly(8)?;
            Event::AttemptEnded {
                id: f.id(0, "rid")?,
                outcome: f.outcome(1)?,
                done: f.flag(2, "complete")?,
                detail: f.detail(3)?,
                attempt: f.attempt(4)?,
                elapsed: f.micros(5, "cost_time")?,
                host: f.host(6, "host")?,
                load_report: f.report(7, "load")?,
            }
        }
        "STATUS_BACK" => {
            f.exactly(4)?;
            Event::HealthCheckEnded {
                outcome: f.outcome(0)?,
                elapsed: f.micros(1, "cost_time")?,
                host: f.host(2, "host")?,
                load_report: f.report(3, "load")?,
            }
        }
        "ABANDONED" => {
            f.exactly(1)?;
            Event::TaskCancelled(f.id(0, "rid")?)
        }
        "TIMER" => {
            f.exactly(1)?;
            Event::TimerFired(TimerToken(f.unsigned(0, "mark")?))
        }
        "PEER_DATA" => {
            f.exactly(2)?;
            f.unsigned(0, "who")?;
            f.text(1, "contents")?;
            return Ok(None);
        }
        _ => return Err(f.problem("message", "unknown event")),
    }))
}

fn ms(span: Micros) -> f64 {
    span as f64 / 1000.0
}

/// Appends the line of one action.
pub fn write_action(out: &mut String, action: &Action) {
    let written = match action {
        Action::Subscribe => writeln!(out, "TRACK\t1"),
        Action::Unsubscribe => writeln!(out, "TRACK\t0"),
        Action::PollEndpoints => writeln!(out, "SNAPSHOT"),
        Action::CloseIdleConnections { host } => writeln!(out, "LET_GO\t{}", host.0),
        Action::ReportFault(text) => writeln!(out, "BAIL_OUT\t{}", text.replace(['\n', '\t'], " ")),
        Action::SendAttempt { id, host, timeout } => {
            writeln!(out, "PROPOSE\t{}\t{}\t{}", id.0, host.0, ms(*timeout))
        }
        Action::CancelAttempt { id, attempt } => writeln!(out, "RETRACT\t{}\t{attempt}", id.0),
        Action::Reject { id, retry_after } => writeln!(out, "SHED\t{}\t{}", id.0, ms(*retry_after)),
        Action::Fail { id } => writeln!(out, "FINISH_ERROR\t{}", id.0),
        Action::Migrate { id } => writeln!(out, "TAKE_OFF\t{}", id.0),
        Action::SendHealthCheck { host } => writeln!(out, "SOUND_OUT\t{}", host.0),
        Action::SetTimer { token, after } => {
            writeln!(out, "SET_ALARM\t{}\t{}", token.0, ms(*after))
        }
        Action::Log(text) => writeln!(out, "RECORD\t{}", text.replace(['\n', '\t'], " ")),
    };
    written.expect("writing to a String cannot fail");
}

#[cfg(test)]
mod tests;
