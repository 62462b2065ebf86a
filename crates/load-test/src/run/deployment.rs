//! Starts the deployment of a run: the emulated cluster, the fault proxies and the placers.

use super::{Options, RunError, micros, not_started};
use crate::fault_injector::FaultInjector;
use crate::fault_proxies::FaultNetwork;
use crate::plan::{Plan, TaskClass, TaskSize};
use emulator::cluster::{Cluster, ClusterConfig};
use emulator::event_log::EventLog;
use emulator::host_model::HostSpec;
use emulator::load_balancer::polling::ServerAddresses;
use emulator::supervisor::{LaunchConfig, Supervisor};
use simd_json::{OwnedValue, json};
use std::sync::Arc;
use std::time::Duration;

/// Number of offers within a second up to which a host in slow start never crashes.
const ALWAYS_TOLERATED_OFFERS: usize = 22;
/// A host in slow start crashes when it is offered more than this multiple of what it can start.
const OVERLOAD_FACTOR: f64 = 4.0;

/// The parts of a deployment that the run itself uses; the fault injector owns the others.
pub(super) struct Deployment {
    pub(super) cluster: Arc<Cluster>,
    pub(super) placers: Vec<ServerAddresses>,
}

impl Deployment {
    /// Starts the cluster, the fault proxies and the placers, and returns the deployment with the fault injector, which
    /// owns the placers.
    pub(super) fn start(
        plan: &Plan,
        options: &Options,
        log: &EventLog,
    ) -> Result<(Deployment, FaultInjector), RunError> {
        let cluster = Cluster::start(cluster_config(plan), log.clone())
            .map_err(not_started("the cluster"))?;
        let cluster = Arc::new(cluster);
        let network = FaultNetwork::open(plan, &cluster, log.clone())
            .map_err(not_started("the fault proxies"))?;
        let count = plan.placers.count;
        let component = format!("placers ({})", options.placer.display());
        let supervisor =
            Supervisor::start(launch_config(plan, options), count, &cluster, log.clone())
                .map_err(not_started(&component))?;
        let mut placers = Vec::new();
        for placer in 0..supervisor.count() {
            let clients = match &network {
                Some(network) => network
                    .client_address(placer, &supervisor)
                    .map_err(not_started("the fault proxies"))?,
                None => supervisor.client_address(placer),
            };
            if let (Some(clients), Some(agent)) = (clients, supervisor.agent_address(placer)) {
                placers.push(ServerAddresses { clients, agent });
            }
        }
        let injector = FaultInjector {
            supervisor,
            cluster: cluster.clone(),
            network,
            log: log.clone(),
        };
        Ok((Deployment { cluster, placers }, injector))
    }
}

fn cluster_config(plan: &Plan) -> ClusterConfig {
    ClusterConfig {
        zones: plan.zones.clone(),
        hosts: plan.hosts.count,
        rack_size: plan.hosts.rack_size,
        host_spec: host_spec(plan),
        placers: plan.placers.count,
        min_feed_delay: micros(plan.feed.min_delay),
        max_feed_delay: micros(plan.feed.max_delay),
        refresh_interval: micros(plan.feed.refresh_interval),
        seed: plan.seed,
    }
}

fn launch_config(plan: &Plan, options: &Options) -> LaunchConfig {
    LaunchConfig {
        binary: options.placer.clone(),
        guard: options.guard.clone(),
        folder: options.folder.clone(),
        settings: placer_settings(plan),
        zones: plan.zones.clone(),
        limits: json!({ "cores": 1.0, "memory_mb": (plan.placers.memory_mb), "sockets": (plan.placers.sockets) }),
        operator_file: plan.placers.operator_file.clone(),
        seed: plan.seed,
    }
}

