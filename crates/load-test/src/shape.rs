//! The language for the shape of arrivals.
//!
//! ```text
//! shape   = item { "," item }
//! item    = [ name ":" ] ( count "x" "(" shape ")" | phase )
//! phase   = rate "for" span                       as many a second, evenly
//!         | ( "rise" | "fall" ) "to" rate "over" span   from the rate before, in a line
//!         | "hold" span                           the rate before
//!         | "wave" rate ".." rate "every" span "for" span   a sine from low to high and back
//!         | "burst" count "in" span               so many, then the rate before goes on
//!         | "silence" span                        nothing
//! rate    = number "/" ( "s" | "m" | "h" )
//! span    = number ( "ms" | "s" | "m" | "h" ) { number unit }
//! ```
//!
//! Names mark phases in reports. `3x(burst 20 in 1s, hold 4s)` repeats.

use std::fmt;
use winnow::ascii::{alpha1, digit1, float, multispace0};
use winnow::combinator::{alt, cut_err, delimited, opt, preceded, repeat, separated, terminated};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::take_while;

/// Microseconds.
pub type Micros = i64;

const SECOND: f64 = 1e6;
/// A shape is no longer than this, and no rate higher.
const MOST_LENGTH: Micros = 7 * 86_400 * 1_000_000;
const MOST_RATE: f64 = 1e6;
/// Phases after repeats are written out.
const MOST_PHASES: usize = 10_000;
const MOST_REPEATS: u32 = 1_000;

/// How the rate goes within a phase, in arrivals a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Course {
    /// The same all along.
    Level(f64),
    /// In a line from one to the other.
    Line(f64, f64),
    /// A sine between low and high, from the low end up, with this period.
    Wave(f64, f64, Micros),
}

/// A phase of a shape.
#[derive(Debug, Clone, PartialEq)]
pub struct Phase {
    /// Its name, or the words that made it.
    pub name: String,
    /// When it begins.
    pub start: Micros,
    /// How long it lasts.
    pub length: Micros,
    /// How the rate goes.
    pub course: Course,
}

impl Phase {
    /// The rate so long after its start.
    fn rate(&self, after: Micros) -> f64 {
        let part = after as f64 / self.length.max(1) as f64;
        match self.course {
            Course::Level(rate) => rate,
            Course::Line(from, to) => from + (to - from) * part,
            Course::Wave(low, high, period) => {
                let turn = std::f64::consts::TAU * after as f64 / period.max(1) as f64;
                low + (high - low) * (1.0 - turn.cos()) / 2.0
            }
        }
    }

    /// The highest rate in it.
    fn most(&self) -> f64 {
        match self.course {
            Course::Level(rate) => rate,
            Course::Line(from, to) => from.max(to),
            Course::Wave(low, high, _) => low.max(high),
        }
    }
}

/// The rate of arrivals over time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Shape {
    /// Its phases, one after another.
    pub phases: Vec<Phase>,
}

impl Shape {
    /// How long it lasts.
    pub fn length(&self) -> Micros {
        self.phases
            .last()
            .map_or(0, |phase| phase.start + phase.length)
    }

    /// The phase at a time.
    pub fn phase(&self, at: Micros) -> Option<&Phase> {
        let after = self.phases.partition_point(|phase| phase.start <= at);
        let phase = after.checked_sub(1).and_then(|n| self.phases.get(n))?;
        (at < phase.start + phase.length).then_some(phase)
    }

    /// Arrivals a second at a time.
    pub fn rate(&self, at: Micros) -> f64 {
        self.phase(at)
            .map_or(0.0, |phase| phase.rate(at - phase.start))
    }

    /// The highest rate of all.
    pub fn most(&self) -> f64 {
        self.phases.iter().map(Phase::most).fold(0.0, f64::max)
    }

    /// Arrivals expected up to a time: the integral of the rate, exact for lines and waves.
    pub fn expected(&self, until: Micros) -> f64 {
        let within = |phase: &Phase| {
            let span = (until - phase.start).clamp(0, phase.length);
            let seconds = span as f64 / SECOND;
            match phase.course {
                Course::Level(rate) => rate * seconds,
                Course::Line(from, _) => (from + phase.rate(span)) / 2.0 * seconds,
                Course::Wave(low, high, period) => {
                    let turn = std::f64::consts::TAU / (period.max(1) as f64 / SECOND);
                    let middle = (low + high) / 2.0;
                    middle * seconds - (high - low) / 2.0 * (turn * seconds).sin() / turn
                }
            }
        };
        self.phases.iter().map(within).sum()
    }

