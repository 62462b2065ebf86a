//! Tests of parsing and validating plans.

use super::*;
use emulator::event_log::Peer;
use std::time::Duration;

#[test]
fn empty_plan_is_the_default_and_round_trips_through_toml() {
    let plan = Plan::parse("").expect("valid plan");
    assert_eq!(plan, Plan::default());
    let text = toml::to_string(&plan).expect("plan as TOML");
    assert_eq!(Plan::parse(&text).expect("valid plan"), plan);
}

#[test]
fn earlier_plans_with_owners_are_still_read() {
    let plan =
        |table: &str| Plan::parse(&format!("[{table}]\nspread = \"blind\"\ndrain = \"6s\"\n"));
    let named = plan("clients").expect("valid plan");
    assert_eq!(named.clients.drain_time, Duration::from_secs(6));
    assert_eq!(
        plan("owners").expect("plan with the former table name"),
        named
    );
    let both = Plan::parse("[clients]\ndrain = \"6s\"\n[owners]\ndrain = \"6s\"\n")
        .expect_err("both table names");
    assert!(both.to_string().contains("duplicate field"), "{both}");
}

#[test]
fn invalid_values_are_reported_with_their_field() {
    for (text, message) in [
        ("sead = 1", "unknown field `sead`"),
        ("[hosts]\nlook = 5", "invalid type: integer"),
        ("[hosts]\nlook = \"soon\"", "expected a duration"),
        (
            "[arrivals]\nshape = \"8/s for\"",
            "arrivals.shape: line 1, column 8",
        ),
        (
            "[placers]\ncount = 0",
            "placers.count: expected 1 to 64, found 0",
        ),
        ("[[class]]\nsizes = [[99, 1]]", "a size fits on no host"),
        ("[[class]]\nname = \"a\"", "aims.class: no class pagina"),
        (
            "[[fault]]\nat = \"1s\"\nkind = \"placer-kill\"\nwhich = 3",
            "fault 0: which: there are 3, counted from 0, found 3",
        ),
        (
            "[[fault]]\nat = \"1s\"\nkind = \"flood\"",
            "unknown variant",
        ),
        ("[clients]\nspread = \"agent\"", "must open an agent check"),
        (
            "[arrivals]\nprocess = { kind = \"gamma\", cv = 0 }",
            "cv: expected 0.05 to 10",
        ),
    ] {
        let error = Plan::parse(text).expect_err(text).to_string();
        assert!(error.contains(message), "{text}: {error}");
    }
    let all_errors = Plan::parse("[placers]\ncount = 0\n[hosts]\ncount = 0\n")
        .expect_err("invalid plan")
        .to_string();
    assert_eq!(
        all_errors.lines().count(),
        2,
        "all invalid fields are reported: {all_errors}"
    );
}

fn plan_with_faults(faults: &str) -> Result<Plan, String> {
    let text = format!(
        "rooms = [\"a\", \"b\"]\n[placers]\ncount = 3\n[hosts]\ncount = 5\nrack = 2\n{faults}"
    );
    Plan::parse(&text).map_err(|e| e.to_string())
}

fn link(kind: &str, from: &str, to: &str) -> String {
    format!(
        "[[fault]]\nat = \"1s\"\nlength = \"1s\"\nkind = \"{kind}\"\nfrom = \"{from}\"\nto = \"{to}\"\n"
    )
}

#[test]
fn parties_name_the_links_between_them_in_either_order() {
    let hosts = |placer, slots: &[usize]| {
        slots
            .iter()
            .map(|slot| (placer, Peer::Host(*slot)))
            .collect::<Vec<_>>()
    };
    for (from, to, links) in [
        ("placers 1", "hosts 0..2", hosts(1, &[0, 1])),
        ("hosts 0..2", "placers 1", hosts(1, &[0, 1])),
        ("racks 2", "placers 0", hosts(0, &[4])),
        (
            "clients",
            "placers 0..2",
            vec![(0, Peer::Clients), (1, Peer::Clients)],
        ),
        // Earlier plans name clients `owners`.
        (
            "owners",
            "placers 0..2",
            vec![(0, Peer::Clients), (1, Peer::Clients)],
        ),
        ("placers", "feeds 2", vec![(2, Peer::Feed)]),
        // A zone stands for its hosts and its placers.
        (
            "rooms 0",
            "rooms 1",
            [hosts(0, &[1, 3]), hosts(1, &[0, 2, 4]), hosts(2, &[1, 3])].concat(),
        ),
        (
            "clients, feeds",
            "placers 2",
            vec![(2, Peer::Clients), (2, Peer::Feed)],
        ),
    ] {
        let plan = plan_with_faults(&link("link-cut", from, to)).expect(from);
        let found = affected_links(&plan, &plan.faults[0]).expect(from);
        let links = links
            .into_iter()
            .map(|(placer, peer)| Link { placer, peer });
        assert_eq!(found, links.collect(), "{from} to {to}");
    }
}

#[test]
fn invalid_link_faults_are_reported_with_their_field() {
    for (faults, message) in [
        (
            link("link-cut", "placer 0", "hosts"),
            "expected one of clients, placers",
        ),
        (
            link("link-cut", "placers 0 1", "hosts"),
            "expected one number or range",
        ),
        (
            link("link-cut", "placers 3..2", "hosts"),
            "expected a range",
        ),
        (
            link("link-cut", "placers 3", "hosts"),
            "from: there are 3 placers, counted from 0, found 3",
        ),
        (
            link("link-cut", "placers", "racks 3"),
            "to: there are 3 racks",
        ),
        (
            link("link-cut", "clients", "hosts"),
            "no party of \"clients\" connects to one of \"hosts\"",
        ),
        (
            link("link-slow", "clients", "placers"),
            "by: expected the delay",
        ),
        (
            link("placer-stop", "clients", "placers"),
            "from, to, by: only faults of links",
        ),
        (
            "[[fault]]\nat = \"1s\"\nkind = \"link-cut\"\n".into(),
            "from, to: expected parties",
        ),
        (
            link("link-cut", "clients", "placers") + "which = 1\n",
            "which: links are named by from and to",
        ),
        (
            link("link-cut", "placers", "feeds")
                + "[[fault]]\nat = \"1s\"\nkind = \"feed-moved\"\n",
            "link faults of feeds cannot be combined with feed-moved",
        ),
    ] {
        let error = plan_with_faults(&faults).expect_err(&faults);
        assert!(error.contains(message), "{faults}: {error}");
    }
}
