//! Tests of `process_group.rs`.

use super::*;

#[test]
fn an_upgrade_shares_out_at_once_and_is_whole_again_once_nothing_of_the_other_counts() {
    let (mut old, mut new) = (Company::new(1_000), Company::new(1_000));
    assert_eq!(
        (new.met(true), old.met(false)),
        (Share { of: 2, me: 1 }, Share { of: 2, me: 0 })
    );
    assert_eq!((old.look(500), new.look(500)), (None, None));
    new.left(600);
    assert_eq!(
        (new.others(), new.look(1_599)),
        (0, None),
        "what the old one offered still counts"
    );
    assert_eq!(
        (new.look(1_600), new.look(1_601)),
        (Some(Share::WHOLE), None),
        "told once"
    );
    // The next upgrade: this one is the first now, also where it comes before the share has grown.
    assert_eq!(new.met(false), Share { of: 2, me: 0 });
    new.left(2_000);
    assert_eq!(new.met(false), Share { of: 2, me: 0 });
    assert_eq!(new.look(9_000), None, "one is there");
}

#[test]
fn numbers_are_always_among_those_that_count() {
    let mut company = Company::new(10);
    for n in 0..40_i64 {
        match n % 5 {
            0 | 3 => drop(company.met(n % 2 == 0)),
            1 | 4 => company.left(n * 7),
            _ => drop(company.look(n * 7)),
        }
        let Share { of, me } = company.share;
        assert!(me < of && of > company.others(), "{company:?}");
    }
}