    /// The same with all rates multiplied.
    pub fn scaled(&self, factor: f64) -> Shape {
        let course = |course| match course {
            Course::Level(rate) => Course::Level(rate * factor),
            Course::Line(from, to) => Course::Line(from * factor, to * factor),
            Course::Wave(low, high, period) => Course::Wave(low * factor, high * factor, period),
        };
        let phases = self.phases.iter().map(|phase| Phase {
            course: course(phase.course),
            ..phase.clone()
        });
        Shape {
            phases: phases.collect(),
        }
    }
}

/// What is wrong with a shape, with the place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShapeError {
    text: String,
    offset: usize,
    what: String,
}

impl fmt::Display for ShapeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let offset = self.offset.min(self.text.len());
        let before = self.text.get(..offset).unwrap_or_default();
        let line = before.matches('\n').count();
        let column = before
            .rsplit('\n')
            .next()
            .map_or(0, |last| last.chars().count());
        let shown = self.text.lines().nth(line).unwrap_or_default();
        write!(
            f,
            "line {}, column {}: {}\n  {shown}\n  {}^",
            line + 1,
            column + 1,
            self.what,
            " ".repeat(column)
        )
    }
}

impl std::error::Error for ShapeError {}

/// As it was written.
#[derive(Debug, Clone)]
enum Item {
    Phase(Option<String>, Verb),
    Repeat(Option<String>, u32, Vec<Item>),
}

#[derive(Debug, Clone, Copy)]
enum Verb {
    Level(f64, Micros),
    To(f64, Micros),
    Hold(Micros),
    Wave(f64, f64, Micros, Micros),
    Burst(f64, Micros),
    Silence(Micros),
}

type Res<T> = Result<T, ErrMode<ContextError>>;

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn word<'a>(text: &'static str) -> impl Parser<&'a str, &'a str, ErrMode<ContextError>> {
    preceded(multispace0, text).context(StrContext::Expected(StrContextValue::StringLiteral(text)))
}

fn number(input: &mut &str) -> Res<f64> {
    // Words such as `inf` are no numbers here.
    preceded(
        multispace0,
        float.verify(|n: &f64| n.is_finite() && *n >= 0.0),
    )
    .context(expected("a number"))
    .parse_next(input)
}

fn rate(input: &mut &str) -> Res<f64> {
    let per = alt(("s".value(1.0), "m".value(60.0), "h".value(3600.0)));
    (number, "/", cut_err(per).context(expected("s, m or h")))
        .map(|(count, _, per): (f64, _, f64)| count / per)
        .verify(|rate| *rate <= MOST_RATE)
        .context(expected("a rate such as 8/s"))
        .parse_next(input)
}

fn span(input: &mut &str) -> Res<Micros> {
    let unit = alt((
        "ms".value(1e3),
        "s".value(1e6),
        "m".value(60e6),
        "h".value(3600e6),
    ));
    let part = (number, unit).map(|(count, unit): (f64, f64)| count * unit);
    repeat(1.., part)
        .fold(|| 0.0, |sum, part: f64| sum + part)
        .verify(|sum| *sum >= 1.0 && *sum <= MOST_LENGTH as f64)
        .map(|sum: f64| sum.round() as Micros)
        .context(expected("a time such as 30s, at most 7 days"))
        .parse_next(input)
}

fn verb(input: &mut &str) -> Res<Verb> {
    let to = preceded(
        (alt((word("rise"), word("fall"))), cut_err(word("to"))),
        cut_err((rate, preceded(word("over"), span))),
    );
    let wave = preceded(
        word("wave"),
        cut_err((
            rate,
            preceded(word(".."), rate),
            preceded(word("every"), span),
            preceded(word("for"), span),
        )),
    );
    let burst = preceded(word("burst"), cut_err((number, preceded(word("in"), span))));
    alt((
        to.map(|(rate, over)| Verb::To(rate, over)),
        preceded(word("hold"), cut_err(span)).map(Verb::Hold),
        wave.map(|(low, high, every, length)| Verb::Wave(low, high, every, length)),
        burst.map(|(count, length)| Verb::Burst(count, length)),
        preceded(word("silence"), cut_err(span)).map(Verb::Silence),
        (rate, cut_err(preceded(word("for"), span)))
            .map(|(rate, length)| Verb::Level(rate, length)),
    ))
    .context(expected("a rate, rise, fall, hold, wave, burst or silence"))
    .parse_next(input)
}

