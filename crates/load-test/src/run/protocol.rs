//! The client side of the protocol: encodes requests and interprets notices.

use super::MILLISECOND;
use crate::arrivals::Arrival;
use crate::clients::Response;
use crate::load_profile::Micros;
use crate::outcome::TaskRecord;
use crate::plan::Plan;
use emulator::cluster::describe;
use emulator::encode_message;
use emulator::event_log::{ClientNotice, Event as LogEvent, fingerprint};
use emulator::host_model::Offer;

/// Types of messages.
const REQUEST: u8 = 1;
pub(super) const PLACED: u8 = 9;
pub(super) const RELEASED: u8 = 12;
pub(super) const END_ACKNOWLEDGED: u8 = 16;
pub(super) const MIGRATED: u8 = 51;
/// Parameters of messages.
const CLASS: u8 = 129;
const WAIT_MS: u8 = 132;
const TENANT: u8 = 135;
const IS_RETRY: u8 = 138;
const KEY: u8 = 141;
const REQUIREMENTS: u8 = 144;
pub(super) const RETRY_AFTER_MS: u8 = 147;
pub(super) const CAUSE: u8 = 171;
pub(super) const DESCRIPTION: u8 = 174;
/// Causes of a release.
const CAUSE_COMPLETE: u8 = 16;
pub(super) const CANCELLED: u8 = 16;

/// Returns whether a cause means that a request was rejected without effect.
pub(super) fn is_rejection(cause: u8) -> bool {
    matches!(cause, 34 | 42 | 102)
}

/// Returns the number that identifies the service of an arrival in requests.
fn service_number(arrival: &Arrival) -> u64 {
    ((arrival.class as u64 + 1) << 32) | (u64::from(arrival.service) + 1)
}

/// A request that was sent, kept so that it can be sent again.
#[derive(Clone)]
pub(super) struct SentRequest {
    pub(super) key: u64,
    pub(super) bytes: Vec<u8>,
    /// Event to record in the event log once the request is written completely.
    pub(super) event: LogEvent,
    /// Whether the request was sent again on another connection.
    pub(super) was_resent: bool,
}

/// An attempt that is about to be sent.
pub(super) struct Attempt {
    pub(super) id: u64,
    pub(super) wait: Micros,
    pub(super) placer: usize,
    pub(super) is_retry: bool,
    /// The host that already runs the task, for a reconnection.
    pub(super) running_at: Option<RunningHost>,
    /// How long the task is still wanted.
    pub(super) run_time: Micros,
}

/// A host that runs a task.
pub(super) struct RunningHost {
    /// Number of the host in the event log.
    pub(super) number: usize,
    /// Name of the host in the endpoint list, if known.
    pub(super) name: Option<String>,
}

/// Encodes a request for a task, or for a reconnection to a running task.
pub(super) fn encode_request(plan: &Plan, task: &TaskRecord, attempt: &Attempt) -> SentRequest {
    let arrival = &task.arrival;
    let class = plan.classes.get(arrival.class);
    let tenant = plan.tenants.get(arrival.tenant);
    let offer = Offer {
        id: attempt.id,
        service: service_number(arrival),
        cores: arrival.cores,
        memory: arrival.memory,
        priority: class.map_or(0, |class| class.priority),
        run_time: attempt.run_time,
        time_left: 0,
    };
    let description = describe(&offer, task.key);
    let mut requirements = format!(
        "cores:{};memory:{};service:{:016x}",
        offer.cores, offer.memory, offer.service
    );
    let running_at = attempt.running_at.as_ref();
    if let Some(name) = running_at.and_then(|host| host.name.as_ref()) {
        requirements.push_str(&format!(";at:{name}"));
    }
    let wait_ms = (attempt.wait / MILLISECOND).to_string();
    let key = format!("{:016x}", task.key);
    let class_name = class.map_or("", |class| class.name.as_str());
    let tenant_name = tenant.map_or("", |tenant| tenant.name.as_str());
    let mut parameters: Vec<(u8, &[u8])> = vec![
        (CLASS, class_name.as_bytes()),
        (WAIT_MS, wait_ms.as_bytes()),
        (TENANT, tenant_name.as_bytes()),
    ];
    if attempt.is_retry {
        parameters.push((IS_RETRY, b"1"));
    }
    parameters.extend([
        (KEY, key.as_bytes()),
        (REQUIREMENTS, requirements.as_bytes()),
        (DESCRIPTION, description.as_bytes()),
    ]);
    let event = LogEvent::TaskRequested {
        id: attempt.id,
        key: task.key,
        class: arrival.class,
        service: offer.service,
        placer: attempt.placer,
        wait: attempt.wait / MILLISECOND * MILLISECOND,
        description: fingerprint(&description),
        running_at: running_at.map(|host| host.number),
    };
    SentRequest {
        key: task.key,
        bytes: encode_message(REQUEST, attempt.id, &parameters),
        event,
        was_resent: false,
    }
}

/// Returns what a notice means for the client of a request. `was_open` tells whether the request still waited for its
/// answer.
pub(super) fn response(
    notice: ClientNotice,
    was_open: bool,
    retry_after: Option<Micros>,
) -> Response {
    match notice {
        ClientNotice::Placed(_) => Response::Placed,
        ClientNotice::Migrated => Response::Migrated,
        ClientNotice::Released(cause) if was_open && is_rejection(cause) => {
            Response::Rejected(retry_after)
        }
        ClientNotice::Released(CAUSE_COMPLETE) => Response::Ended,
        ClientNotice::Released(_) if was_open => Response::Failed,
        ClientNotice::Released(_) => Response::Lost,
    }
}
