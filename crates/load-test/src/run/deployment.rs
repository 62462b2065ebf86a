//! What hosts of a run are, and the settings of the deployment that its placers are started with.

use super::micros;
use crate::plan::Plan;
use emulator::host_model::HostSpec;
use simd_json::{OwnedValue, json};
use std::time::Duration;

/// Hosts as the plan has them.
pub(super) fn spec(plan: &Plan) -> HostSpec {
    let hosts = &plan.hosts;
    HostSpec {
        cores: hosts.cores,
        memory: hosts.memory,
        admission_time: micros(hosts.look),
        max_queued_offers: hosts.queue,
        max_concurrent_starts: hosts.starts,
        warm_start: micros(hosts.start),
        cold_start_factor: hosts.cold_start,
        max_cached_programs: hosts.kept,
        preempts: hosts.preempts,
        slow_start: micros(hosts.cold),
        slow_start_floor: hosts.cold_from,
        overload_factor: 4.0,
        always_tolerated_offers: YOUNG,
        drain_interval: micros(hosts.drain_pace),
    }
}

/// Offers that a cold host always bears.
const YOUNG: usize = 22;

/// The settings of the deployment, as placers are told them.
pub(super) fn settings(plan: &Plan) -> OwnedValue {
    let ms = |span: Duration| span.as_secs_f64() * 1_000.0;
    let of = |value: &dyn Fn(&crate::plan::Class) -> OwnedValue| {
        plan.classes.iter().map(value).collect::<Vec<_>>()
    };
    let classes = of(&|c| {
        json!({
            "name": c.name.as_str(), "aim": ms(c.aim), "hard_limit": ms(c.limit),
            "semantics": if c.once { "unsafe" } else { "safe" }, "group": "all", "worth": c.worth,
            "late_share": 0.2, "memory_span": 5000.0, "long_lived": true
        })
    });
    let rate = plan.shape().most().max(1.0);
    let shares: f64 = plan.tenants.iter().map(|t| t.share).sum();
    let tenants: Vec<OwnedValue> = plan
        .tenants
        .iter()
        .map(|t| json!({ "name": t.name.as_str(), "portion": (t.share / shares), "allowance_per_s": (2.0 * rate * t.share / shares) }))
        .collect();
    let mean = |of: fn(&[f64; 2]) -> f64| {
        let sizes: Vec<f64> = plan
            .classes
            .iter()
            .flat_map(|c| c.sizes.iter().map(of))
            .collect();
        sizes.iter().sum::<f64>() / sizes.len().max(1) as f64
    };
    json!({
        "me": 0, "n_instances": (plan.placers.count), "locality": "", "zones": (plan.rooms.clone()), "step": 2.0,
        "models": ["node"], "membership_mode": "subscribe", "over_share_worth": 0.1,
        "services": classes, "realms": tenants,
        "caps": {
            "cancel": true, "connect_timeout": 250.0, "conn_idle": 30000.0, "max_retry_after": 3000.0,
            "probing": false, "retry_after": true, "send_cap": 4
        },
        "family_info": {
            "accepts_memory": 1.0, "cores_multiple": 1.0, "class_kind": (of(&|_| json!(-1))),
            "class_most": (of(&|c| json!(c.most_in_room.max(1)))), "class_priority": (of(&|c| json!(c.priority))),
            "fades_over": (of(&|_| json!(0.5))), "full_up_to": (of(&|_| json!(1.0))),
            "kind_cores": [(plan.hosts.cores)], "kind_memory": [(plan.hosts.memory)], "lists_free": (!plan.feed.refresh.is_zero()),
            "make_sure": (ms(plan.clients.settle)), "mean_memory": (mean(|s| s[1])), "usual_cores": (mean(|s| s[0])),
            "measured_by": "asked", "no_price": 0.03, "preempts": (plan.hosts.preempts),
            "prompt_start_s": (of(&|_| json!(10.0))),
            "spread_by": (of(&|c| json!(if c.most_in_room > 0 { "zone" } else { "off" }))),
            "yes_at": "running", "young_limit": (YOUNG as f64)
        },
        "prices": { "fleet": 0.15, "moves": 0.07 },
        "report": { "names": [], "via": "off" },
        "rules": {
            "ask_every": 10000.0, "cold": (ms(plan.hosts.cold)), "cold_from": (plan.hosts.cold_from), "drain_grace": 2000.0,
            "grace_to_answer": 8.0, "overload_factor": 4.0, "overload_for": 1000.0
        }
    })
}
