//! The plans that come with the project are good plans.

#[test]
fn every_plan_of_the_project_can_be_meant() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../plans");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).expect("the plans") {
        let path = entry.expect("a file").path();
        let plan = load_test::plan::Plan::load(&path).unwrap_or_else(|e| panic!("{e}"));
        assert!(plan.load_profile().length() > 0);
        count += 1;
    }
    assert!(count >= 5);
}
