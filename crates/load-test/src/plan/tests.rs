//! Tests of plans.

use super::*;

#[test]
fn an_empty_plan_is_the_default_and_survives_the_way_through_toml() {
    let plan = Plan::parse("").expect("a plan");
    assert_eq!(plan, Plan::default());
    let text = toml::to_string(&plan).expect("text");
    assert_eq!(Plan::parse(&text).expect("a plan"), plan);
}

#[test]
fn plans_that_call_clients_owners_are_read_as_before() {
    let plan =
        |table: &str| Plan::parse(&format!("[{table}]\nspread = \"blind\"\ndrain = \"6s\"\n"));
    let named = plan("clients").expect("a plan");
    assert_eq!(named.clients.drain, Duration::from_secs(6));
    assert_eq!(plan("owners").expect("the table's former name"), named);
    let both =
        Plan::parse("[clients]\ndrain = \"6s\"\n[owners]\ndrain = \"6s\"\n").expect_err("both");
    assert!(both.to_string().contains("duplicate field"), "{both}");
}

#[test]
fn what_can_not_be_meant_is_named() {
    for (text, says) in [
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
        ("[[class]]\nsizes = [[99, 1]]", "one fits no host"),
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
        assert!(error.contains(says), "{text}: {error}");
    }
    let many = Plan::parse("[placers]\ncount = 0\n[hosts]\ncount = 0\n")
        .expect_err("bad")
        .to_string();
    assert_eq!(many.lines().count(), 2, "all at once: {many}");
}
