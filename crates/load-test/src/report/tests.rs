//! Tests of reports.

use super::*;
use crate::load_profile::{LoadProfile, Micros};
use crate::results::summarize;
use crate::results::tests::simulated_outcome;

#[test]
fn page_is_self_contained_with_plots_and_plan() {
    let outcome = simulated_outcome("20/s for 5s, rise to 60/s over 5s", 3, |n| {
        (n % 50 != 0).then_some(n as Micros * 100 + 1)
    });
    let page = html(&outcome, &summarize(&outcome)).expect("a page");
    assert_eq!(page.matches("<svg").count(), 3, "there are no load samples");
    for words in ["class pagina", "shape = ", "offered and started"] {
        assert!(page.contains(words), "{words}");
    }
    for outside in ["src=", "href=", "@import", "url("] {
        assert!(!page.contains(outside), "{outside}");
    }
    let late = {
        let mut late = outcome.clone();
        late.lateness.record(1_000_000).expect("in range");
        late
    };
    let page = html(&late, &summarize(&late)).expect("a page");
    assert_eq!(
        page.matches("<svg").count(),
        1,
        "no percentiles of a late generator"
    );
}

#[test]
fn load_profile_is_drawn_as_text_and_as_svg() {
    let profile = crate::load_profile::parse("10/s for 10s, peak: burst 100 in 100ms, silence 10s")
        .expect("a shape");
    let text = profile_text(&profile);
    assert_eq!(text.lines().count(), 8 + 1 + 3, "{text}");
    let top = text.lines().next().expect("a line");
    assert!(
        top.contains("1000.0/s") && top.contains('█'),
        "the burst shows: {top}"
    );
    assert!(profile_svg(&profile).expect("a plot").contains("<svg"));
    assert!(
        profile_svg(&LoadProfile::default()).is_ok(),
        "an empty profile has a plot"
    );
}
