//! Tests that the plans in the repository are valid.

#[test]
fn every_plan_of_the_repository_is_valid() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../plans");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).expect("plans folder") {
        let path = entry.expect("folder entry").path();
        let plan = load_test::plan::Plan::load(&path).unwrap_or_else(|e| panic!("{e}"));
        assert!(plan.load_profile().length() > 0);
        count += 1;
    }
    assert!(count >= 5);
}
