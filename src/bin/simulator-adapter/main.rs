//! Hosts one [`task_placer::Placer`] per instance on the simulator's wire.
//!
//! Reads batches on standard input, answers each on standard output, ends at end of input.
//! A malformed line ends it with one line on standard error that names the line and the field.
#![forbid(unsafe_code)]

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::process::ExitCode;
use task_placer::settings::{self, Names, SettingsByPath};
use task_placer::{Action, Micros, Placer};
use wire::{Fields, Problem};

/// One instance: its module and the names its settings stated.
struct Instance {
    placer: Placer,
    names: Names,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<u64, Instance>,
    catalogs: BTreeMap<u64, Vec<String>>,
    actions: Vec<Action>,
}

impl Host {
    /// Handles one event line of a batch. `catalog` holds the entries that follow a CATALOG line.
    fn event(
        &mut self,
        f: &Fields,
        now: Micros,
        at: Option<u64>,
        out: &mut Reply,
    ) -> Result<(), Problem> {
        let at = at.ok_or_else(|| f.problem("placer", "no INSTANCE line before this event"))?;
        if f.name == "NEW_INSTANCE" {
            let seed = f.unsigned(0, "salt")?;
            let (settings, names) =
                settings::read(&pairs(f)?).map_err(|e| f.problem(e.path(), &e.problem()))?;
            self.instances.insert(
                at,
                Instance {
                    placer: Placer::new(settings, seed),
                    names,
                },
            );
            return Ok(());
        }
        if f.name == "STOP" {
            f.exactly(0)?;
            return match self.instances.remove(&at) {
                Some(_) => Ok(()),
                None => Err(f.problem("placer", "unknown instance")),
            };
        }
        let instance = self
            .instances
            .get_mut(&at)
            .ok_or_else(|| f.problem("placer", "unknown instance"))?;
        let Some(event) = wire::event(f, &instance.names, &self.catalogs)? else {
            return Ok(());
        };
        instance.placer.handle(now, &event, &mut self.actions);
        out.from(at);
        for action in self.actions.drain(..) {
            wire::write_action(&mut out.text, &action);
        }
        Ok(())
    }
}

/// The `path=value` pairs that follow the seed.
fn pairs(f: &Fields) -> Result<SettingsByPath, Problem> {
    let split = |pair: &&str| match pair.split_once('=') {
        Some((key, value)) => Ok((key.to_string(), value.to_string())),
        None => Err(f.problem("boot_info", &format!("not a pair: {pair}"))),
    };
    f.values.iter().skip(1).map(split).collect()
}

/// The reply under way: the actions' lines and whose they are.
#[derive(Default)]
struct Reply {
    text: String,
    at: Option<u64>,
}

impl Reply {
    fn from(&mut self, at: u64) {
        if self.at != Some(at) {
            self.at = Some(at);
            self.text.push_str(&format!("FROM\t{at}\n"));
        }
    }
}

fn run(input: impl BufRead, mut output: impl Write) -> Result<(), Problem> {
    let mut host = Host::default();
    let mut reply = Reply::default();
    let mut now: Option<Micros> = None;
    let mut at = None;
    let mut number = 0u64;
    let mut listing: Option<(u64, usize, Vec<String>)> = None;
    for line in input.lines() {
        number += 1;
        let line = line.map_err(|e| Problem::at(number, "line", &e.to_string()))?;
        let f = Fields::new(number, &line);
        if let Some((list, left, mut entries)) = listing.take() {
            if f.name != "M" {
                return Err(f.problem("elements", "fewer entries than the catalog states"));
            }
            entries.push(line);
            if left > 1 {
                listing = Some((list, left - 1, entries));
            } else {
                host.catalogs.insert(list, entries);
            }
            continue;
        }
        match (f.name, now) {
            ("BATCH", None) => {
                now = Some(f.micros(0, "clock")?);
                f.exactly(1)?;
                at = None;
            }
            ("BATCH", Some(_)) => return Err(f.problem("BATCH", "inside a batch")),
            ("", None) if line.is_empty() => {}
            (_, None) => return Err(f.problem("message", "outside a batch")),
            ("EOB", Some(_)) => {
                f.exactly(0)?;
                reply.text.push_str("YIELD\n");
                let sent = output
                    .write_all(reply.text.as_bytes())
                    .and_then(|()| output.flush());
                sent.map_err(|e| Problem::at(number, "output", &e.to_string()))?;
                reply = Reply::default();
                now = None;
            }
            ("INSTANCE", Some(_)) => {
                at = Some(f.unsigned(0, "placer")?);
                f.exactly(1)?;
            }
            ("CATALOG", Some(_)) => {
                let list = f.unsigned(0, "list")?;
                let count = f.unsigned(1, "elements")? as usize;
                f.exactly(2)?;
                if count == 0 {
                    host.catalogs.insert(list, Vec::new());
                } else {
                    listing = Some((list, count, Vec::new()));
                }
            }
            (_, Some(now)) => host.event(&f, now, at, &mut reply)?,
        }
    }
    match now {
        None => Ok(()),
        Some(_) => Err(Problem::at(number + 1, "EOB", "input ends inside a batch")),
    }
}

fn main() -> ExitCode {
    match run(io::stdin().lock(), io::BufWriter::new(io::stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("simulator-adapter: {problem}");
            ExitCode::FAILURE
        }
    }
}
