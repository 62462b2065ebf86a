//! `load-test`: rehearsals from the command line.

use clap::{Args, Parser, Subcommand, ValueEnum};
use load_test::arrivals::arrivals;
use load_test::clients::Policy;
use load_test::plan::Plan;
use load_test::report::{html, shape_svg, shape_text};
use load_test::results::{Summary, findings, interval_log, summarize};
use load_test::run::{Options, Outcome, run, run_arrivals};
use load_test::search::{Search, Spread, compare, figures, spreads};
use load_test::shape::Micros;
use load_test::table::{Columns, Trace, Unit, read_trace, write_tasks, write_trace};
use std::fs::File;
use std::io::{BufWriter, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

/// Rehearse an evening: open-loop load on real placers among stand-in hosts, with an audit of every task.
///
/// Exit codes: 0 good, 1 an aim was missed or the run was ended, 2 the input can't be meant, 3 a rule is
/// broken, 4 the generator itself was late.
#[derive(Debug, Parser)]
#[command(name = "load-test", version, max_term_width = 100)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check a plan or show the shape of its arrivals
    #[command(subcommand)]
    Plan(PlanCommand),
    /// Run a plan and write its report
    Run(RunArgs),
    /// Run two plans over the same seeds, side by side
    Compare {
        /// The first plan
        a: PathBuf,
        /// The second plan
        b: PathBuf,
        /// Seeds to run each with
        #[arg(long, default_value_t = 3)]
        seeds: u64,
        #[command(flatten)]
        common: Common,
    },
    /// Run a plan with each policy of repeats, over several seeds
    Policies {
        /// The plan
        plan: PathBuf,
        /// Seeds to run each with
        #[arg(long, default_value_t = 3)]
        seeds: u64,
        #[command(flatten)]
        common: Common,
    },
    /// Find the highest rate at which the plan's aim holds
    Knee {
        /// The plan
        plan: PathBuf,
        /// Runs of each rate
        #[arg(long, default_value_t = 3)]
        repeats: u32,
        /// Stop where the knee is known to this part
        #[arg(long, default_value_t = 0.1)]
        precision: f64,
        /// No more than so many times the plan's rate
        #[arg(long, default_value_t = 64.0)]
        most: f64,
        #[command(flatten)]
        common: Common,
    },
    /// Turn a trace into another form, cut or scaled
    Trace(TraceArgs),
    /// How many arrivals a second one core makes with a lateness p99 under 1 ms
    Pace {
        /// Seconds at each rate
        #[arg(long, default_value_t = 3)]
        seconds: u64,
    },
    /// Run a program that ends with this one (used for the placers)
    #[command(hide = true)]
    Guard {
        /// The program
        program: PathBuf,
        /// The most descriptors that it may hold
        #[arg(long)]
        descriptors: Option<u64>,
    },
}

#[derive(Debug, Subcommand)]
enum PlanCommand {
    /// Read a plan and say what is wrong with it
    Check {
        /// The plan
        file: PathBuf,
    },
    /// Draw the shape of its arrivals
    Show {
        /// The plan
        file: PathBuf,
        /// Also write it as SVG
        #[arg(long)]
        svg: Option<PathBuf>,
    },
}

#[derive(Debug, Args)]
struct Common {
    /// The placer's program
    #[arg(long, default_value = "target/release/task-placer")]
    placer: PathBuf,
    /// Where configurations and logs of the placers go
    #[arg(long, default_value = "target/rehearsal")]
    folder: PathBuf,
}

#[derive(Debug, Args)]
struct RunArgs {
    /// The plan
    plan: PathBuf,
    /// Another seed than the plan's
    #[arg(long)]
    seed: Option<u64>,
    /// Arrivals of a recorded trace in place of the plan's own
    #[arg(long)]
    trace: Option<PathBuf>,
    #[command(flatten)]
    reading: Reading,
    #[command(flatten)]
    common: Common,
    /// Print no more than the verdict
    #[arg(long)]
    quiet: bool,
}

