//! Tests of the schedule of faults.

use super::*;

#[test]
fn faults_become_actions_in_the_order_of_their_times() {
    let text = "[hosts]\ncount = 5\nrack = 2\n\
                [[fault]]\nat = \"3s\"\nlength = \"2s\"\nkind = \"rack-die\"\nwhich = 2\n\
                [[fault]]\nat = \"1s\"\nlength = \"3s\"\nkind = \"placer-stop\"\nwhich = 1\n\
                [[fault]]\nat = \"2s\"\nkind = \"placer-kill\"\n\
                [[fault]]\nat = \"2s\"\nlength = \"9s\"\nkind = \"feed-moved\"\n";
    let plan = Plan::parse(text).expect("valid plan");
    let actions: Vec<(Micros, Action)> = schedule(&plan)
        .into_iter()
        .map(|(at, action)| (at / 1_000, action))
        .collect();
    let expected = [
        (1_000, Action::Pause(1)),
        (2_000, Action::Kill(0)),
        (2_000, Action::MoveFeed(0)),
        (3_000, Action::Cluster(ClusterCommand::KillHost(4))),
        (4_000, Action::Resume(1)),
        (5_000, Action::Cluster(ClusterCommand::StartHost(4))),
    ];
    assert_eq!(actions, expected, "the last rack has one host");
}
