//! A session with the simulator: batches of events for any number of placers, each batch answered by one reply.

use crate::actions::write_action;
use crate::error::{InputError, Problem};
use crate::events::{Catalogs, read_event};
use crate::fields::Fields;
use std::collections::BTreeMap;
use std::io::Write;
use task_placer::settings::{self, Names, SettingsByPath};
use task_placer::{Action, Micros, Placer};

/// A simulated placer, with the names of classes, tenants, host kinds and zones that its settings state.
struct Instance {
    placer: Placer,
    names: Names,
}

/// A batch that is being read, up to its EOB line.
struct Batch {
    now: Micros,
    /// Number of the instance that the next events are for; `None` before the first INSTANCE line.
    instance: Option<u64>,
    reply: Reply,
}

/// The reply to a batch: the lines of its actions, and the instance of the latest action.
#[derive(Default)]
struct Reply {
    text: String,
    instance: Option<u64>,
}

impl Reply {
    /// Adds a line that names the instance of the following actions, unless the previous actions belong to the same
    /// instance.
    fn begin_instance(&mut self, instance: u64) {
        if self.instance != Some(instance) {
            self.instance = Some(instance);
            self.text.push_str(&format!("FROM\t{instance}\n"));
        }
    }
}

/// An endpoint list that is being read after its CATALOG line.
struct OpenCatalog {
    number: u64,
    missing: usize,
    entries: Vec<String>,
}

/// All placer instances and endpoint lists, and the batch that is being read.
pub struct Session<W> {
    output: W,
    instances: BTreeMap<u64, Instance>,
    catalogs: Catalogs,
    batch: Option<Batch>,
    open_catalog: Option<OpenCatalog>,
    actions: Vec<Action>,
    line: u64,
}

impl<W: Write> Session<W> {
    /// Creates a session without placers that writes its replies to `output`.
    pub fn new(output: W) -> Session<W> {
        Session {
            output,
            instances: BTreeMap::new(),
            catalogs: Catalogs::new(),
            batch: None,
            open_catalog: None,
            actions: Vec::new(),
            line: 0,
        }
    }

    /// Processes the next line of input.
    ///
    /// # Errors
    ///
    /// Returns an error if the line is malformed or the reply cannot be written.
    pub fn line(&mut self, text: String) -> Result<(), InputError> {
        self.line += 1;
        if let Some(catalog) = self.open_catalog.take() {
            return self.catalog_entry(catalog, text);
        }
        let fields = Fields::new(self.line, &text);
        match self.batch.take() {
            None => self.line_outside_batch(&fields, &text),
            Some(batch) => self.line_in_batch(&fields, batch),
        }
    }

    /// Checks that the input is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the input ends inside a batch.
    pub fn end(&self) -> Result<(), InputError> {
        match self.batch {
            None => Ok(()),
            Some(_) => Err(InputError::new(
                self.line + 1,
                "EOB",
                "input ends inside a batch",
            )),
        }
    }

    fn catalog_entry(&mut self, mut catalog: OpenCatalog, text: String) -> Result<(), InputError> {
        let fields = Fields::new(self.line, &text);
        if fields.name != "M" {
            return Err(fields.error("elements", Problem::CatalogTooShort));
        }
        catalog.entries.push(text);
        catalog.missing -= 1;
        self.open_or_finish(catalog);
        Ok(())
    }

    fn open_or_finish(&mut self, catalog: OpenCatalog) {
        if catalog.missing > 0 {
            self.open_catalog = Some(catalog);
        } else {
            self.catalogs.insert(catalog.number, catalog.entries);
        }
    }

    fn line_outside_batch(&mut self, fields: &Fields<'_>, text: &str) -> Result<(), InputError> {
        if fields.name == "BATCH" {
            let now = fields.micros(0, "clock")?;
            fields.expect_count(1)?;
            self.batch = Some(Batch {
                now,
                instance: None,
                reply: Reply::default(),
            });
        } else if !text.is_empty() {
            return Err(fields.error("message", Problem::OutsideBatch));
        }
        Ok(())
    }

    fn line_in_batch(&mut self, fields: &Fields<'_>, mut batch: Batch) -> Result<(), InputError> {
        match fields.name {
            "BATCH" => return Err(fields.error("BATCH", Problem::InsideBatch)),
            "EOB" => {
                fields.expect_count(0)?;
                return self.send(batch.reply);
            }
            "INSTANCE" => {
                batch.instance = Some(fields.unsigned(0, "placer")?);
                fields.expect_count(1)?;
            }
            "CATALOG" => {
                let number = fields.unsigned(0, "list")?;
                let missing = fields.unsigned(1, "elements")? as usize;
                fields.expect_count(2)?;
                let entries = Vec::new();
                self.open_or_finish(OpenCatalog {
                    number,
                    missing,
                    entries,
                });
            }
            _ => self.event(fields, &mut batch)?,
        }
        self.batch = Some(batch);
        Ok(())
    }

    fn send(&mut self, mut reply: Reply) -> Result<(), InputError> {
        reply.text.push_str("YIELD\n");
        let sent = self.output.write_all(reply.text.as_bytes());
        let sent = sent.and_then(|()| self.output.flush());
        sent.map_err(|error| InputError::new(self.line, "output", error))
    }

    fn event(&mut self, fields: &Fields<'_>, batch: &mut Batch) -> Result<(), InputError> {
        let number = batch.instance;
        let number = number.ok_or_else(|| fields.error("placer", Problem::NoInstanceLine))?;
        match fields.name {
            "NEW_INSTANCE" => return self.start_instance(fields, number),
            "STOP" => return self.stop_instance(fields, number),
            _ => {}
        }
        let Some(instance) = self.instances.get_mut(&number) else {
            return Err(fields.error("placer", Problem::UnknownInstance));
        };
        let Some(event) = read_event(fields, &instance.names, &self.catalogs)? else {
            return Ok(());
        };
        instance.placer.handle(batch.now, &event, &mut self.actions);
        batch.reply.begin_instance(number);
        for action in self.actions.drain(..) {
            write_action(&mut batch.reply.text, &action);
        }
        Ok(())
    }

    fn start_instance(&mut self, fields: &Fields<'_>, number: u64) -> Result<(), InputError> {
        let seed = fields.unsigned(0, "salt")?;
        let (settings, names) = settings::read(&settings_by_path(fields)?)
            .map_err(|error| fields.error(error.path(), Problem::Setting(error.problem())))?;
        let placer = Placer::new(settings, seed);
        self.instances.insert(number, Instance { placer, names });
        Ok(())
    }

    fn stop_instance(&mut self, fields: &Fields<'_>, number: u64) -> Result<(), InputError> {
        fields.expect_count(0)?;
        match self.instances.remove(&number) {
            Some(_) => Ok(()),
            None => Err(fields.error("placer", Problem::UnknownInstance)),
        }
    }
}

/// Parses the `path=value` pairs that follow the seed in a NEW_INSTANCE message.
fn settings_by_path(fields: &Fields<'_>) -> Result<SettingsByPath, InputError> {
    let split = |pair: &&str| match pair.split_once('=') {
        Some((path, value)) => Ok((path.to_string(), value.to_string())),
        None => Err(fields.error("boot_info", Problem::NotAPair(pair))),
    };
    fields.values.iter().skip(1).map(split).collect()
}
