//! Tests of the path of the peer socket.

use super::*;

#[test]
fn processes_of_earlier_versions_are_met_at_the_same_path() {
    let path = peer_socket_path("lb-1 a/b");

    assert_eq!(path, env::temp_dir().join("anisehead-lb-1_a_b.sock"));
}
