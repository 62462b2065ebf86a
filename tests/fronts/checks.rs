//! Tests of the agent checks and the HTTP checks.

use super::*;

#[test]
#[expect(clippy::too_many_lines, reason = "one scenario, step by step")]
fn agent_and_http_checks_follow_the_state_from_start_to_drain_and_back() {
    let mut deployment = start("");
    wait_for("the placer is up", || {
        agent(deployment.agent)
            .starts_with("up ready 100%")
            .then_some(())
    });
    assert!(get(deployment.http, "/readyz").starts_with("HTTP/1.1 200"));
    assert!(get(deployment.http, "/startupz").starts_with("HTTP/1.1 200"));
    let health = get(deployment.http, "/health");
    assert!(
        health.contains("\"status\":\"pass\"") && health.contains("application/health+json"),
        "{health}"
    );
    let mut client = deployment.program.client();
    assert!(client.health_check());
    let (done, output) = ctl(&deployment.socket, &["drain"]);
    assert!(done && output.starts_with("drain"), "{output}");
    assert_eq!(
        agent(deployment.agent),
        "up drain # finishing what was taken\n"
    );
    let ready = get(deployment.http, "/readyz");
    assert!(
        ready.starts_with("HTTP/1.1 503")
            && ready.contains("x-envoy-immediate-health-check-fail: true")
    );
    assert!(
        get(deployment.http, "/livez").starts_with("HTTP/1.1 200"),
        "a draining placer stays alive, so that it is not killed"
    );
    assert!(!client.health_check(), "health checks of clients fail, too");
    // Tasks of requests that arrive during the drain are still placed.
    client.request_task(1, &IDEMPOTENT_TASK);
    assert_eq!(deployment.connections[0].expect_offer(), hex(1));
    deployment.connections[0].report_running(&hex(1));
    assert_eq!(client.expect_message().kind, 9);
    assert!(ctl(&deployment.socket, &["ready"]).0);
    assert!(
        agent(deployment.agent).starts_with("up ready "),
        "the `ready` command cancels the drain"
    );
    assert!(client.health_check());
    assert!(ctl(&deployment.socket, &["maint"]).0);
    assert_eq!(agent(deployment.agent), "maint # by order\n");
    assert!(ctl(&deployment.socket, &["ready"]).0);
    let (done, state) = ctl(&deployment.socket, &["state", "--json"]);
    let value =
        simd_json::to_owned_value(&mut state.clone().into_bytes()).expect("the state is not JSON");
    assert!(done && value.get_u64("v") == Some(1), "{state}");
    let signals = value
        .get_array("signals")
        .expect("the state has no signals");
    assert_eq!(signals.len(), 10);
    let history: Vec<&str> = value
        .get_array("history")
        .expect("the state has no history")
        .iter()
        .filter_map(|t| t.get_str("reason"))
        .collect();
    assert!(
        history.ends_with(&["told-drain", "told-ready", "told-maint", "told-ready"]),
        "{history:?}"
    );
    assert!(
        deployment.program.is_running() && deployment.feed.address() != deployment.hosts[0].name
    );
}

#[test]
fn http_checks_support_keep_alive_and_pipelining_and_reject_ambiguous_requests() {
    let deployment = start("");
    let two = "GET /livez HTTP/1.1\r\nHost: t\r\n\r\nHEAD /nowhere HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n";
    let answers = exchange(deployment.http, two.as_bytes());
    assert_eq!(answers.matches("HTTP/1.1 ").count(), 2, "{answers}");
    assert!(
        answers.contains("HTTP/1.1 200")
            && answers.contains("HTTP/1.1 404")
            && answers.ends_with("\r\n\r\n")
    );
    for (bytes, status) in [
        (
            "GET /livez HTTP/1.1\r\nHost: t\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            501,
        ),
        (
            "GET /livez HTTP/1.1\r\nHost: t\r\nContent-Length: 44\r\n\r\nGET /readyz HTTP/1.1\r\nHost: t\r\n\r\n",
            413,
        ),
        ("GET /livez HTTP/1.1\nHost: t\n\n", 400),
        ("\x16\x03\x01\x00\u{1}", 400),
        ("DELETE /health HTTP/1.1\r\nHost: t\r\n\r\n", 405),
    ] {
        let answer = exchange(deployment.http, bytes.as_bytes());
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status} ")),
            "{bytes:?}: {answer}"
        );
        assert_eq!(
            answer.matches("HTTP/1.1 ").count(),
            1,
            "the remaining bytes are not parsed as a request: {answer}"
        );
    }
    let endless = format!(
        "GET /livez HTTP/1.1\r\nHost: t\r\n{}",
        "X: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n".repeat(400)
    );
    assert!(exchange(deployment.http, endless.as_bytes()).contains("431"));
    // A client that never completes its request is disconnected.
    let mut slow = TcpStream::connect(deployment.http).expect("cannot connect");
    slow.write_all(b"GET /livez HT")
        .expect("cannot write to the placer");
    slow.set_read_timeout(Some(10 * SECOND))
        .expect("cannot set the read timeout");
    assert_eq!(
        slow.read(&mut [0; 16]).unwrap_or(0),
        0,
        "closed without a response"
    );
    deployment.program.wait_for_log("reason=timeout");
}

#[test]
fn agent_check_accepts_one_short_line_or_nothing() {
    let deployment = start("");
    for line in ["", "front/p1\n", "front/p1\r\n"] {
        let answer = query_agent(deployment.agent, line, 5 * SECOND).unwrap_or_default();
        assert!(answer.starts_with("up ready "), "{line:?}: {answer:?}");
    }
    for bad in [&[0xff, b'\n'][..], &[b'x'; 600]] {
        let mut stream = TcpStream::connect(deployment.agent).expect("cannot connect");
        stream
            .set_read_timeout(Some(5 * SECOND))
            .expect("cannot set the read timeout");
        stream.write_all(bad).expect("cannot write to the placer");
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer);
        assert!(answer.is_empty(), "{bad:?}");
    }
    deployment.program.wait_for_log("reason=malformed");
}

#[test]
fn silent_pollers_take_no_client_descriptors_and_delay_no_placement() {
    let mut deployment = start("");
    let before = deployment.program.descriptors();
    let silent: Vec<TcpStream> = (0..500)
        .map(|n| {
            TcpStream::connect(if n % 2 == 0 {
                deployment.agent
            } else {
                deployment.http
            })
            .expect("cannot connect")
        })
        .collect();
    // Complete polls are still answered, and tasks are still placed.
    assert!(agent(deployment.agent).starts_with("up "));
    let held = deployment.program.descriptors();
    assert!(held <= before + 40, "{before} to {held}");
    let mut client = deployment.program.client();
    let started = Instant::now();
    client.request_task(1, &IDEMPOTENT_TASK);
    assert_eq!(deployment.connections[0].expect_offer(), hex(1));
    deployment.connections[0].report_running(&hex(1));
    assert_eq!(client.expect_message().kind, 9);
    assert!(started.elapsed() < SECOND, "{:?}", started.elapsed());
    deployment.program.wait_for_log("reason=evicted");
    drop(silent);
}
