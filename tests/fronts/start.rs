//! The start, the check of settings, and the control socket.

use super::*;

#[test]
fn start_fails_naming_the_field_of_an_address_in_use_or_given_twice() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = taken.local_addr().expect("an address");
    let feed = Feed::new();
    let config = single_placer_config(&feed, vec![]);
    for (operator, says) in [
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
                config.get_str("listen").expect("an address")
            ),
            "is the address for clients (listen)",
        ),
    ] {
        let out = Launch::new(&config).operator_file(&operator).output();
        let said = String::from_utf8(out.stderr).expect("text");
        assert!(
            !out.status.success() && said.contains(says),
            "{operator}: {said}"
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
    let said = String::from_utf8(out.stdout).expect("text");
    assert!(out.status.success(), "{said}");
    for line in [
        "limits.sockets = 1024  # ",
        "drain.settle = \"500ms\"  # default",
    ] {
        assert!(said.contains(line), "{line}: {said}");
    }
    assert!(
        said.lines()
            .any(|l| l.starts_with("drain.notice = \"3s\"  # ") && l.ends_with("toml:3")),
        "{said}"
    );
    let bad = "[drain]\nnotice = 5\nsettel = \"1s\"\n[log]\nlevel = \"loud\"\n";
    let out = Launch::from_text("{}")
        .operator_file(bad)
        .args(&["check"])
        .output();
    let said = String::from_utf8(out.stderr).expect("text");
    assert_eq!(out.status.code(), Some(2));
    assert_eq!(said.lines().count(), 4, "{said}");
    for words in [
        "settings: missing",
        "toml:2:10: drain.notice: expected a duration",
        "toml:3:1: drain.settel",
        "toml:5:9",
    ] {
        assert!(said.contains(words), "{words}: {said}");
    }
}

#[test]
fn control_socket_is_private_and_a_stale_one_is_replaced() {
    use std::os::unix::fs::PermissionsExt;
    let socket = temp_path("sock");
    // What a killed process leaves.
    drop(std::os::unix::net::UnixListener::bind(&socket).expect("a socket"));
    let feed = Feed::new();
    let operator = format!("[ctl]\nsocket = \"{}\"\n", socket.display());
    let mut program = Launch::new(&single_placer_config(&feed, vec![]))
        .operator_file(&operator)
        .start();
    drop(program.client());
    let mode = std::fs::metadata(&socket)
        .expect("a socket")
        .permissions()
        .mode();
    assert_eq!(mode & 0o777, 0o600);
    // A second placer does not take it away.
    let out = Launch::new(&single_placer_config(&feed, vec![]))
        .operator_file(&operator)
        .output();
    assert!(String::from_utf8_lossy(&out.stderr).contains("another process answers there"));
    assert!(ctl(&socket, &["state"]).0);
    // What is no order is answered with what is wrong, and the connection goes on.
    let mut stream = UnixStream::connect(&socket).expect("a listener");
    stream
        .write_all(b"{\"v\":9}\nnonsense\n{\"v\":1,\"do\":\"state\"}\n")
        .expect("the peer reads");
    stream
        .shutdown(std::net::Shutdown::Write)
        .expect("a socket");
    let mut answers = String::new();
    stream.read_to_string(&mut answers).expect("text");
    let lines: Vec<&str> = answers.lines().collect();
    assert_eq!(lines.len(), 3, "{answers}");
    assert!(
        lines[0].contains("version 9")
            && lines[1].contains("not JSON")
            && lines[2].contains("\"ok\":true")
    );
    let mut stream = UnixStream::connect(&socket).expect("a listener");
    let _ = stream.write_all(&vec![b'x'; 10_000]);
    let mut answer = String::new();
    let _ = stream.read_to_string(&mut answer);
    assert!(
        answer.contains("longer than any order") || answer.is_empty(),
        "{answer}"
    );
    // Without [drain] SIGTERM ends it as without a file, and the socket goes with it.
    program.terminate();
    assert_eq!(program.wait_exit().code(), Some(0));
    assert!(!socket.exists());
}