#[derive(Debug, Args)]
struct Reading {
    /// Which column of the trace holds what, such as due=ts,class=kind
    #[arg(long, default_value = "")]
    columns: String,
    /// How times of the trace are written
    #[arg(long, value_enum, default_value_t = TimeUnit::Us)]
    unit: TimeUnit,
    /// Leave rows out that can't be read, and count them
    #[arg(long)]
    skip_bad: bool,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
enum TimeUnit {
    Us,
    Ms,
    S,
}

#[derive(Debug, Args)]
struct TraceArgs {
    /// The trace: .csv, .jsonl or .parquet
    from: PathBuf,
    /// Where to write it: .csv, .jsonl or .parquet
    to: PathBuf,
    /// The plan whose classes, tenants and rooms it names
    #[arg(long)]
    plan: Option<PathBuf>,
    #[command(flatten)]
    reading: Reading,
    /// Begin here
    #[arg(long, value_parser = humantime::parse_duration)]
    cut_from: Option<Duration>,
    /// End here
    #[arg(long, value_parser = humantime::parse_duration)]
    cut_to: Option<Duration>,
    /// So many times the time
    #[arg(long, default_value_t = 1.0)]
    time: f64,
    /// So many times as many
    #[arg(long, default_value_t = 1.0)]
    rate: f64,
}

type Done<T = u8> = Result<T, String>;

fn main() -> ExitCode {
    match act(Cli::parse().command) {
        Ok(code) => ExitCode::from(code),
        Err(problem) => {
            let _ = writeln!(std::io::stderr(), "load-test: {problem}");
            ExitCode::from(2)
        }
    }
}

fn act(command: Command) -> Done {
    match command {
        Command::Plan(PlanCommand::Check { file }) => {
            let plan = read_plan(&file)?;
            let shape = plan.shape();
            say(&format!(
                "good: {:.0} s, about {:.0} tasks",
                shape.length() as f64 / 1e6,
                shape.expected(shape.length())
            ));
            Ok(0)
        }
        Command::Plan(PlanCommand::Show { file, svg }) => {
            let shape = read_plan(&file)?.shape();
            say(shape_text(&shape).trim_end());
            if let Some(file) = svg {
                write(
                    &file,
                    shape_svg(&shape).map_err(|e| e.to_string())?.as_bytes(),
                )?;
            }
            Ok(0)
        }
        Command::Run(args) => run_one(&args),
        Command::Compare {
            a,
            b,
            seeds,
            common,
        } => {
            let (a, b) = (read_plan(&a)?, read_plan(&b)?);
            let names = if a.name == b.name {
                ["A".into(), "B".into()]
            } else {
                [a.name.clone(), b.name.clone()]
            };
            let sides = [
                over_seeds(&a, seeds, &common)?,
                over_seeds(&b, seeds, &common)?,
            ];
            say(&side_by_side(&names, &sides.map(|runs| spreads(&runs))));
            Ok(0)
        }
        Command::Policies {
            plan,
            seeds,
            common,
        } => policies(&read_plan(&plan)?, seeds, &common),
        Command::Knee {
            plan,
            repeats,
            precision,
            most,
            common,
        } => knee(
            &read_plan(&plan)?,
            Search::new(repeats, precision, most),
            &common,
        ),
        Command::Trace(args) => trace(&args),
        Command::Pace { seconds } => pace(seconds),
        Command::Guard {
            program,
            descriptors,
        } => Err(emulator::supervisor::guard(&program, descriptors).to_string()),
    }
}

fn say(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

fn write(file: &Path, bytes: &[u8]) -> Done<()> {
    std::fs::write(file, bytes).map_err(|e| format!("{}: {e}", file.display()))
}

fn read_plan(file: &Path) -> Done<Plan> {
    Plan::load(file).map_err(|e| e.to_string())
}

fn options(common: &Common, progress: bool) -> Options {
    Options {
        placer: common.placer.clone(),
        guard: std::env::current_exe().ok(),
        folder: common.folder.clone(),
        progress: progress && std::io::stderr().is_terminal(),
    }
}

fn read_as(reading: &Reading, file: &Path, plan: &Plan) -> Done<Trace> {
    let unit = match reading.unit {
        TimeUnit::Us => Unit::Micros,
        TimeUnit::Ms => Unit::Millis,
        TimeUnit::S => Unit::Seconds,
    };
    let columns = Columns::parse(&reading.columns)?;
    let trace =
        read_trace(file, plan, &columns, unit, reading.skip_bad).map_err(|e| e.to_string())?;
    if trace.skipped > 0 {
        let _ = writeln!(std::io::stderr(), "{} rows were left out", trace.skipped);
    }
    Ok(trace)
}

fn run_one(args: &RunArgs) -> Done {
    let mut plan = read_plan(&args.plan)?;
    plan.seed = args.seed.unwrap_or(plan.seed);
    let options = options(&args.common, !args.quiet);
    let outcome = match &args.trace {
        Some(file) => {
            let trace = read_as(&args.reading, file, &plan)?;
            let length = trace.arrivals.last().map_or(1, |a| a.due + 1);
            let rate = trace.arrivals.len() as f64 * 1e6 / length as f64;
            // The report's phases need a shape: one phase, as long as the trace.
            let shape = load_test::shape::Shape {
                phases: vec![load_test::shape::Phase {
                    name: "trace".into(),
                    start: 0,
                    length,
                    course: load_test::shape::Course::Level(rate),
                }],
            };
            run_arrivals(&plan, shape, trace.arrivals, &options)
        }
        None => run(&plan, &options),
    };
    let outcome = outcome.map_err(|e| e.to_string())?;
    let summary = summarize(&outcome);
    keep(&outcome, &summary, &args.common.folder)?;
    if args.quiet {
        say(summary
            .text(&outcome)
            .lines()
            .rev()
            .take(3)
            .collect::<Vec<_>>()
            .into_iter()
            .rev()
            .collect::<Vec<_>>()
            .join("\n")
            .as_str());
    } else {
        say(&summary.text(&outcome));
        say(&format!(
            "report: {}",
            args.common.folder.join("report.html").display()
        ));
    }
    if !outcome.findings.is_empty() {
        say(&findings(&outcome, 3));
    }
    Ok(summary.exit_code(&outcome))
}

/// Writes everything that a run leaves.
fn keep(outcome: &Outcome, summary: &Summary, folder: &Path) -> Done<()> {
    let page = html(outcome, summary).map_err(|e| e.to_string())?;
    write(&folder.join("report.html"), page.as_bytes())?;
    write(
        &folder.join("audit.txt"),
        findings(outcome, usize::MAX).as_bytes(),
    )?;
    write(
        &folder.join("harm.txt"),
        outcome.harm.table(&summary.seconds).as_bytes(),
    )?;
    write_tasks(&folder.join("tasks.parquet"), outcome).map_err(|e| e.to_string())?;
    let log = folder.join("latency.hlog");
    let mut out =
        BufWriter::new(File::create(&log).map_err(|e| format!("{}: {e}", log.display()))?);
    interval_log(outcome, &mut out)
        .and_then(|()| out.flush())
        .map_err(|e| format!("{}: {e}", log.display()))
}

fn over_seeds(plan: &Plan, seeds: u64, common: &Common) -> Done<Vec<Vec<(String, f64)>>> {
    let mut runs = Vec::new();
    for n in 0..seeds.max(1) {
        let plan = Plan {
            seed: plan.seed + n,
            ..plan.clone()
        };
        let outcome = run(&plan, &options(common, true)).map_err(|e| e.to_string())?;
        let summary = summarize(&outcome);
        let _ = writeln!(
            std::io::stderr(),
            "{}, seed {}: exit {}",
            plan.name,
            plan.seed,
            summary.exit_code(&outcome)
        );
        let mut figures = figures(&summary);
        figures.extend(waste(&outcome));
        runs.push(figures);
    }
    Ok(runs)
}

/// What repeats cost, and how soon all is well after the peak.
fn waste(outcome: &Outcome) -> Vec<(String, f64)> {
    let counts = outcome.counts;
    let first = counts.first.max(1) as f64;
    // From the end of the highest phase on: the first second from which on nine in ten start in their aim.
    let summary = summarize(outcome);
    let peak = outcome.shape.phases.iter().max_by(|a, b| {
        let most = |p: &load_test::shape::Phase| outcome.shape.rate(p.start + p.length / 2);
        most(a).total_cmp(&most(b))
    });
    let from = peak.map_or(0, |p| (p.start + p.length) / 1_000_000) as usize;
    let bad = summary
        .seconds
        .iter()
        .enumerate()
        .skip(from)
        .filter(|(_, s)| s.due > 0 && s.in_aim * 10 < s.due * 9);
    let recovered = bad.map(|(n, _)| n + 1).max().map_or(0, |n| n - from);
    vec![
        (
            "attempts beyond the first, a task".into(),
            counts.again as f64 / first,
        ),
        (
            "attempts that brought nothing, a task".into(),
            counts.wasted as f64 / first,
        ),
        (
            "seconds until all is well after the peak".into(),
            recovered as f64,
        ),
        ("offers, a task".into(), outcome.harm.offers_a_task()),
        (
            "refused offers".into(),
            outcome.harm.sum(|s| s.refused) as f64,
        ),
        (
            "offers in vain".into(),
            outcome.harm.sum(|s| s.in_vain) as f64,
        ),
        (
            "most returns in a second".into(),
            f64::from(outcome.harm.most(|s| s.returns)),
        ),
    ]
}

fn side_by_side(names: &[String; 2], sides: &[Vec<Spread>; 2]) -> String {
    let mut text = format!("{:<44}{:>22}{:>22}  \n", "", names[0], names[1]);
    for a in &sides[0] {
        let Some(b) = sides[1].iter().find(|b| b.name == a.name) else {
            continue;
        };
        let cell = |s: &Spread| format!("{:.2} ± {:.2}", s.mean(), s.deviation());
        text.push_str(&format!(
            "{:<44}{:>22}{:>22}  {}\n",
            a.name,
            cell(a),
            cell(b),
            compare(a, b).as_str()
        ));
    }
    text
}

fn policies(plan: &Plan, seeds: u64, common: &Common) -> Done {
    let mut columns = Vec::new();
    for policy in Policy::ALL {
        let mut plan = plan.clone();
        plan.clients.policy = policy;
        plan.name = policy.as_str().to_string();
        columns.push((policy, spreads(&over_seeds(&plan, seeds, common)?)));
    }
    let mut text = format!("{:<44}", "");
    columns
        .iter()
        .for_each(|(policy, _)| text.push_str(&format!("{:>20}", policy.as_str())));
    text.push('\n');
    for (n, spread) in columns[0].1.iter().enumerate() {
        text.push_str(&format!("{:<44}", spread.name));
        for (_, spreads) in &columns {
            let cell = spreads.get(n).map_or_else(String::new, |s| {
                format!("{:.2} ± {:.2}", s.mean(), s.deviation())
            });
            text.push_str(&format!("{cell:>20}"));
        }
        text.push('\n');
    }
    say(&text);
    Ok(0)
}

fn knee(plan: &Plan, mut search: Search, common: &Common) -> Done {
    let shape = plan.shape();
    while let Some(factor) = search.next() {
        let mut held = 0;
        for n in 0..search.repeats() {
            let plan = Plan {
                seed: plan.seed + u64::from(n),
                ..plan.clone()
            };
            let scaled = shape.scaled(factor);
            let due = arrivals(&plan, &scaled);
            let outcome = run_arrivals(&plan, scaled, due, &options(common, false))
                .map_err(|e| e.to_string())?;
            let summary = summarize(&outcome);
            if !summary.in_time {
                return Err(format!(
                    "at {factor:.2} times the plan's rate the generator itself was late: this machine can't tell"
                ));
            }
            if !outcome.findings.is_empty() {
                let _ = writeln!(std::io::stderr(), "{}", findings(&outcome, 1));
            }
            held += u32::from(summary.aim == Some(true) && outcome.findings.is_empty());
        }
        search.tried(factor, held, search.repeats());
        let rate = shape.most() * factor;
        say(&format!(
            "{factor:>7.2} times, up to {rate:>8.1}/s: held in {held} of {}",
            search.repeats()
        ));
    }
    let (low, high) = search.between();
    let rate = |factor: f64| shape.most() * factor;
    match high {
        Some(high) => say(&format!(
            "knee between {:.1}/s and {:.1}/s; {:.0} % of the runs agree with the verdict on their rate",
            rate(low),
            rate(high),
            100.0 * search.agreement()
        )),
        None => say(&format!(
            "the aim holds up to {:.1}/s, the most that was asked",
            rate(low)
        )),
    }
    Ok(0)
}

fn trace(args: &TraceArgs) -> Done {
    let plan = match &args.plan {
        Some(file) => read_plan(file)?,
        None => Plan::default(),
    };
    let mut trace = read_as(&args.reading, &args.from, &plan)?;
    let micros = |span: Duration| Micros::try_from(span.as_micros()).unwrap_or(Micros::MAX);
    if args.cut_from.is_some() || args.cut_to.is_some() {
        trace = trace.cut(
            args.cut_from.map_or(0, micros),
            args.cut_to.map_or(Micros::MAX, micros),
        );
    }
    if !(args.time > 0.0 && args.time.is_finite() && args.rate >= 0.0 && args.rate.is_finite()) {
        return Err("--time: expected more than 0; --rate: 0 or more".into());
    }
    let trace = trace.scale_time(args.time).scale_rate(args.rate);
    write_trace(&args.to, &plan, &trace.arrivals).map_err(|e| e.to_string())?;
    say(&format!(
        "{} arrivals written to {}",
        trace.arrivals.len(),
        args.to.display()
    ));
    Ok(0)
}

/// Finds the highest rate at which one core makes set-ups in time: a generator without placers, whose clients
/// write to a listener of its own that reads and throws away.
fn pace(seconds: u64) -> Done {
    let mut best = None;
    for rate in [500, 1_000, 2_000, 4_000, 8_000, 16_000, 32_000, 64_000] {
        let late = load_test::run::pace_alone(f64::from(rate), Duration::from_secs(seconds))
            .map_err(|e| e.to_string())?;
        let p99 = late.value_at_quantile(0.99) as f64 / 1e3;
        say(&format!(
            "{rate:>7}/s: lateness p50 {:.3} ms, p99 {p99:.3} ms, at most {:.2} ms",
            late.value_at_quantile(0.5) as f64 / 1e3,
            late.max() as f64 / 1e3
        ));
        if p99 >= 1.0 {
            break;
        }
        best = Some(rate);
    }
    match best {
        Some(rate) => say(&format!(
            "one core makes {rate} a second with p99 under 1 ms"
        )),
        None => say("not even the lowest rate is in time"),
    }
    Ok(0)
}
