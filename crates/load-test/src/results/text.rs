//! Formats results as text, for the terminal and for the files of a run.

use super::{SecondSummary, Summary};
use crate::outcome::Outcome;
use crate::overload_impact::{ImpactSecond, OverloadImpact};
use emulator::rule_check::Rule;

/// Returns the summary of a run as text. If the generator itself was late, percentiles are left out.
pub fn summary_text(summary: &Summary, outcome: &Outcome) -> String {
    let mut text = format!("{}, seed {}\n\n", outcome.plan.name, outcome.plan.seed);
    text.push_str(&groups_text(summary));
    let counts = outcome.counts;
    text.push_str(&format!(
        "\nclients: {} first attempts, {} retries, {} failed attempts, {} reconnections\n",
        counts.first_attempts, counts.retries, counts.failed_attempts, counts.reconnections
    ));
    text.push_str(&impact_text(&outcome.impact));
    text.push_str(&generator_text(summary, outcome));
    let peak_kb = outcome.peak_memory_kb.iter().max().copied().unwrap_or(0);
    text.push_str(&format!(
        "placers: at most {:.1} MB of memory\n",
        peak_kb as f64 / 1024.0
    ));
    text.push_str(&verdict_text(summary, outcome));
    text
}

fn groups_text(summary: &Summary) -> String {
    let mut text = format!(
        "{:<28}{:>8}{:>9}{:>9}{:>10}{:>10}{:>10}\n",
        "", "due", "started", "in aim", "p50", "p99", "p99.9"
    );
    for group in &summary.groups {
        let cell = |fraction: f64| match group.percentile(fraction) {
            _ if !summary.generator_in_time => "-".to_string(),
            Some(latency) => format!("{:.1} ms", latency.as_secs_f64() * 1e3),
            None => "never".to_string(),
        };
        text.push_str(&format!(
            "{:<28}{:>8}{:>9}{:>8.1}%{:>10}{:>10}{:>10}\n",
            group.name,
            group.due,
            group.started,
            100.0 * group.fraction_within_objective(),
            cell(0.5),
            cell(0.99),
            cell(0.999)
        ));
    }
    text
}

fn generator_text(summary: &Summary, outcome: &Outcome) -> String {
    let p99_ms = outcome.lateness.value_at_quantile(0.99) as f64 / 1e3;
    let mut text = format!(
        "generator lateness: p99 {p99_ms:.2} ms, at most {:.2} ms\n",
        outcome.lateness.max() as f64 / 1e3
    );
    if !summary.generator_in_time {
        text.push_str(
            "generator lateness exceeds the limit of the plan: latency percentiles are not reported\n",
        );
    }
    text
}

fn verdict_text(summary: &Summary, outcome: &Outcome) -> String {
    let mut text = String::new();
    if summary.violations.is_empty() {
        text.push_str(&format!(
            "audit: no rule is violated in {} events\n",
            outcome.event_count
        ));
    } else {
        let list: Vec<String> = summary
            .violations
            .iter()
            .map(|(rule, count)| format!("{rule} {count}"))
            .collect();
        text.push_str(&format!("audit: BROKEN: {}\n", list.join(", ")));
    }
    if let Some(met) = summary.objective_met {
        let objectives = &outcome.plan.objectives;
        let verdict = if met { "holds" } else { "MISSED" };
        text.push_str(&format!(
            "aim: {:.1} % of {} within their aim: {verdict}\n",
            100.0 * objectives.share,
            objectives.class
        ));
    }
    if outcome.interrupted {
        text.push_str("interrupted by a signal: the results cover the run until then\n");
    }
    text
}

/// Returns the findings as text, at most `max_per_rule` of each rule, and the number of the others.
pub fn findings_text(outcome: &Outcome, max_per_rule: usize) -> String {
    let mut text = String::new();
    for rule in Rule::ALL {
        let findings: Vec<_> = outcome
            .findings
            .iter()
            .filter(|finding| finding.rule == rule)
            .collect();
        for finding in findings.iter().take(max_per_rule) {
            text.push_str(&format!("{finding}\n"));
        }
        if findings.len() > max_per_rule {
            text.push_str(&format!(
                "{} and {} more\n",
                rule.as_str(),
                findings.len() - max_per_rule
            ));
        }
    }
    text
}

/// Returns the totals of an overload impact as text.
pub fn impact_text(impact: &OverloadImpact) -> String {
    format!(
        "harm: {:.2} offers per task, {} rejected, {} abandoned; {} retries, at most {} per second; {} connections; \
         {} offers to faulty hosts, at most {} per second to one host\n",
        impact.offers_per_task(),
        impact.total(|second| second.rejected_offers),
        impact.total(|second| second.abandoned_offers),
        impact.total(|second| second.retries),
        impact.max_per_second(|second| second.retries),
        impact.total(|second| second.connections),
        impact.offers_to_faulty_hosts,
        impact.max_offers_to_faulty_host
    )
}

/// Returns a table with one row for each second of a run: the tasks that were due in that second, the load that the
/// placers put on the hosts in it, and the offers to each host slot.
pub fn impact_table(impact: &OverloadImpact, due: &[SecondSummary]) -> String {
    let mut text = format!(
        "{:>6}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}{:>8}   offers by host\n",
        "second",
        "due",
        "started",
        "in aim",
        "p50 ms",
        "offers",
        "repeats",
        "held ms",
        "line ms",
        "refused",
        "in vain",
        "returns",
        "calls"
    );
    for (n, second) in impact.seconds.iter().enumerate() {
        let due = due.get(n).copied().unwrap_or_default();
        text.push_str(&format!(
            "{n:>6}{:>8}{:>8}{:>8}{:>8.0}",
            due.due, due.started, due.within_objective, due.p50_ms
        ));
        text.push_str(&impact_cells(second));
        for offers in &impact.offers_by_slot {
            text.push_str(&format!("{:>5}", offers.get(n).copied().unwrap_or(0)));
        }
        text.push('\n');
    }
    text
}

fn impact_cells(second: &ImpactSecond) -> String {
    let mean = |sum: u32| f64::from(sum) / f64::from(second.starts.max(1));
    format!(
        "{:>8}{:>8}{:>8.0}{:>8.0}{:>8}{:>8}{:>8}{:>8}  ",
        second.offers,
        second.retry_offers,
        mean(second.placer_wait_ms),
        mean(second.host_wait_ms),
        second.rejected_offers,
        second.abandoned_offers,
        second.retries,
        second.connections
    )
}
