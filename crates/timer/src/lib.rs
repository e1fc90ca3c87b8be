//! Timer service: the only source of time in a node.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bbv_core::units::Micros;
use tokio::time::Instant;

/// Clock and timer that all parts of a node subscribe to.
#[derive(Clone, Debug)]
pub struct Timer {
    start: Instant,
    unit_ns: u64,
    frozen: Arc<AtomicU64>,
}

/// One tick of a subscription.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tick {
    /// Time of the tick.
    pub now: Micros,
    /// How much later it came than it was due.
    pub late: Micros,
}

/// Subscription to periodic ticks.
#[derive(Debug)]
pub struct Ticks {
    timer: Timer,
    period: Micros,
    due: Micros,
}

impl Timer {
    /// Creates a timer of real time that starts at zero now.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build()?.block_on(async {
    /// assert!(bbv_timer::Timer::real().now() < 1_000_000);
    /// # });
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn real() -> Self {
        Timer::scaled(Duration::from_micros(1))
    }

    /// Creates a timer on which `unit` of the runtime's clock is one microsecond.
    ///
    /// A paused runtime clock moves in steps of a millisecond, so a unit of one
    /// millisecond gives virtual time a resolution of one microsecond.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build()?.block_on(async {
    /// let timer = bbv_timer::Timer::scaled(std::time::Duration::from_millis(1));
    /// assert_eq!(timer.now(), 0);
    /// # });
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn scaled(unit: Duration) -> Self {
        let unit_ns = unit.as_nanos() as u64;
        Timer { start: Instant::now(), unit_ns, frozen: Arc::default() }
    }

    /// Returns a timer with the same clock that can be frozen by itself.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build()?.block_on(async {
    /// let timer = bbv_timer::Timer::real();
    /// timer.fork().freeze(u64::MAX);
    /// assert!(!timer.is_frozen());
    /// # });
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn fork(&self) -> Self {
        Timer { start: self.start, unit_ns: self.unit_ns, frozen: Arc::default() }
    }

    /// Time since the start.
    pub fn now(&self) -> Micros {
        (self.start.elapsed().as_nanos() / u128::from(self.unit_ns)) as Micros
    }

    /// Delays everything that waits on this timer until `until`, as a paused process does.
    pub fn freeze(&self, until: Micros) {
        self.frozen.store(until, Ordering::Relaxed);
    }

    /// Tells whether the timer is frozen now.
    pub fn is_frozen(&self) -> bool {
        self.now() < self.frozen.load(Ordering::Relaxed)
    }

    /// Waits until the timer is not frozen.
    pub async fn awake(&self) {
        while self.is_frozen() {
            self.sleep_raw(self.frozen.load(Ordering::Relaxed)).await;
        }
    }

    async fn sleep_raw(&self, until: Micros) {
        let at = self.start + Duration::from_nanos(until.saturating_mul(self.unit_ns));
        tokio::time::sleep_until(at).await;
    }

    /// Waits until `until`.
    pub async fn sleep_until(&self, until: Micros) {
        self.sleep_raw(until).await;
        self.awake().await;
    }

    /// Waits for `span`.
    pub async fn sleep(&self, span: Micros) {
        self.sleep_until(self.now() + span).await;
    }

    /// Waits for `future` until `until`; returns none when the time comes first.
    pub async fn limit<T>(&self, until: Micros, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            value = future => Some(value),
            () = self.sleep_until(until) => None,
        }
    }

    /// Subscribes to a tick every `period`.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build()?.block_on(async {
    /// let mut ticks = bbv_timer::Timer::real().every(10);
    /// assert!(ticks.next().await.now >= 10);
    /// # });
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn every(&self, period: Micros) -> Ticks {
        Ticks { timer: self.clone(), period, due: self.now() + period }
    }
}

impl Ticks {
    /// Waits for the next tick; ticks that were missed are left out.
    pub async fn next(&mut self) -> Tick {
        self.timer.sleep_until(self.due).await;
        let now = self.timer.now();
        let late = now.saturating_sub(self.due);
        self.due = (self.due + self.period).max(now + 1);
        Tick { now, late }
    }
}
