//! Compares how often a node serves routes that were added later with how often it serves the first ones.

use parking_lot::Mutex;

/// Requests from which the shares are compared.
const MIN_REQUESTS: usize = 20;
/// Least share of requests on added routes that is served, as a part of that on the first ones.
const MIN_PART: f64 = 0.25;

/// Requests on routes of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: usize,
    served: usize,
}

impl Count {
    fn add(&mut self, served: bool) {
        self.sent += 1;
        self.served += usize::from(served);
    }

    fn share(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

/// Requests at one node while it was calm: on added routes, and on the first ones.
#[derive(Debug, Default)]
pub struct Served {
    counts: Mutex<(Count, Count)>,
}

impl Served {
    /// Records a request on an added route and one on a first route, and whether each was served.
    pub fn record(&self, added: bool, first: bool) {
        let mut counts = self.counts.lock();
        counts.0.add(added);
        counts.1.add(first);
    }

    /// Describes added routes that node `name` serves far less often than the first ones.
    pub fn violation(&self, name: &str) -> Option<String> {
        let (added, first) = *self.counts.lock();
        let rare = added.share() < MIN_PART * first.share();
        (added.sent >= MIN_REQUESTS && rare).then(|| {
            let (sent, served) = (added.sent, added.served);
            let share = first.share();
            format!(
                "{name}: served {served} of {sent} requests on added routes, {share:.2} on others"
            )
        })
    }
}
