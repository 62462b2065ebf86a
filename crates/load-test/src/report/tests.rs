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
    let page = html(&outcome, &summarize(&outcome)).expect("report page");
    assert_eq!(
        page.matches("<svg").count(),
        3,
        "no plot of host load without load samples"
    );
    for text in ["class pagina", "shape = ", "tasks due and started"] {
        assert!(page.contains(text), "{text}");
    }
    for external in ["src=", "href=", "@import", "url("] {
        assert!(!page.contains(external), "{external}");
    }
    let late = {
        let mut late = outcome.clone();
        late.lateness.record(1_000_000).expect("lateness in range");
        late
    };
    let page = html(&late, &summarize(&late)).expect("report page");
    assert_eq!(
        page.matches("<svg").count(),
        1,
        "no latency plots if the generator was late"
    );
}

#[test]
fn load_profile_is_drawn_as_text_and_as_svg() {
    let profile = crate::load_profile::parse("10/s for 10s, peak: burst 100 in 100ms, silence 10s")
        .expect("valid profile");
    let text = profile_text(&profile);
    assert_eq!(text.lines().count(), 8 + 1 + 3, "{text}");
    let top = text.lines().next().expect("first line");
    assert!(
        top.contains("1000.0/s") && top.contains('█'),
        "the burst is visible: {top}"
    );
    assert!(profile_svg(&profile).expect("plot drawn").contains("<svg"));
    assert!(
        profile_svg(&LoadProfile::default()).is_ok(),
        "an empty profile can be drawn"
    );
}
