//! Clock and timers of a node: its only source of time, so that simulations can scale or freeze it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bbv_core::units::Micros;
use tokio::time::Instant;

const MICROS_PER_S: Micros = 1_000_000;
const NANOS_PER_MICRO: Micros = 1_000;

/// Clock and timers shared by all parts of a node.
#[derive(Clone, Debug)]
pub struct Timer {
    start: Instant,
    unit_ns: u64,
    frozen: Arc<AtomicU64>,
}

/// One tick of [`Ticks`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tick {
    /// Time of the tick.
    pub now: Micros,
    /// Delay of the tick after its due time.
    pub late: Micros,
}

/// Periodic ticks.
#[derive(Debug)]
pub struct Ticks {
    timer: Timer,
    period: Micros,
    due: Micros,
}

impl Timer {
    /// Creates a timer that counts real time from zero.
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

    /// Creates a timer on which one microsecond takes `unit` of the runtime's clock.
    ///
    /// A paused runtime clock advances in steps of one millisecond, so a unit of one
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

    /// Returns a timer with the same clock that is frozen independently.
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

    /// Returns the time since the timer was created.
    pub fn now(&self) -> Micros {
        (self.start.elapsed().as_nanos() / u128::from(self.unit_ns)) as Micros
    }

    /// Returns the time since the VM was started, which also counts the time for which the VM was
    /// suspended; [`Timer::now`] stands still meanwhile.
    ///
    /// ```
    /// # tokio::runtime::Builder::new_current_thread().enable_time().build()?.block_on(async {
    /// let timer = bbv_timer::Timer::real();
    /// assert!(timer.since_boot() <= timer.since_boot());
    /// # });
    /// # Ok::<(), std::io::Error>(())
    /// ```
    pub fn since_boot(&self) -> Micros {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        time.tv_sec as Micros * MICROS_PER_S + time.tv_nsec as Micros / NANOS_PER_MICRO
    }

    /// Freezes the timer until `until`, which delays everything that waits on it, to simulate a
    /// paused process.
    pub fn freeze(&self, until: Micros) {
        self.frozen.store(until, Ordering::Relaxed);
    }

    /// Returns whether the timer is frozen.
    pub fn is_frozen(&self) -> bool {
        self.now() < self.frozen.load(Ordering::Relaxed)
    }

    /// Waits until the timer is no longer frozen.
    pub async fn wait_while_frozen(&self) {
        while self.is_frozen() {
            self.sleep_ignoring_freeze(self.frozen.load(Ordering::Relaxed)).await;
        }
    }

    async fn sleep_ignoring_freeze(&self, until: Micros) {
        let at = self.start + Duration::from_nanos(until.saturating_mul(self.unit_ns));
        tokio::time::sleep_until(at).await;
    }

    /// Waits until the time `until`, and longer while the timer is frozen.
    pub async fn sleep_until(&self, until: Micros) {
        self.sleep_ignoring_freeze(until).await;
        self.wait_while_frozen().await;
    }

    /// Waits for `duration`.
    pub async fn sleep(&self, duration: Micros) {
        self.sleep_until(self.now() + duration).await;
    }

    /// Waits for `future` until the time `until`; returns `None` if it is not ready by then.
    pub async fn timeout_at<T>(&self, until: Micros, future: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            value = future => Some(value),
            () = self.sleep_until(until) => None,
        }
    }

    /// Returns ticks at intervals of `period`.
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
    /// Waits for the next tick; missed ticks are skipped.
    pub async fn next(&mut self) -> Tick {
        self.timer.sleep_until(self.due).await;
        let now = self.timer.now();
        let late = now.saturating_sub(self.due);
        self.due = (self.due + self.period).max(now + 1);
        Tick { now, late }
    }
}
