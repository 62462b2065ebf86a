//! Results as text, for terminals and the files of a run.

use super::{SecondSummary, Summary};
use crate::outcome::Outcome;
use crate::overload_impact::{ImpactSecond, OverloadImpact};
use emulator::rule_check::Rule;

/// Returns the summary of a run. Percentiles are left out where the generator was late itself.
pub fn summary_text(summary: &Summary, outcome: &Outcome) -> String {
    let mut text = format!("{}, seed {}\n\n", outcome.plan.name, outcome.plan.seed);
    text.push_str(&groups_text(summary));
    let counts = outcome.counts;
    text.push_str(&format!(
        "\nclients: {} first tries, {} repeats, {} attempts brought nothing, {} presented\n",
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
        "the generator itself: p99 {p99_ms:.2} ms late, at most {:.2} ms\n",
        outcome.lateness.max() as f64 / 1e3
    );
    if !summary.generator_in_time {
        text.push_str(
            "it was later than the plan allows: percentiles would be its own, and are not told\n",
        );
    }
    text
}

fn verdict_text(summary: &Summary, outcome: &Outcome) -> String {
    let mut text = String::new();
    if summary.violations.is_empty() {
        text.push_str(&format!(
            "audit: no rule is broken, by {} notes\n",
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
        text.push_str("ended by a signal: what was done until then\n");
    }
    text
}

/// Returns the findings, at most so many of each rule.
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

/// Returns the totals of an impact.
pub fn impact_text(impact: &OverloadImpact) -> String {
    format!(
        "harm: {:.2} offers a task, {} refused, {} in vain; {} returns, at most {} a second; {} calls; \
         {} offers to hosts in trouble, at most {} a second at one\n",
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

/// Returns an impact second by second, with the offers to each slot of a host. The tasks that were due in a second
/// stand beside what was done in it.
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
