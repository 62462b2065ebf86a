//! Tests of `descriptors`.

use super::*;

#[test]
fn clients_keep_their_third_whatever_the_fleet_and_nothing_is_shared_out_twice() {
    for sockets in [FEWEST_SOCKETS, 64, 256, 784, 1_024, 65_536] {
        for listed in [0, 1, 14, 60, 400, 1_024] {
            let shares = Shares::of(sockets, 0, listed);
            let third = sockets.div_ceil(3).min(sockets - OWN - FEWEST);
            assert!(shares.clients >= third, "{sockets} {listed}: {shares:?}");
            assert!(shares.hosts >= FEWEST, "{sockets} {listed}: {shares:?}");
            assert_eq!(
                OWN + shares.clients + shares.hosts,
                sockets,
                "{sockets} {listed}"
            );
        }
    }
}

#[test]
fn what_a_small_fleet_cannot_need_is_left_to_clients() {
    assert_eq!(
        Shares::of(1_024, 0, 14),
        Shares {
            clients: 958,
            hosts: 42
        }
    );
    assert_eq!(
        Shares::of(1_024, 10, 14),
        Shares {
            clients: 948,
            hosts: 42
        }
    );
    assert_eq!(
        Shares::of(784, 0, 400),
        Shares {
            clients: 270,
            hosts: 490
        }
    );
    // Too few for anything: nobody is told that there are none at all.
    assert_eq!(
        Shares::of(8, 0, 400),
        Shares {
            clients: 4,
            hosts: 4
        }
    );
}
