//! Tests of `admin.rs`.

use super::*;

#[test]
fn calls_are_read_by_their_words_alone() {
    for (word, call) in Call::ALL {
        for line in [word.to_string(), format!("{word}\r"), format!(" {word} ")] {
            assert_eq!(Call::read(line.as_bytes()), Ok(call), "{line:?}");
        }
    }
    for line in [
        &b""[..],
        b"Check",
        b"check vars",
        b"drain",
        b"\xff\xfe",
        b"GET / HTTP/1.1",
    ] {
        assert!(Call::read(line).is_err(), "{line:?}");
    }
}

#[test]
fn replies_begin_with_ok_or_fail_and_figures_end_with_eof() {
    assert_eq!(reply(Ok(())), b"ok\n");
    assert_eq!(reply(Err("draining")), b"fail draining\n");
    assert_eq!(figures("{}"), b"{}\neof\n");
}
