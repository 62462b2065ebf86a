//! Tests of the start, of the check of the settings, and of the control socket.

use super::*;

#[test]
fn start_fails_naming_the_field_of_an_address_in_use_or_given_twice() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("cannot bind a free port");
    let address = taken.local_addr().expect("the listener has no address");
    let feed = Feed::new();
    let config = single_placer_config(&feed, vec![]);
    for (operator, message) in [
        (
            format!("[health]\nagent = [\"{address}\"]\n"),
            "health.agent: can't listen at",
        ),
        (
            format!("[health]\nhttp = [\"{address}\"]\n"),
            "health.http: can't listen at",
        ),
        (
            "[ctl]\nsocket = \"/nowhere/at/all.sock\"\n".to_string(),
            "ctl.socket: /nowhere/at/all.sock",
        ),
        (
            "[health]\nagents = 1\n".to_string(),
            "toml:2:1: health.agents: unknown key, did you mean agent?",
        ),
        (
            format!(
                "[health]\nagent = [\"{}\"]\n",
                config
                    .get_str("listen")
                    .expect("the configuration has no listen address")
            ),
            "is the address for clients (listen)",
        ),
    ] {
        let out = Launch::new(&config).operator_file(&operator).output();
        let output = String::from_utf8(out.stderr).expect("the output is not UTF-8");
        assert!(
            !out.status.success() && output.contains(message),
            "{operator}: {output}"
        );
    }
}

#[test]
fn check_prints_effective_settings_with_their_source_or_all_errors() {
    let feed = Feed::new();
    let good = single_placer_config(&feed, vec![]);
    let out = Launch::new(&good)
        .operator_file("[drain]\nenabled = true\nnotice = \"3s\"\n")
        .args(&["check"])
        .output();
    let output = String::from_utf8(out.stdout).expect("the output is not UTF-8");
    assert!(out.status.success(), "{output}");
    for line in [
        "limits.sockets = 1024  # ",
        "drain.settle = \"500ms\"  # default",
    ] {
        assert!(output.contains(line), "{line}: {output}");
    }
    assert!(
        output
            .lines()
            .any(|l| l.starts_with("drain.notice = \"3s\"  # ") && l.ends_with("toml:3")),
        "{output}"
    );
    let bad = "[drain]\nnotice = 5\nsettel = \"1s\"\n[log]\nlevel = \"loud\"\n";
    let out = Launch::from_text("{}")
        .operator_file(bad)
        .args(&["check"])
        .output();
    let output = String::from_utf8(out.stderr).expect("the output is not UTF-8");
    assert_eq!(out.status.code(), Some(2));
    assert_eq!(output.lines().count(), 4, "{output}");
    for words in [
        "settings: missing",
        "toml:2:10: drain.notice: expected a duration",
        "toml:3:1: drain.settel",
        "toml:5:9",
    ] {
        assert!(output.contains(words), "{words}: {output}");
    }
}

#[test]
fn control_socket_is_private_and_a_stale_one_is_replaced() {
    use std::os::unix::fs::PermissionsExt;
    let socket = temp_path("sock");
    // A killed process leaves its socket file.
    drop(std::os::unix::net::UnixListener::bind(&socket).expect("cannot bind the socket"));
    let feed = Feed::new();
    let operator = format!("[ctl]\nsocket = \"{}\"\n", socket.display());
    let mut program = Launch::new(&single_placer_config(&feed, vec![]))
        .operator_file(&operator)
        .start();
    drop(program.client());
    let mode = std::fs::metadata(&socket)
        .expect("the control socket does not exist")
        .permissions()
        .mode();
    assert_eq!(mode & 0o777, 0o600);
    // A second placer does not replace the socket of a running one.
    let out = Launch::new(&single_placer_config(&feed, vec![]))
        .operator_file(&operator)
        .output();
    assert!(String::from_utf8_lossy(&out.stderr).contains("another process is listening there"));
    assert!(ctl(&socket, &["state"]).0);
    // An invalid command gets an error as its reply, and the connection stays open.
    let mut stream = UnixStream::connect(&socket).expect("cannot connect");
    stream
        .write_all(b"{\"v\":9}\nnonsense\n{\"v\":1,\"do\":\"state\"}\n")
        .expect("cannot write to the placer");
    stream
        .shutdown(std::net::Shutdown::Write)
        .expect("cannot shut down the writing side");
    let mut answers = String::new();
    stream
        .read_to_string(&mut answers)
        .expect("the output is not UTF-8");
    let lines: Vec<&str> = answers.lines().collect();
    assert_eq!(lines.len(), 3, "{answers}");
    assert!(
        lines[0].contains("version 9")
            && lines[1].contains("not JSON")
            && lines[2].contains("\"ok\":true")
    );
    let mut stream = UnixStream::connect(&socket).expect("cannot connect");
    let _ = stream.write_all(&vec![b'x'; 10_000]);
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    assert!(
        answer.contains("longer than any order") || answer.is_empty(),
        "{answer}"
    );
    // Without a [drain] section SIGTERM ends the placer as it does without an operator's file, and the socket is
    // removed.
    program.terminate();
    assert_eq!(program.wait_exit().code(), Some(0));
    assert!(!socket.exists());
}
