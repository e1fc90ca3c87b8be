//! Requests with heads of varying size and bodies of either framing.

use rand::Rng;
use rand::rngs::SmallRng;

/// Largest head that the published limits allow.
const MAX_HEAD_BYTES: usize = 16_384;
/// Largest number of header fields of a request.
const MAX_FIELDS: usize = 500;
/// Bytes of a header field that [`add_fields`] adds, with a value of one byte.
const FIELD_BYTES: usize = 16;
/// Largest body that the published limits allow.
const MAX_BODY_BYTES: usize = 65_536;
/// Largest body of most requests, since the stand-in upstreams keep all bodies.
const USUAL_BODY_BYTES: usize = 2_048;
/// Probability that a head has the largest size, and that a body has.
const MAX_PROBABILITY: f64 = 0.1;

/// Returns a proper request with the fields of `head`, which lacks the empty line, more fields up
/// to a size that is drawn, and a body of either framing if the request is a `POST`.
pub fn draw(rng: &mut SmallRng, mut head: String) -> String {
    let body = if head.starts_with("POST") { draw_body(rng) } else { String::new() };
    let fields = rng.random_range(0..=MAX_FIELDS - head.lines().count());
    let (framing, body) = if body.is_empty() {
        (String::new(), body)
    } else if rng.random() {
        (format!("Content-Length: {}\r\n", body.len()), body)
    } else {
        ("Transfer-Encoding: chunked\r\n".to_owned(), chunked(rng, &body))
    };
    head.push_str(&framing);
    let smallest = head.len() + 2 + fields * FIELD_BYTES;
    let size = if rng.random_bool(MAX_PROBABILITY) {
        MAX_HEAD_BYTES
    } else {
        rng.random_range(smallest..=MAX_HEAD_BYTES)
    };
    add_fields(&mut head, fields, size - 2);
    format!("{head}\r\n{body}")
}

fn draw_body(rng: &mut SmallRng) -> String {
    let largest = rng.random_bool(MAX_PROBABILITY);
    "b".repeat(if largest { MAX_BODY_BYTES } else { rng.random_range(1..=USUAL_BODY_BYTES) })
}

/// Returns `body` in chunks of sizes that are drawn.
fn chunked(rng: &mut SmallRng, body: &str) -> String {
    let mut text = String::new();
    let mut rest = body;
    while !rest.is_empty() {
        let (chunk, after) = rest.split_at(rng.random_range(1..=rest.len()));
        text.push_str(&format!("{:x}\r\n{chunk}\r\n", chunk.len()));
        rest = after;
    }
    text + "0\r\n\r\n"
}

/// Adds `count` fields to `head`, which has `size` bytes afterwards if `count` is not 0.
fn add_fields(head: &mut String, count: usize, size: usize) {
    for left in (1..=count).rev() {
        let value = (size - head.len()) / left - FIELD_BYTES + 1;
        head.push_str(&format!("X-Field-{left:03}: {}\r\n", "v".repeat(value)));
    }
}

/// Cuts `text` into pieces at places that are drawn.
pub fn cut<'a>(rng: &mut SmallRng, text: &'a str) -> Vec<&'a [u8]> {
    let mut pieces = Vec::new();
    let mut rest = text.as_bytes();
    for _ in 0..rng.random_range(1..=4) {
        let (piece, after) = rest.split_at(rng.random_range(0..rest.len()));
        pieces.push(piece);
        rest = after;
    }
    pieces.push(rest);
    pieces
}
