//! Tests for the causes of failed requests that are derived from log lines.

use bbv_ctl::explain::{LogLine, explain};

/// Returns the cause of request `id` according to one log.
fn cause(id: &str, text: &str) -> String {
    let lines: Vec<LogLine> = text.lines().filter_map(|line| LogLine::parse("a", line)).collect();
    explain(id, &lines).expect("a line has the id").cause
}

#[test]
fn cause_without_gate_line_depends_on_sends_and_known_upstreams() {
    let cases = [
        ("sends=0 known=0", "refused: the node knew no upstream of its service"),
        ("sends=3 known=5", "refused: 3 gates refused it, and their lines were left out"),
        ("sends=0 known=5", "refused: no upstream of its service could be chosen"),
    ];
    for (keys, expected) in cases {
        let line = format!("event=call ts_ms=5 id=x ended=no-room status=503 {keys}");
        assert_eq!(cause("x", &line), expected);
    }
}

/// The upstream that runs `x` calls another service; the ids of these calls start with `x.`.
#[test]
fn upstream_error_is_traced_to_its_failed_nested_call() {
    let text = "event=call ts_ms=4 id=x.1 ended=answered status=200 sends=1 known=3\n\
                event=call ts_ms=5 id=x.2 ended=no-room status=503 sends=0 known=0\n\
                event=call ts_ms=6 id=xy.3 ended=no-route status=404 sends=0 known=0\n\
                event=call ts_ms=7 id=x ended=answered status=500 sends=1 known=7\n";
    assert_eq!(
        cause("x", text),
        "the upstream answered with status 500; its call x.2 failed: \
         refused: the node knew no upstream of its service"
    );
}

#[test]
fn answer_without_a_route_or_a_signature_is_told_apart() {
    let unrouted = "event=call-unrouted ts_ms=4 id=x host=a.example path=/new/1 version=3\n\
                    event=call ts_ms=4 id=x ended=no-route status=404\n";
    assert_eq!(cause("x", unrouted), "no route matched its host and path (a.example/new/1)");
    let unsigned = "event=call ts_ms=4 id=x ended=answered status=404 signed=false\n";
    let expected = "the upstream answered with status 404, without an upstream's signature";
    assert_eq!(cause("x", unsigned), expected);
}
