//! `trace`: converts a trace to another format, and cuts or scales it.

use super::{CommandError, print_error_line, print_line};
use crate::cli::{ReadingArgs, TraceArgs, UnitArg};
use load_test::load_profile::Micros;
use load_test::plan::Plan;
use load_test::report_table::{BadRows, Columns, TimeUnit, Trace, read_trace, write_trace};
use std::path::Path;
use std::time::Duration;

/// Reads a trace with the column mapping, the unit and the handling of invalid rows from the command line.
pub(super) fn read(args: &ReadingArgs, file: &Path, plan: &Plan) -> Result<Trace, CommandError> {
    let unit = match args.unit {
        UnitArg::Us => TimeUnit::Micros,
        UnitArg::Ms => TimeUnit::Millis,
        UnitArg::S => TimeUnit::Seconds,
    };
    let bad_rows = if args.skip_bad {
        BadRows::Skip
    } else {
        BadRows::Fail
    };
    let columns = Columns::parse(&args.columns)?;
    let trace = read_trace(file, plan, &columns, unit, bad_rows)?;
    if trace.skipped > 0 {
        print_error_line(&format!("skipped {} invalid rows", trace.skipped));
    }
    Ok(trace)
}

pub(super) fn convert(args: &TraceArgs) -> Result<u8, CommandError> {
    let plan = match &args.plan {
        Some(file) => Plan::load(file)?,
        None => Plan::default(),
    };
    let mut trace = read(&args.reading, &args.from, &plan)?;
    let micros = |duration: Duration| Micros::try_from(duration.as_micros()).unwrap_or(Micros::MAX);
    if args.cut_from.is_some() || args.cut_to.is_some() {
        trace = trace.cut(
            args.cut_from.map_or(0, micros),
            args.cut_to.map_or(Micros::MAX, micros),
        );
    }
    let is_valid = args.time_factor > 0.0
        && args.time_factor.is_finite()
        && args.rate_factor >= 0.0
        && args.rate_factor.is_finite();
    if !is_valid {
        return Err(CommandError::InvalidFactor);
    }
    let trace = trace
        .scale_time(args.time_factor)
        .scale_rate(args.rate_factor);
    write_trace(&args.to, &plan, &trace.arrivals)?;
    print_line(&format!(
        "{} arrivals written to {}",
        trace.arrivals.len(),
        args.to.display()
    ));
    Ok(0)
}
