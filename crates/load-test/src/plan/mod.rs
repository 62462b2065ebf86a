//! Plans: everything that a load test consists of, in one TOML file.
//!
//! Keys of the file are a fixed format; fields that are named differently here carry the key in an attribute.
//! Unknown keys are rejected, and a value that is not allowed is reported with its field before anything starts.

mod deployment;
mod duration;
mod error;
mod faults;
mod links;
mod parties;
mod selection;
#[cfg(test)]
mod tests;
mod validation;
mod workload;

use crate::load_profile::{self, LoadProfile};
pub use deployment::{Feed, Hosts, Placers};
pub use error::{InvalidField, PlanError};
pub use faults::{Fault, FaultKind};
pub use links::{Link, affected_links};
pub use parties::{InvalidParties, Parties};
pub use selection::{InvalidRange, Range, Selection};
use serde::{Deserialize, Serialize};
use std::path::Path;
pub use validation::MAX_LINKS;
pub use workload::{
    ArrivalProcess, Arrivals, Balancing, Batch, Clients, Objectives, TaskClass, TaskSize, Tenant,
};

/// A plan.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Plan {
    /// Its name in reports.
    pub name: String,
    /// The seed of everything random.
    pub seed: u64,
    /// Zones of placers, hosts and clients.
    #[serde(rename = "rooms")]
    pub zones: Vec<String>,
    /// The placers.
    pub placers: Placers,
    /// The hosts.
    pub hosts: Hosts,
    /// The service discovery feed.
    pub feed: Feed,
    /// Classes of tasks.
    #[serde(rename = "class")]
    pub classes: Vec<TaskClass>,
    /// Tenants.
    #[serde(rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// When tasks are due.
    pub arrivals: Arrivals,
    /// How clients behave. Earlier plans call the table `owners`.
    #[serde(alias = "owners")]
    pub clients: Clients,
    /// What goes wrong, and when.
    #[serde(rename = "fault")]
    pub faults: Vec<Fault>,
    /// What the run is judged by.
    #[serde(rename = "aims")]
    pub objectives: Objectives,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan {
            name: "rehearsal".into(),
            seed: 1,
            zones: ["sala-a", "sala-b", "sala-c"].map(String::from).to_vec(),
            placers: Placers::default(),
            hosts: Hosts::default(),
            feed: Feed::default(),
            classes: vec![TaskClass::default(), TaskClass::totalizador()],
            tenants: [
                ("escritorio-rs", 0.34),
                ("escritorio-pr", 0.27),
                ("escritorio-sc", 0.25),
                ("escritorio-ms", 0.14),
            ]
            .map(|(name, quota)| Tenant {
                name: name.into(),
                quota,
                quota_multiple: 1.0,
            })
            .to_vec(),
            arrivals: Arrivals::default(),
            clients: Clients::default(),
            faults: Vec::new(),
            objectives: Objectives::default(),
        }
    }
}

impl Plan {
    /// Reads a plan from a file.
    ///
    /// # Errors
    ///
    /// The file can't be read, or its plan is invalid.
    pub fn load(path: &Path) -> Result<Plan, PlanError> {
        let text = std::fs::read_to_string(path).map_err(|source| PlanError::Unreadable {
            path: path.to_path_buf(),
            source,
        })?;
        Plan::parse(&text).map_err(|e| PlanError::InFile {
            path: path.to_path_buf(),
            source: Box::new(e),
        })
    }

    /// Reads a plan from a text.
    ///
    /// # Errors
    ///
    /// It is not TOML, has unknown keys, or values that are not allowed.
    pub fn parse(text: &str) -> Result<Plan, PlanError> {
        let plan: Plan = toml::from_str(text)?;
        let invalid = validation::invalid_fields(&plan);
        if invalid.is_empty() {
            Ok(plan)
        } else {
            Err(PlanError::InvalidFields(invalid))
        }
    }

    /// Returns the load profile of its arrivals; a plan that was parsed has one.
    pub fn load_profile(&self) -> LoadProfile {
        load_profile::parse(&self.arrivals.profile).unwrap_or_default()
    }
}
