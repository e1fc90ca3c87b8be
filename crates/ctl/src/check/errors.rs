//! Errors: what makes a configuration unfit to be published.

use std::collections::{BTreeMap, BTreeSet};

use bbv_core::organisation::Organisation;
use bbv_core::route::{CallerLimits, Route, ServiceLimits};
use bbv_platform::Draft;

use crate::check::{Finding, format};

/// Returns the reasons not to publish a configuration.
///
/// ```
/// let text = r#"{"version":1,"resources":[]}"#;
/// let draft = bbv_platform::Draft::decode(text).expect("the text is valid");
/// assert!(bbv_ctl::check::errors(&draft).is_empty());
/// ```
pub fn errors(draft: &Draft) -> Vec<Finding> {
    let services: BTreeSet<&str> = draft.services.iter().map(|(name, _)| &**name).collect();
    let mut findings = repeated_names(draft);
    findings.extend(repeated_prefixes(&draft.routes));
    for route in &draft.routes {
        let subject = format!("route {}", route.name);
        let messages =
            address(route).into_iter().chain(parts(route, &services)).chain(times(route));
        findings.extend(messages.map(|message| Finding::new(&subject, message)));
    }
    for (name, limits) in &draft.services {
        let subject = format!("service {name}");
        findings.extend(service(limits).into_iter().map(|message| Finding::new(&subject, message)));
    }
    for organisation in &draft.organisations {
        let subject = format!("organisation {}", organisation.name);
        let messages = keys(organisation).into_iter().chain(quota(organisation));
        findings.extend(messages.map(|message| Finding::new(&subject, message)));
    }
    findings.extend(shared_keys(&draft.organisations));
    findings.extend(limits(&draft.limits));
    findings
}

/// Returns the parts whose name an earlier part of the same kind has.
fn repeated_names(draft: &Draft) -> Vec<Finding> {
    let routes = draft.routes.iter().map(|route| ("route", &route.name));
    let services = draft.services.iter().map(|(name, _)| ("service", name));
    let organisations = draft.organisations.iter().map(|one| ("organisation", &one.name));
    let mut seen = BTreeSet::new();
    routes
        .chain(services)
        .chain(organisations)
        .filter(|part| !seen.insert(*part))
        .map(|(kind, name)| Finding::new(format!("{kind} {name}"), "is defined twice"))
        .collect()
}

fn repeated_prefixes(routes: &[Route]) -> Vec<Finding> {
    let mut first = BTreeMap::new();
    let mut findings = Vec::new();
    for route in routes {
        let Some(other) = first.insert((&route.host, &route.prefix), &route.name) else { continue };
        let message =
            format!("has host and prefix {}{} of route {other}", route.host, route.prefix);
        findings.push(Finding::new(format!("route {}", route.name), message));
    }
    findings
}

fn address(route: &Route) -> Vec<String> {
    let mut messages = Vec::new();
    if route.host.is_empty() {
        messages.push("has an empty host".to_owned());
    }
    if !route.prefix.starts_with('/') || !route.prefix.ends_with('/') {
        messages.push(format!("prefix {:?} does not begin and end with a slash", route.prefix));
    }
    messages
}

fn parts(route: &Route, services: &BTreeSet<&str>) -> Vec<String> {
    let unknown = route.parts.iter().filter(|part| !services.contains(&*part.service));
    let mut messages: Vec<String> =
        unknown.map(|part| format!("service {} does not exist", part.service)).collect();
    if route.parts.iter().all(|part| part.weight == 0) {
        messages.push("no part of the split has a weight above 0".to_owned());
    }
    messages
}

fn times(route: &Route) -> Vec<String> {
    let mut messages = Vec::new();
    if route.attempts == 0 {
        messages.push("the maximum of attempts is 0".to_owned());
    }
    if route.timeout == 0 {
        messages.push("the timeout is 0".to_owned());
    }
    if route.target > route.timeout {
        let (target, timeout) = (format::time(route.target), format::time(route.timeout));
        messages.push(format!("target latency {target} is above the timeout {timeout}"));
    }
    messages
}

fn service(limits: &ServiceLimits) -> Vec<String> {
    let mut messages = Vec::new();
    if limits.connections == 0 {
        messages.push("the maximum of connections is 0".to_owned());
    }
    if let Some(rate) = limits.cold_rate.filter(|rate| *rate <= 0.0) {
        messages.push(format!("cold rate {rate} is not above 0"));
    }
    messages
}

fn keys(organisation: &Organisation) -> Vec<String> {
    let mut messages = Vec::new();
    if organisation.keys.is_empty() {
        messages.push("has no key".to_owned());
    }
    if organisation.keys.contains("") {
        messages.push("has an empty key".to_owned());
    }
    messages
}

fn quota(organisation: &Organisation) -> Vec<String> {
    let Some(quota) = organisation.quota else { return Vec::new() };
    [("rate", quota.rate), ("burst", quota.burst)]
        .into_iter()
        .filter(|(_, value)| *value < 0.0)
        .map(|(name, value)| format!("{name} {value} is below 0"))
        .collect()
}

fn shared_keys(organisations: &[Organisation]) -> Vec<Finding> {
    let mut holders = BTreeMap::new();
    let mut findings = Vec::new();
    for organisation in organisations {
        for key in &organisation.keys {
            let Some(other) = holders.insert(key, &organisation.name) else { continue };
            if *other == organisation.name {
                continue;
            }
            let message = format!("{} is held by organisation {other} too", format::key(key));
            findings.push(Finding::new(format!("organisation {}", organisation.name), message));
        }
    }
    findings
}

fn limits(limits: &CallerLimits) -> Vec<Finding> {
    [
        ("the maximum size of a head", limits.head == 0),
        ("the maximum size of a body", limits.body == 0),
        ("the maximum time of a head", limits.head_time == 0),
        ("the maximum idle time", limits.idle == 0),
    ]
    .into_iter()
    .filter(|(_, is_zero)| *is_zero)
    .map(|(name, _)| Finding::new("limits", format!("{name} is 0")))
    .collect()
}
