//! Tests of the split of descriptors between clients and hosts.

use super::*;

#[test]
fn clients_keep_their_third_for_any_number_of_hosts_and_all_descriptors_are_used_once() {
    for total in [MIN_DESCRIPTORS, 64, 256, 784, 1_024, 65_536] {
        for listed_hosts in [0, 1, 14, 60, 400, 1_024] {
            let quotas = DescriptorQuotas::split(total, 0, listed_hosts);

            let third = total
                .div_ceil(3)
                .min(total - PROCESS_DESCRIPTORS - MIN_DESCRIPTORS_PER_SIDE);
            assert!(
                quotas.clients >= third,
                "{total} {listed_hosts}: {quotas:?}"
            );
            assert!(
                quotas.hosts >= MIN_DESCRIPTORS_PER_SIDE,
                "{total} {listed_hosts}: {quotas:?}"
            );
            assert_eq!(
                PROCESS_DESCRIPTORS + quotas.clients + quotas.hosts,
                total,
                "{total} {listed_hosts}"
            );
        }
    }
}

#[test]
fn descriptors_that_few_hosts_cannot_need_go_to_clients() {
    assert_eq!(
        DescriptorQuotas::split(1_024, 0, 14),
        DescriptorQuotas {
            clients: 958,
            hosts: 42
        }
    );
    assert_eq!(
        DescriptorQuotas::split(784, 0, 400),
        DescriptorQuotas {
            clients: 270,
            hosts: 490
        }
    );
}

#[test]
fn reserved_descriptors_are_taken_from_clients() {
    assert_eq!(
        DescriptorQuotas::split(1_024, 10, 14),
        DescriptorQuotas {
            clients: 948,
            hosts: 42
        }
    );
}

#[test]
fn with_too_few_descriptors_each_side_still_gets_the_minimum() {
    assert_eq!(
        DescriptorQuotas::split(8, 0, 400),
        DescriptorQuotas {
            clients: 4,
            hosts: 4
        }
    );
}
