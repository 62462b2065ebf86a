//! Tests of splitting received bytes into lines.

use super::*;

#[test]
fn lines_are_cut_at_line_feeds_and_bounded() {
    let mut inbox = b"one\n\ntwo".to_vec();
    assert_eq!(next_line(&mut inbox, 8), Ok(Some(b"one".to_vec())));
    assert_eq!(next_line(&mut inbox, 8), Ok(Some(Vec::new())));
    assert_eq!(next_line(&mut inbox, 8), Ok(None));
    assert_eq!(inbox, b"two");
    assert_eq!(next_line(&mut vec![b'x'; 8], 8), Err(Malformed::TooLong));
    assert_eq!(
        next_line(&mut b"12345678\n".to_vec(), 8),
        Err(Malformed::TooLong)
    );
}
