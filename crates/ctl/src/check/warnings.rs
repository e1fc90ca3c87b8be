//! Warnings: what the operator of a configuration may not have meant.

use std::collections::BTreeSet;

use bbv_core::organisation::{Organisation, Quota};
use bbv_core::route::{CallerLimits, Route};
use bbv_platform::Draft;

use crate::check::{Finding, format};

/// Characters besides letters and digits that the host of a URI may hold, without those of a port or
/// an address of IPv6, which nodes cut off at the colon (RFC 3986, section 3.2.2).
const HOST_MARKS: &str = "-._~!$&'()*+,;=%";
/// Characters besides letters and digits that the path of a URI may hold (RFC 3986, section 3.3).
const PATH_MARKS: &str = "/-._~!$&'()*+,;=%:@";
/// Rate in requests per second below which a quota without a burst refuses most callers.
const SLOW_RATE: f64 = 1.0;

/// Returns what the operator of a configuration may not have meant.
///
/// ```
/// let text = r#"{"version":1,"resources":[]}"#;
/// let draft = bbv_platform::Draft::decode(text).expect("the text is valid");
/// assert!(bbv_ctl::check::warnings(&draft).is_empty());
/// ```
pub fn warnings(draft: &Draft) -> Vec<Finding> {
    let mut findings = unused(draft);
    for route in &draft.routes {
        let subject = format!("route {}", route.name);
        let messages = unreachable(route)
            .into_iter()
            .chain(parts(route))
            .chain(target(route))
            .chain(homeless(route, &draft.organisations));
        findings.extend(messages.map(|message| Finding::new(&subject, message)));
    }
    for organisation in &draft.organisations {
        let subject = format!("organisation {}", organisation.name);
        let messages = keys(organisation).into_iter().chain(organisation.quota.and_then(quota));
        findings.extend(messages.map(|message| Finding::new(&subject, message)));
    }
    findings.extend(limits(&draft.limits));
    findings
}

/// Returns what nothing refers to.
fn unused(draft: &Draft) -> Vec<Finding> {
    let parts = draft.routes.iter().flat_map(|route| &route.parts);
    let named: BTreeSet<&str> = parts.map(|part| &*part.service).collect();
    let services = draft.services.iter().filter(|(name, _)| !named.contains(&**name));
    let services =
        services.map(|(name, _)| Finding::new(format!("service {name}"), "no route names it"));
    let resources = draft.unused.iter().map(|(kind, name)| {
        Finding::new(format!("{kind} {name}").trim_end(), "nodes use no resource of this type")
    });
    let mut findings: Vec<Finding> = services.chain(resources).collect();
    let is_keyless = !draft.routes.is_empty() && draft.routes.iter().all(|route| route.keyless);
    if is_keyless && !draft.organisations.is_empty() {
        findings.push(Finding::new("organisations", "no route asks for a key"));
    }
    findings
}

fn unreachable(route: &Route) -> Vec<String> {
    let host = foreign(&route.host, HOST_MARKS);
    let host = host.map(|found| format!("no request has its host: {found:?} in {:?}", route.host));
    let prefix = foreign(&route.prefix, PATH_MARKS);
    let prefix =
        prefix.map(|found| format!("no request has its prefix: {found:?} in {:?}", route.prefix));
    host.into_iter().chain(prefix).collect()
}

/// Returns the first character of `text` that is no letter or digit of ASCII and none of `marks`, or
/// a percent sign without two hexadecimal digits.
fn foreign(text: &str, marks: &str) -> Option<char> {
    let is_known = |found: char| found.is_ascii_alphanumeric() || marks.contains(found);
    let is_escape = |rest: &str| {
        rest.as_bytes().get(1..3).is_some_and(|hex| hex.iter().all(u8::is_ascii_hexdigit))
    };
    text.char_indices()
        .find(|(at, found)| !is_known(*found) || (*found == '%' && !is_escape(&text[*at..])))
        .map(|(_, found)| found)
}

fn parts(route: &Route) -> Vec<String> {
    let mut seen = BTreeSet::new();
    let mut messages = Vec::new();
    for part in &route.parts {
        if part.weight == 0 {
            messages.push(format!("service {} has weight 0", part.service));
        }
        if !seen.insert(&part.service) {
            messages.push(format!("service {} is named twice", part.service));
        }
    }
    messages
}

fn target(route: &Route) -> Option<String> {
    (route.target == 0 && route.timeout > 0)
        .then(|| "no response meets target latency 0".to_owned())
}

/// Returns whether a route has no region in common with any organisation that could call it.
fn homeless(route: &Route, organisations: &[Organisation]) -> Option<String> {
    let has_none = |organisation: &Organisation| {
        let homes = route.homes.and(&organisation.homes);
        !homes.is_any() && homes.iter().next().is_none()
    };
    if route.keyless || organisations.is_empty() || !organisations.iter().all(has_none) {
        return None;
    }
    let homes = format::homes(&route.homes);
    Some(format!("no organisation has a region in common with it: {homes}"))
}

fn keys(organisation: &Organisation) -> Option<String> {
    let is_sent =
        |key: &String| key.trim() == key && key.bytes().all(|byte| (32..127).contains(&byte));
    let count = organisation.keys.iter().filter(|key| !is_sent(key)).count();
    (count > 0).then(|| format!("{count} of its keys cannot be sent in a header field"))
}

fn quota(quota: Quota) -> Option<String> {
    if quota.rate == 0.0 {
        return Some(format!("burst {} has no effect without a rate", quota.burst));
    }
    let is_slow = quota.burst == 0.0 && quota.rate > 0.0 && quota.rate < SLOW_RATE;
    is_slow.then(|| {
        format!("rate {} leaves less than a request a second, without a burst", quota.rate)
    })
}

fn limits(limits: &CallerLimits) -> Option<Finding> {
    if limits.idle >= limits.head_time {
        return None;
    }
    let (idle, head) = (format::time(limits.idle), format::time(limits.head_time));
    Some(Finding::new("limits", format!("idle time {idle} is below the time of a head {head}")))
}
