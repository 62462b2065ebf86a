//! Tests of the admin protocol.

use super::*;

#[test]
fn a_command_is_parsed_with_or_without_surrounding_white_space() {
    for (name, command) in AdminCommand::ALL {
        for line in [name.to_string(), format!("{name}\r"), format!(" {name} ")] {
            assert_eq!(
                AdminCommand::parse(line.as_bytes()),
                Ok(command),
                "{line:?}"
            );
        }
    }
}

#[test]
fn anything_but_a_command_name_is_rejected() {
    for line in [
        &b""[..],
        b"Check",
        b"check vars",
        b"drain",
        b"\xff\xfe",
        b"GET / HTTP/1.1",
    ] {
        assert!(AdminCommand::parse(line).is_err(), "{line:?}");
    }
}

#[test]
fn a_reply_begins_with_ok_or_fail() {
    assert_eq!(encode_reply(Ok(())), b"ok\n");

    for (error, reply) in [
        (AdminError::NotText, "fail not text\n"),
        (
            AdminError::UnknownCommand,
            "fail unknown call: known are check, vars, drain-on, drain-off\n",
        ),
        (AdminError::TooLong, "fail longer than any call\n"),
        (AdminError::NotServing, "fail takes no requests\n"),
        (AdminError::ShuttingDown, "fail the process ends\n"),
    ] {
        assert_eq!(encode_reply(Err(error)), reply.as_bytes());
    }
}

#[test]
fn the_vars_reply_ends_with_eof() {
    assert_eq!(encode_vars_reply("{}"), b"{}\neof\n");
}
