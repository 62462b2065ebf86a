//! The configuration that a placer reads at its start. The names in the JSON are those of the protocol.

use crate::identity::PlacerId;
use crate::settings::{Connect, Settings};
use crate::wire::feed::WORKER_KIND;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// The price of a connection in a deployment whose placers connect on demand. Any price above 0 has this effect.
const CONNECTION_PRICE: f64 = 0.05;

/// A class of tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Idempotent tasks without a short latency objective.
    Standard,
    /// Idempotent tasks with a short latency objective.
    Urgent,
    /// Tasks that are not idempotent, so they must not start twice.
    Once,
}

impl Class {
    /// All classes, in the order in which the deployment's settings list them.
    pub const ALL: [Class; 3] = [Class::Standard, Class::Urgent, Class::Once];

    /// Returns the name of the class in the deployment's settings.
    pub fn name(self) -> &'static str {
        match self {
            Class::Standard => "standard",
            Class::Urgent => "urgent",
            Class::Once => "once",
        }
    }

    /// Returns the latency objective in milliseconds, which the deployment's settings call `aim`.
    pub fn latency_objective_ms(self) -> u64 {
        match self {
            Class::Standard | Class::Once => 4_000,
            Class::Urgent => 1_700,
        }
    }

    /// Returns how long a client waits for the answer to a request, in milliseconds.
    pub fn wait_ms(self) -> u64 {
        match self {
            Class::Standard | Class::Once => 8_000,
            Class::Urgent => 4_000,
        }
    }

    /// Returns whether a task of this class must not start twice.
    pub fn is_non_idempotent(self) -> bool {
        self == Class::Once
    }

    fn semantics(self) -> &'static str {
        if self.is_non_idempotent() {
            "unsafe"
        } else {
            "safe"
        }
    }

    fn to_json(self) -> Value {
        json!({
            "name": self.name(), "aim": self.latency_objective_ms(), "hard_limit": self.wait_ms(),
            "semantics": self.semantics(), "group": "all", "worth": 1.0, "late_share": 0.2,
            "memory_span": 5000.0, "long_lived": true
        })
    }
}

/// One placer of the deployment at one of its starts. A placer that is restarted gets a new configuration.
pub struct PlacerInstance<'a> {
    /// The placer.
    pub placer: PlacerId,
    /// The number of times that the placer was started before.
    pub restarts: u32,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The address of the control feed.
    pub feed: SocketAddr,
    /// The first events of the control feed as JSON, with all workers that are up.
    pub known_events: &'a str,
}

/// Returns the content of a placer's configuration file.
pub fn configuration(settings: &Settings, instance: &PlacerInstance<'_>) -> String {
    // Each start of each placer has a different seed, and runs with the same settings have the same seeds.
    let seed =
        settings.seed ^ (u64::from(instance.placer.0) << 32) ^ (u64::from(instance.restarts) << 48);
    let head = json!({
        "name": instance.placer.to_string(), "listen": instance.listen, "feed": instance.feed,
        "seed": format!("{seed:016x}"),
        "limits": {
            "cores": 1.0, "memory_mb": settings.placer_memory_mb, "sockets": settings.placer_sockets
        },
        "settings": deployment(settings, instance.placer),
    });
    // The events are already JSON, and long, so they are inserted as text instead of being parsed.
    let head = head.to_string();
    let open = head.strip_suffix('}').unwrap_or(&head);
    format!("{open},\"known\":{}}}", instance.known_events)
}

fn deployment(settings: &Settings, placer: PlacerId) -> Value {
    let zones = settings.zone_names();
    let own_zone = zones.get(placer.index() % zones.len().max(1));
    let tenants = settings.tenant_names();
    let share = 1.0 / tenants.len().max(1) as f64;
    // Each tenant may submit twice the total rate, so that no tenant is throttled at the configured rate.
    let allowance = 2.0 * settings.rate.max(1.0);
    let tenants = tenants
        .iter()
        .map(|name| json!({ "name": name, "portion": share, "allowance_per_s": allowance }));
    let classes = Class::ALL.map(Class::to_json);
    json!({
        "me": placer.0, "n_instances": settings.configured_placers(), "locality": own_zone, "zones": zones,
        "step": 2.0, "models": [WORKER_KIND], "membership_mode": "subscribe", "over_share_worth": 0.1,
        "services": classes,
        "realms": tenants.collect::<Vec<_>>(),
        "caps": {
            "cancel": true, "connect_timeout": 250.0, "conn_idle": 30000.0, "max_retry_after": 3000.0,
            "probing": false, "retry_after": true, "send_cap": 4
        },
        "family_info": family_info(settings),
        "prices": prices(settings),
        "report": { "names": [], "via": "off" },
        "rules": {
            "ask_every": 10000.0, "cold": 17000.0, "cold_from": 0.22, "drain_grace": 2000.0,
            "grace_to_answer": 8.0, "overload_factor": 4.0, "overload_for": 1000.0
        }
    })
}

fn family_info(settings: &Settings) -> Value {
    let start_s = settings.start_time.as_secs_f64();
    json!({
        "accepts_memory": 1.0, "cores_multiple": 1.0, "class_kind": [-1, -1, -1],
        "class_most": [0, 0, 0], "class_priority": [0, 1, 2], "fades_over": [1.0, 0.2, 0.2],
        "full_up_to": [1.0, 0.8, 0.8], "kind_cores": [settings.worker_cores],
        "kind_memory": [settings.worker_memory], "lists_free": true, "make_sure": 3000.0,
        "mean_memory": settings.task_memory, "usual_cores": settings.task_cores, "measured_by": "asked",
        "no_price": 0.03, "preempts": false, "prompt_start_s": [start_s, start_s, start_s],
        "spread_by": ["off", "off", "off"], "yes_at": "running", "young_limit": 3.0
    })
}

fn prices(settings: &Settings) -> Value {
    let handshake = match settings.connect {
        Connect::OnDemand => CONNECTION_PRICE,
        Connect::All => 0.0,
    };
    json!({ "fleet": 0.15, "moves": 0.07, "handshake": handshake })
}
