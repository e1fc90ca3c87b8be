//! Differences between a configuration and the one in force.

use std::collections::{BTreeMap, BTreeSet};

use bbv_core::organisation::Organisation;
use bbv_core::route::{CallerLimits, Name, Route, ServiceLimits};
use bbv_platform::Draft;

use crate::check::{Change, ChangeKind, FieldChange, format};

/// Returns the routes, services, organisations and limits that differ between two configurations.
/// Parts are the same if they have the same name.
///
/// ```
/// let text = r#"{"version":1,"resources":[]}"#;
/// let draft = bbv_platform::Draft::decode(text).expect("the text is valid");
/// assert!(bbv_ctl::check::changes(&draft, &draft).is_empty());
/// ```
pub fn changes(old: &Draft, new: &Draft) -> Vec<Change> {
    let routes =
        |draft: &Draft| draft.routes.iter().cloned().map(|it| (it.name.clone(), it)).collect();
    let services = |draft: &Draft| draft.services.iter().cloned().collect();
    let organisations = |draft: &Draft| {
        draft.organisations.iter().cloned().map(|it| (it.name.clone(), it)).collect()
    };
    let limits = limit_fields(&old.limits, &new.limits);
    let limits = (!limits.is_empty()).then(|| Change {
        kind: ChangeKind::Changed,
        subject: "limits".to_owned(),
        fields: limits,
    });
    let mut changes = compare("route", &routes(old), &routes(new), route_fields);
    changes.extend(compare("service", &services(old), &services(new), service_fields));
    let (old, new) = (organisations(old), organisations(new));
    changes.extend(compare("organisation", &old, &new, organisation_fields));
    changes.extend(limits);
    changes
}

fn compare<T>(
    kind: &str,
    old: &BTreeMap<Name, T>,
    new: &BTreeMap<Name, T>,
    fields: impl Fn(&T, &T) -> Vec<FieldChange>,
) -> Vec<Change> {
    let names: BTreeSet<&Name> = old.keys().chain(new.keys()).collect();
    let change = |name: &Name| {
        let (kind_of_change, fields) = match (old.get(name), new.get(name)) {
            (Some(old), Some(new)) => (ChangeKind::Changed, fields(old, new)),
            (None, _) => (ChangeKind::Added, Vec::new()),
            (_, None) => (ChangeKind::Removed, Vec::new()),
        };
        let is_change = kind_of_change != ChangeKind::Changed || !fields.is_empty();
        is_change.then(|| Change {
            kind: kind_of_change,
            subject: format!("{kind} {name}"),
            fields,
        })
    };
    names.into_iter().filter_map(change).collect()
}

/// Keeps the fields whose texts differ.
fn differing(fields: impl IntoIterator<Item = (&'static str, String, String)>) -> Vec<FieldChange> {
    fields
        .into_iter()
        .filter(|(_, old, new)| old != new)
        .map(|(field, old, new)| FieldChange { field, old, new })
        .collect()
}

fn route_fields(old: &Route, new: &Route) -> Vec<FieldChange> {
    let both = |text: fn(&Route) -> String| (text(old), text(new));
    let fields: [(&'static str, (String, String)); 10] = [
        ("host", both(|route| route.host.clone())),
        ("prefix", both(|route| route.prefix.clone())),
        ("services", both(parts)),
        ("idempotent", both(|route| route.idempotent.to_string())),
        ("timeout", both(|route| format::time(route.timeout))),
        ("target latency", both(|route| format::time(route.target))),
        ("attempts", both(|route| route.attempts.to_string())),
        ("rank", both(|route| route.rank.to_string())),
        ("homes", both(|route| format::homes(&route.homes))),
        ("keyless", both(|route| route.keyless.to_string())),
    ];
    differing(fields.map(|(field, (old, new))| (field, old, new)))
}

fn parts(route: &Route) -> String {
    let part =
        |part: &bbv_core::route::WeightedService| format!("{} {}", part.service, part.weight);
    route.parts.iter().map(part).collect::<Vec<_>>().join(", ")
}

fn service_fields(old: &ServiceLimits, new: &ServiceLimits) -> Vec<FieldChange> {
    let rate = |limits: &ServiceLimits| format::optional(limits.cold_rate, "unlimited");
    differing([
        ("health path", old.health.clone(), new.health.clone()),
        ("connections", old.connections.to_string(), new.connections.to_string()),
        ("cold time", format::time(old.cold), format::time(new.cold)),
        ("cold rate", rate(old), rate(new)),
    ])
}

fn organisation_fields(old: &Organisation, new: &Organisation) -> Vec<FieldChange> {
    let rank = |one: &Organisation| format::optional(one.rank, "that of the route");
    let rate =
        |one: &Organisation| format::optional(one.quota.map(|quota| quota.rate), "unlimited");
    let burst = |one: &Organisation| format::optional(one.quota.map(|quota| quota.burst), "none");
    let keys = (old.keys != new.keys).then(|| {
        let (before, after) = (&old.keys, &new.keys);
        ("keys", format::keys(before, after), format::keys(after, before))
    });
    let mut fields: Vec<FieldChange> =
        keys.map(|(field, old, new)| FieldChange { field, old, new }).into_iter().collect();
    fields.extend(differing([
        ("rank", rank(old), rank(new)),
        ("rate", rate(old), rate(new)),
        ("burst", burst(old), burst(new)),
        ("homes", format::homes(&old.homes), format::homes(&new.homes)),
    ]));
    fields
}

fn limit_fields(old: &CallerLimits, new: &CallerLimits) -> Vec<FieldChange> {
    differing([
        ("head bytes", old.head.to_string(), new.head.to_string()),
        ("body bytes", old.body.to_string(), new.body.to_string()),
        ("head time", format::time(old.head_time), format::time(new.head_time)),
        ("idle time", format::time(old.idle), format::time(new.idle)),
    ])
}