/// Returns the model of the hosts of a plan.
fn host_spec(plan: &Plan) -> HostSpec {
    let hosts = &plan.hosts;
    HostSpec {
        cores: hosts.cores,
        memory: hosts.memory,
        admission_time: micros(hosts.admission_time),
        max_queued_offers: hosts.max_queued_offers,
        max_concurrent_starts: hosts.max_concurrent_starts,
        warm_start: micros(hosts.warm_start),
        cold_start_factor: hosts.cold_start_factor,
        max_cached_programs: hosts.max_cached_programs,
        preempts: hosts.preempts,
        slow_start: micros(hosts.slow_start),
        slow_start_floor: hosts.slow_start_floor,
        overload_factor: OVERLOAD_FACTOR,
        always_tolerated_offers: ALWAYS_TOLERATED_OFFERS,
        drain_interval: micros(hosts.drain_interval),
    }
}

/// Returns the settings of the deployment in the format of the placers' configuration.
fn placer_settings(plan: &Plan) -> OwnedValue {
    let ms = |duration: Duration| duration.as_secs_f64() * 1_000.0;
    let per_class = |value: &dyn Fn(&TaskClass) -> OwnedValue| {
        plan.classes.iter().map(value).collect::<Vec<_>>()
    };
    let classes = per_class(&|class| {
        json!({
            "name": class.name.as_str(), "aim": ms(class.objective), "hard_limit": ms(class.client_timeout),
            "semantics": if class.non_idempotent { "unsafe" } else { "safe" }, "group": "all", "worth": class.priority_weight,
            "late_share": 0.2, "memory_span": 5000.0, "long_lived": true
        })
    });
    let rate = plan.load_profile().max_rate().max(1.0);
    let quotas: f64 = plan.tenants.iter().map(|tenant| tenant.quota).sum();
    let tenants: Vec<OwnedValue> = plan
        .tenants
        .iter()
        .map(|tenant| {
            let portion = tenant.quota / quotas;
            json!({ "name": tenant.name.as_str(), "portion": portion, "allowance_per_s": (2.0 * rate * tenant.quota / quotas) })
        })
        .collect();
    let mean = |amount: fn(&TaskSize) -> f64| {
        let sizes: Vec<f64> = plan
            .classes
            .iter()
            .flat_map(|class| class.sizes.iter().map(amount))
            .collect();
        sizes.iter().sum::<f64>() / sizes.len().max(1) as f64
    };
    json!({
        "me": 0, "n_instances": (plan.placers.count), "locality": "", "zones": (plan.zones.clone()), "step": 2.0,
        "models": ["node"], "membership_mode": "subscribe", "over_share_worth": 0.1,
        "services": classes, "realms": tenants,
        "caps": {
            "cancel": true, "connect_timeout": 250.0, "conn_idle": 30000.0, "max_retry_after": 3000.0,
            "probing": false, "retry_after": true, "send_cap": 4
        },
        "family_info": {
            "accepts_memory": 1.0, "cores_multiple": 1.0, "class_kind": (per_class(&|_| json!(-1))),
            "class_most": (per_class(&|class| json!(class.max_per_zone.max(1)))), "class_priority": (per_class(&|class| json!(class.priority))),
            "fades_over": (per_class(&|_| json!(0.5))), "full_up_to": (per_class(&|_| json!(1.0))),
            "kind_cores": [(plan.hosts.cores)], "kind_memory": [(plan.hosts.memory)], "lists_free": (!plan.feed.refresh_interval.is_zero()),
            "make_sure": (ms(plan.clients.settle_time)), "mean_memory": (mean(|size| size.memory)), "usual_cores": (mean(|size| size.cores)),
            "measured_by": "asked", "no_price": 0.03, "preempts": (plan.hosts.preempts),
            "prompt_start_s": (per_class(&|_| json!(10.0))),
            "spread_by": (per_class(&|class| json!(if class.max_per_zone > 0 { "zone" } else { "off" }))),
            "yes_at": "running", "young_limit": (ALWAYS_TOLERATED_OFFERS as f64)
        },
        "prices": { "fleet": 0.15, "moves": 0.07 },
        "report": { "names": [], "via": "off" },
        "rules": {
            "ask_every": 10000.0, "cold": (ms(plan.hosts.slow_start)), "cold_from": (plan.hosts.slow_start_floor), "drain_grace": 2000.0,
            "grace_to_answer": 8.0, "overload_factor": 4.0, "overload_for": 1000.0
        }
    })
}
