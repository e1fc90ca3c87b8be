//! Causes of failed requests from lines of logs.

use bbv_ctl::story::{Line, tell};

/// Cause of request `id` from the lines of one log.
fn cause(id: &str, text: &str) -> String {
    let lines: Vec<Line> = text.lines().filter_map(|line| Line::parse("a", line)).collect();
    tell(id, &lines).expect("a line names it").cause
}

#[test]
fn refusals_without_a_send_tell_whether_an_upstream_was_known() {
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

/// The upstream that runs `x` calls another service; its attempt ids begin with that of `x`.
#[test]
fn failure_of_an_upstream_is_followed_to_the_call_that_failed_it() {
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
