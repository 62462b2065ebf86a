//! Plans. A plan describes a whole load test in one TOML file: deployment, workload, faults and objectives.
//!
//! The keys of the file are a fixed format; a field with another name in Rust carries its key in a `serde` attribute.
//! Unknown keys are rejected, and values that are not allowed are reported with their fields before anything starts.

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

/// A load test as its plan describes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Plan {
    /// Name of the plan in reports.
    pub name: String,
    /// Seed of all random numbers of the run.
    pub seed: u64,
    /// Names of the zones that placers, hosts and clients are spread over.
    #[serde(rename = "rooms")]
    pub zones: Vec<String>,
    /// The placers under test.
    pub placers: Placers,
    /// The emulated hosts.
    pub hosts: Hosts,
    /// The service discovery feed.
    pub feed: Feed,
    /// Classes of tasks; each arrival belongs to one.
    #[serde(rename = "class")]
    pub classes: Vec<TaskClass>,
    /// Tenants that tasks belong to.
    #[serde(rename = "tenant")]
    pub tenants: Vec<Tenant>,
    /// When tasks are due, and how they are distributed.
    pub arrivals: Arrivals,
    /// How clients behave. Earlier plans name the table `owners`, which is still read.
    #[serde(alias = "owners")]
    pub clients: Clients,
    /// Faults to inject, and when.
    #[serde(rename = "fault")]
    pub faults: Vec<Fault>,
    /// Objectives that decide whether the run passes.
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
            classes: vec![TaskClass::default(), TaskClass::default_non_idempotent()],
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

    /// Parses a plan from TOML text.
    ///
    /// # Errors
    ///
    /// The text is not TOML, or has unknown keys or values that are not allowed.
    pub fn parse(text: &str) -> Result<Plan, PlanError> {
        let plan: Plan = toml::from_str(text)?;
        let invalid = validation::invalid_fields(&plan);
        if invalid.is_empty() {
            Ok(plan)
        } else {
            Err(PlanError::InvalidFields(invalid))
        }
    }

    /// Returns the load profile of the arrivals. It is empty if the text of the profile is invalid, which
    /// [`parse`](Plan::parse) rejects.
    pub fn load_profile(&self) -> LoadProfile {
        load_profile::parse(&self.arrivals.profile).unwrap_or_default()
    }
}