fn name(input: &mut &str) -> Res<String> {
    let rest = take_while(0.., |c: char| c.is_alphanumeric() || c == '-' || c == '_');
    delimited(multispace0, (alpha1, rest), (multispace0, ":"))
        .map(|(first, rest): (&str, &str)| format!("{first}{rest}"))
        .parse_next(input)
}

fn item(input: &mut &str) -> Res<Item> {
    let name = opt(name).parse_next(input)?;
    let count = terminated(
        preceded(multispace0, digit1.try_map(str::parse::<u32>)),
        (multispace0, "x", multispace0, "("),
    );
    if let Some(count) = opt(count).parse_next(input)? {
        if count == 0 || count > MOST_REPEATS {
            return Err(ErrMode::Cut(ContextError::new()))
                .context_here(input, "a count of repeats from 1 to 1000");
        }
        let items = cut_err(terminated(items, word(")"))).parse_next(input)?;
        return Ok(Item::Repeat(name, count, items));
    }
    let verb = verb.parse_next(input)?;
    Ok(Item::Phase(name, verb))
}

trait ContextHere<T> {
    fn context_here(self, input: &mut &str, what: &'static str) -> Res<T>;
}

impl<T> ContextHere<T> for Res<T> {
    fn context_here(self, input: &mut &str, what: &'static str) -> Res<T> {
        use winnow::error::AddContext;
        use winnow::stream::Stream;
        let start = input.checkpoint();
        self.map_err(|e| e.map(|e: ContextError| e.add_context(input, &start, expected(what))))
    }
}

fn items(input: &mut &str) -> Res<Vec<Item>> {
    separated(1.., item, (multispace0, ",")).parse_next(input)
}

/// Reads a shape.
pub fn parse(text: &str) -> Result<Shape, ShapeError> {
    let error = |offset: usize, what: String| ShapeError {
        text: text.to_string(),
        offset,
        what,
    };
    let mut whole = terminated(items, (opt((multispace0, ",")), multispace0));
    let items = whole.parse(text).map_err(|e| {
        let found = text
            .get(e.offset()..)
            .unwrap_or_default()
            .split_whitespace()
            .next()
            .unwrap_or("the end");
        let wanted: Vec<String> = e
            .inner()
            .context()
            .filter_map(|context| match context {
                StrContext::Expected(what) => Some(what.to_string()),
                _ => None,
            })
            .collect();
        let wanted = wanted
            .first()
            .cloned()
            .unwrap_or_else(|| "a comma or the end".to_string());
        error(e.offset(), format!("expected {wanted}, found {found}"))
    })?;
    let mut shape = Shape::default();
    let mut last = 0.0;
    lay(&items, None, &mut shape, &mut last).map_err(|what| error(0, what))?;
    Ok(shape)
}

fn lay(
    items: &[Item],
    outer: Option<&str>,
    shape: &mut Shape,
    last: &mut f64,
) -> Result<(), String> {
    for item in items {
        match item {
            Item::Repeat(name, count, items) => {
                for _ in 0..*count {
                    lay(items, name.as_deref().or(outer), shape, last)?;
                }
            }
            Item::Phase(name, verb) => {
                let (course, length, kind) = match *verb {
                    Verb::Level(rate, length) => (Course::Level(rate), length, "level"),
                    Verb::To(rate, length) => (
                        Course::Line(*last, rate),
                        length,
                        if rate >= *last { "rise" } else { "fall" },
                    ),
                    Verb::Hold(length) => (Course::Level(*last), length, "hold"),
                    Verb::Wave(low, high, every, length) => {
                        (Course::Wave(low, high, every), length, "wave")
                    }
                    Verb::Burst(count, length) => (
                        Course::Level(count * SECOND / length as f64),
                        length,
                        "burst",
                    ),
                    Verb::Silence(length) => (Course::Level(0.0), length, "silence"),
                };
                let start = shape.length();
                let phase = Phase {
                    name: String::new(),
                    start,
                    length,
                    course,
                };
                if !matches!(verb, Verb::Burst(..)) {
                    *last = phase.rate(length);
                }
                if phase.most() > MOST_RATE {
                    return Err(format!("more than {MOST_RATE} arrivals a second"));
                }
                let name = name.as_deref().or(outer).unwrap_or(kind).to_string();
                shape.phases.push(Phase { name, ..phase });
                if shape.phases.len() > MOST_PHASES || shape.length() > MOST_LENGTH {
                    return Err(format!(
                        "more than {MOST_PHASES} phases or 7 days, with all repeats"
                    ));
                }
            }
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    const WHOLE: &str = "8/s for 30s, rise to 40/s over 5s, hold 20s, wave 20/s..40/s every 10s for 60s, \
                         burst 200 in 500ms, silence 3s";

    #[test]
    fn the_operators_shape_is_read() {
        let shape = parse(WHOLE).expect("a shape");
        assert_eq!(shape.phases.len(), 6);
        assert_eq!(shape.length(), 118_500_000);
        for (at, rate) in [
            (0.0, 8.0),
            (29.9, 8.0),
            (32.5, 24.0),
            (40.0, 40.0),
            (55.0, 20.0),
            (60.0, 40.0),
            (115.1, 400.0),
            (117.0, 0.0),
            (200.0, 0.0),
        ] {
            assert!(
                (shape.rate((at * SECOND) as Micros) - rate).abs() < 0.5,
                "{at}: {}",
                shape.rate((at * SECOND) as Micros)
            );
        }
        let expected = 240.0 + 120.0 + 800.0 + 1_800.0 + 200.0;
        assert!((shape.expected(shape.length()) - expected).abs() < 1e-6);
        assert_eq!(
            shape.phase(36_000_000).map(|p| p.name.as_str()),
            Some("hold")
        );
    }

    #[test]
    fn names_repeats_and_units() {
        let shape =
            parse("calm: 60/m for 1m30s, polls: 3x(burst 20 in 1s, hold 4s), fall to 0/s over 2s")
                .expect("a shape");
        let names: Vec<&str> = shape.phases.iter().map(|p| p.name.as_str()).collect();
        assert_eq!(
            names,
            [
                "calm", "polls", "polls", "polls", "polls", "polls", "polls", "fall"
            ]
        );
        assert_eq!(
            (shape.rate(0), shape.rate(92_000_000)),
            (1.0, 1.0),
            "after a burst the rate before goes on"
        );
        assert_eq!(shape.length(), 107_000_000);
        assert_eq!(shape.scaled(2.0).rate(0), 2.0);
    }

    #[test]
    fn errors_show_the_place_and_what_was_expected() {
        for (text, column, says) in [
            (
                "8/s for 30s, rise 40/s over 5s",
                19,
                "expected `to`, found 40/s",
            ),
            ("8/s for", 8, "expected a number, found the end"),
            ("8/x for 30s", 3, "expected s, m or h"),
            ("8/s for 30", 11, "expected"),
            ("", 1, "expected"),
            ("8/s for 30s hold 2s", 13, "a comma or the end"),
            ("2x(8/s for 1s", 14, "expected"),
            ("0x(8/s for 1s)", 4, "count of repeats"),
            ("wave 1/s..2/s for 3s", 15, "`every`"),
            ("-1/s for 3s", 1, "expected"),
            ("inf/s for 3s", 1, "expected"),
            ("hold 8d", 7, "expected"),
        ] {
            let error = parse(text).expect_err(text);
            let shown = error.to_string();
            assert!(shown.contains(says), "{text}: {shown}");
            assert_eq!(error.offset + 1, column, "{text}: {shown}");
            assert!(shown.ends_with('^'), "{shown}");
        }
        assert!(
            parse("8/s for 30s,\n").is_ok(),
            "a comma at the end does no harm"
        );
        assert!(parse("1000x(1000x(1/s for 1s))").is_err(), "bounded");
        assert!(parse("2000000/s for 1s").is_err());
        let lines = parse("8/s for 1s,\n  rise up")
            .expect_err("no shape")
            .to_string();
        assert!(
            lines.contains("line 2, column 8") && lines.contains("\n    rise up\n"),
            "{lines}"
        );
    }
}
