//! Formats the result of a run as text tables.

use super::{FleetTotals, PlacerResult, RunResult};
use std::fmt::{self, Write};

/// Formats the result of a run as text tables.
pub fn print(result: &RunResult) -> String {
    let mut out = String::new();
    // Writing to a `String` cannot fail.
    let _ = write_result(&mut out, result);
    out
}

fn write_result(out: &mut String, result: &RunResult) -> fmt::Result {
    let settings = &result.settings;
    writeln!(
        out,
        "{} workers in {} zones, {} placers ({} stated), {} starts/s, {} standing, {:.0} s measured",
        settings.workers,
        settings.zones,
        settings.placers,
        settings.configured_placers(),
        settings.rate,
        settings.running_tasks,
        result.duration_s,
    )?;
    match &result.reason {
        None => writeln!(out, "usable: true")?,
        Some(reason) => writeln!(out, "usable: {}: {reason}", result.usable)?,
    }
    write_fleet(out, &result.fleet)?;
    write_placers(out, &result.placers)?;
    let memory = &result.memory;
    let mib = |kb: u64| kb as f64 / 1024.0;
    writeln!(
        out,
        "machine {:.0} % busy; {} processes, {:.0} MiB at the most; hollow peers {:.0} MiB",
        100.0 * result.machine_busy,
        result.processes,
        mib(memory.all_peak_kb),
        mib(memory.own_peak_kb)
    )
}

fn write_fleet(out: &mut String, fleet: &FleetTotals) -> fmt::Result {
    writeln!(
        out,
        "tasks: {} due, {} started, {} refused, {} failed, {} cut, {} without a placer",
        fleet.due, fleet.started, fleet.refused, fleet.failed, fleet.placer_killed, fleet.no_placer
    )?;
    writeln!(
        out,
        "rules: {} lost, {} started twice, {} answered twice, {} ended wrongly, {} never started",
        fleet.lost,
        fleet.started_twice,
        fleet.answered_twice,
        fleet.ended_wrongly,
        fleet.never_started
    )?;
    writeln!(
        out,
        "ends: {} by themselves, {} reset, {} moved, {} lost with a killed placer; {} worker refusals",
        fleet.ended, fleet.reset, fleet.moved, fleet.lost_with_placer, fleet.worker_refusals
    )?;
    writeln!(
        out,
        "{:<12} {:>8} {:>9} {:>9} {:>9} {:>9}",
        "to start", "count", "p50 ms", "p90", "p99", "max"
    )?;
    let late = [
        ("lateness", &fleet.lateness),
        ("of workers", &fleet.worker_lateness),
    ];
    let classes = fleet
        .start_times
        .iter()
        .map(|times| (times.class.as_str(), &times.times));
    for (name, times) in classes.chain(late) {
        writeln!(
            out,
            "{name:<12} {:>8} {:>9.1} {:>9.1} {:>9.1} {:>9.1}",
            times.count, times.p50_ms, times.p90_ms, times.p99_ms, times.max_ms
        )?;
    }
    Ok(())
}

fn write_placers(out: &mut String, placers: &[PlacerResult]) -> fmt::Result {
    writeln!(
        out,
        "{:<6} {:>6} {:>8} {:>8} {:>6} {:>10} {:>9} {:>10} {:>9} {:>9} {:>9}  ready ms",
        "placer",
        "cpu %",
        "rss kB",
        "pss kB",
        "fds",
        "ctl in B/s",
        "ctl out",
        "srv in B/s",
        "srv out",
        "events/s",
        "entries/s"
    )?;
    for placer in placers {
        let totals = &placer.totals;
        let ready: Vec<String> = placer
            .ready_ms
            .iter()
            .map(|ms| format!("{ms:.0}"))
            .collect();
        writeln!(
            out,
            "{:<6} {:>6.1} {:>8} {:>8} {:>6} {:>10.0} {:>9.0} {:>10.0} {:>9.0} {:>9.1} {:>9.1}  {}",
            placer.name,
            100.0 * totals.cpu_share,
            totals.rss_peak_kb,
            totals.pss_peak_kb,
            totals.descriptors_peak,
            totals.control.total.to_bytes_per_s,
            totals.control.total.from_bytes_per_s,
            totals.service.total.to_bytes_per_s,
            totals.service.total.from_bytes_per_s,
            totals.feed.events_per_s,
            totals.feed.entries_per_s,
            ready.join(", ")
        )?;
    }
    Ok(())
}
