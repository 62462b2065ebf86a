//! Configurations of placers in a small test deployment.

use crate::{Feed, UpdateKind, endpoint_event, free_address};
use simd_json::{OwnedValue, json};

/// Returns the configuration of the only placer of a deployment. Class `quick` is idempotent and limited to 2 tasks of
/// a service in a zone; class `once` is not idempotent. A host in slow start tolerates 3 offers per second.
pub fn single_placer_config(feed: &Feed, hosts: Vec<OwnedValue>) -> OwnedValue {
    placer_config("n1", 0, 1, &feed.address(), hosts)
}

/// Returns the configuration of placer `index` of a deployment with `placers` placers, with the same classes and limits
/// as [`single_placer_config`].
pub fn placer_config(
    name: &str,
    index: u64,
    placers: u64,
    feed: &str,
    hosts: Vec<OwnedValue>,
) -> OwnedValue {
    let listen = free_address().to_string();
    let class = |name: &str, semantics: &str| {
        json!({
            "name": name, "aim": 1000.0, "hard_limit": 6000.0, "semantics": semantics, "group": "all",
            "worth": 1.0, "late_share": 0.2, "memory_span": 5000.0, "long_lived": true
        })
    };
    json!({
        "name": name, "listen": listen, "seed": "8c1f30d27a5be964", "feed": feed,
        "limits": { "cores": 1.0, "memory_mb": 192, "sockets": 1024 },
        "known": { "n": 1, "events": [endpoint_event(1, UpdateKind::Complete, hosts)] },
        "settings": {
            "me": index, "n_instances": placers, "locality": "north", "zones": ["north", "south"], "step": 2.0,
            "models": ["plain"], "membership_mode": "subscribe", "over_share_worth": 0.1,
            "services": [class("quick", "safe"), class("once", "unsafe")],
            "realms": [{ "name": "ours", "portion": 1.0, "allowance_per_s": 1000.0 }],
            "caps": {
                "cancel": true, "connect_timeout": 250.0, "conn_idle": 30000.0, "max_retry_after": 3000.0,
                "probing": false, "retry_after": true, "send_cap": 4
            },
            "family_info": {
                "accepts_memory": 1.0, "cores_multiple": 1.0, "class_kind": [-1, -1], "class_most": [2, 2],
                "class_priority": [0, 2], "fades_over": [1.0, 0.2], "full_up_to": [1.0, 0.8],
                "kind_cores": [32], "kind_memory": [64.0], "lists_free": true, "make_sure": 3000.0,
                "mean_memory": 2.0, "usual_cores": 1.0, "measured_by": "asked", "no_price": 0.03,
                "preempts": true, "prompt_start_s": [10.0, 8.0], "spread_by": ["zone", "off"],
                "yes_at": "running", "young_limit": 3.0
            },
            "prices": { "fleet": 0.15, "moves": 0.07 },
            "report": { "names": [], "via": "off" },
            "rules": {
                "ask_every": 10000.0, "cold": 17000.0, "cold_from": 0.22, "drain_grace": 2000.0,
                "grace_to_answer": 8.0, "overload_factor": 4.0, "overload_for": 1000.0
            }
        }
    })
}
