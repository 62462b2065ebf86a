//! Parser of load profiles.

use super::{
    LoadProfile, MAX_LENGTH, MAX_PHASES, MAX_RATE, MAX_REPEATS, Micros, Phase, RateCurve, SECOND,
};
use std::fmt;
use winnow::ascii::{alpha1, digit1, float, multispace0};
use winnow::combinator::{alt, cut_err, delimited, opt, preceded, repeat, separated, terminated};
use winnow::error::{ContextError, ErrMode, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::take_while;

/// Why a text is not a valid load profile, and the position of the error.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProfileError {
    text: String,
    pub(super) offset: usize,
    problem: String,
}

impl fmt::Display for ProfileError {
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
            self.problem,
            " ".repeat(column)
        )
    }
}

impl std::error::Error for ProfileError {}

/// The limit that a profile exceeds once its repeats are expanded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
enum LimitExceeded {
    #[error("more than {MAX_RATE} arrivals per second")]
    Rate,
    #[error("more than {MAX_PHASES} phases or 7 days, with all repeats")]
    PhasesOrLength,
}

/// An item of the profile's text, before repeats are expanded.
#[derive(Debug, Clone)]
enum Item {
    Phase(Option<String>, PhaseSpec),
    Repeat(Option<String>, u32, Vec<Item>),
}

/// A phase of the profile's text.
#[derive(Debug, Clone, Copy)]
enum PhaseSpec {
    Level(f64, Micros),
    To(f64, Micros),
    Hold(Micros),
    Wave(f64, f64, Micros, Micros),
    Burst(f64, Micros),
    Silence(Micros),
}

type ParseResult<T> = Result<T, ErrMode<ContextError>>;

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn keyword<'a>(text: &'static str) -> impl Parser<&'a str, &'a str, ErrMode<ContextError>> {
    preceded(multispace0, text).context(StrContext::Expected(StrContextValue::StringLiteral(text)))
}

fn number(input: &mut &str) -> ParseResult<f64> {
    // `float` parses `inf` and `nan` too, which are not valid here.
    preceded(
        multispace0,
        float.verify(|n: &f64| n.is_finite() && *n >= 0.0),
    )
    .context(expected("a number"))
    .parse_next(input)
}

fn rate(input: &mut &str) -> ParseResult<f64> {
    let per = alt(("s".value(1.0), "m".value(60.0), "h".value(3600.0)));
    (number, "/", cut_err(per).context(expected("s, m or h")))
        .map(|(count, _, per): (f64, _, f64)| count / per)
        .verify(|rate| *rate <= MAX_RATE)
        .context(expected("a rate such as 8/s"))
        .parse_next(input)
}

fn span(input: &mut &str) -> ParseResult<Micros> {
    let unit = alt((
        "ms".value(1e3),
        "s".value(1e6),
        "m".value(60e6),
        "h".value(3600e6),
    ));
    let part = (number, unit).map(|(count, unit): (f64, f64)| count * unit);
    repeat(1.., part)
        .fold(|| 0.0, |sum, part: f64| sum + part)
        .verify(|sum| *sum >= 1.0 && *sum <= MAX_LENGTH as f64)
        .map(|sum: f64| sum.round() as Micros)
        .context(expected("a time such as 30s, at most 7 days"))
        .parse_next(input)
}

fn phase_spec(input: &mut &str) -> ParseResult<PhaseSpec> {
    let to = preceded(
        (
            alt((keyword("rise"), keyword("fall"))),
            cut_err(keyword("to")),
        ),
        cut_err((rate, preceded(keyword("over"), span))),
    );
    let wave = preceded(
        keyword("wave"),
        cut_err((
            rate,
            preceded(keyword(".."), rate),
            preceded(keyword("every"), span),
            preceded(keyword("for"), span),
        )),
    );
    let burst = preceded(
        keyword("burst"),
        cut_err((number, preceded(keyword("in"), span))),
    );
    alt((
        to.map(|(rate, over)| PhaseSpec::To(rate, over)),
        preceded(keyword("hold"), cut_err(span)).map(PhaseSpec::Hold),
        wave.map(|(low, high, every, length)| PhaseSpec::Wave(low, high, every, length)),
        burst.map(|(count, length)| PhaseSpec::Burst(count, length)),
        preceded(keyword("silence"), cut_err(span)).map(PhaseSpec::Silence),
        (rate, cut_err(preceded(keyword("for"), span)))
            .map(|(rate, length)| PhaseSpec::Level(rate, length)),
    ))
    .context(expected("a rate, rise, fall, hold, wave, burst or silence"))
    .parse_next(input)
}

fn name(input: &mut &str) -> ParseResult<String> {
    let rest = take_while(0.., |c: char| c.is_alphanumeric() || c == '-' || c == '_');
    delimited(multispace0, (alpha1, rest), (multispace0, ":"))
        .map(|(first, rest): (&str, &str)| format!("{first}{rest}"))
        .parse_next(input)
}

fn item(input: &mut &str) -> ParseResult<Item> {
    let name = opt(name).parse_next(input)?;
    let count = terminated(
        preceded(multispace0, digit1.try_map(str::parse::<u32>)),
        (multispace0, "x", multispace0, "("),
    );
    if let Some(count) = opt(count).parse_next(input)? {
        if count == 0 || count > MAX_REPEATS {
            return Err(ErrMode::Cut(ContextError::new()))
                .context_here(input, "a count of repeats from 1 to 1000");
        }
        let items = cut_err(terminated(items, keyword(")"))).parse_next(input)?;
        return Ok(Item::Repeat(name, count, items));
    }
    let phase_spec = phase_spec.parse_next(input)?;
    Ok(Item::Phase(name, phase_spec))
}

trait ContextHere<T> {
    fn context_here(self, input: &mut &str, what: &'static str) -> ParseResult<T>;
}

impl<T> ContextHere<T> for ParseResult<T> {
    fn context_here(self, input: &mut &str, what: &'static str) -> ParseResult<T> {
        use winnow::error::AddContext;
        use winnow::stream::Stream;
        let start = input.checkpoint();
        self.map_err(|e| e.map(|e: ContextError| e.add_context(input, &start, expected(what))))
    }
}

fn items(input: &mut &str) -> ParseResult<Vec<Item>> {
    separated(1.., item, (multispace0, ",")).parse_next(input)
}

/// Parses a load profile.
///
/// # Errors
///
/// The text is not a profile, or exceeds a limit; the error shows the position and what was expected there.
pub fn parse(text: &str) -> Result<LoadProfile, ProfileError> {
    let error = |offset: usize, problem: String| ProfileError {
        text: text.to_string(),
        offset,
        problem,
    };
    let mut profile_parser = terminated(items, (opt((multispace0, ",")), multispace0));
    let items = profile_parser.parse(text).map_err(|e| {
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
    let mut profile = LoadProfile::default();
    let mut last_rate = 0.0;
    append_items(&items, None, &mut profile, &mut last_rate)
        .map_err(|e| error(0, e.to_string()))?;
    Ok(profile)
}

/// Appends items to a profile and expands repeats. `last_rate` is the rate that `hold`, `rise` and `fall` continue
/// from.
fn append_items(
    items: &[Item],
    group_name: Option<&str>,
    profile: &mut LoadProfile,
    last_rate: &mut f64,
) -> Result<(), LimitExceeded> {
    for item in items {
        match item {
            Item::Repeat(name, count, items) => {
                for _ in 0..*count {
                    append_items(items, name.as_deref().or(group_name), profile, last_rate)?;
                }
            }
            Item::Phase(name, spec) => {
                let name = name.as_deref().or(group_name);
                append_phase(name, *spec, profile, last_rate)?;
            }
        }
    }
    Ok(())
}

fn append_phase(
    name: Option<&str>,
    spec: PhaseSpec,
    profile: &mut LoadProfile,
    last_rate: &mut f64,
) -> Result<(), LimitExceeded> {
    let (curve, length, kind) = match spec {
        PhaseSpec::Level(rate, length) => (RateCurve::Constant(rate), length, "level"),
        PhaseSpec::To(rate, length) => {
            let kind = if rate >= *last_rate { "rise" } else { "fall" };
            (RateCurve::Linear(*last_rate, rate), length, kind)
        }
        PhaseSpec::Hold(length) => (RateCurve::Constant(*last_rate), length, "hold"),
        PhaseSpec::Wave(low, high, every, length) => {
            (RateCurve::Sine(low, high, every), length, "wave")
        }
        PhaseSpec::Burst(count, length) => {
            let rate = count * SECOND / length as f64;
            (RateCurve::Constant(rate), length, "burst")
        }
        PhaseSpec::Silence(length) => (RateCurve::Constant(0.0), length, "silence"),
    };
    let phase = Phase {
        name: name.unwrap_or(kind).to_string(),
        start: profile.length(),
        length,
        curve,
    };
    if !matches!(spec, PhaseSpec::Burst(..)) {
        *last_rate = phase.rate(length);
    }
    if phase.max_rate() > MAX_RATE {
        return Err(LimitExceeded::Rate);
    }
    profile.phases.push(phase);
    if profile.phases.len() > MAX_PHASES || profile.length() > MAX_LENGTH {
        return Err(LimitExceeded::PhasesOrLength);
    }
    Ok(())
}
