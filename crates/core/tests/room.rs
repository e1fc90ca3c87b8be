//! Replays loads beyond the room of services, with the part on too little room and without it.

mod replay;

use bbv_core::admission::{Admission, AdmissionDecision, AdmissionRequest};
use bbv_core::room::Room;
use bbv_core::shedding::{ServiceRoom, Verdict, decide};
use bbv_core::units::{MS, Micros, SEC};
use proptest::prelude::*;
use replay::{Load, Replay, Tally};

/// Requests per second that the warm upstreams bear.
const USUAL: [f64; 3] = [150.0, 450.0, 170.0];

fn load(per_s: [f64; 3]) -> Load {
    Load {
        per_s,
        then_per_s: USUAL,
        eases_at: 20 * SEC,
        length: 5 * SEC,
        cold: 0,
        report_age: 200 * MS,
        on: true,
        seed: 9,
    }
}

/// Runs a load with the part and without it.
fn compare(load: Load) -> (Tally, Tally) {
    (Replay::run(load), Replay::run(Load { on: false, ..load }))
}

/// All upstreams lose power and are cold for 3 s. Requests of rank 2 need calls to the service of
/// rank 0, and would run and fail since it has no room for them.
#[test]
fn cold_return_serves_urgent_requests_and_wastes_no_starts() {
    let (on, off) = compare(Load { cold: 3 * SEC, length: 4 * SEC, ..load(USUAL) });
    println!("on {on:?}\noff {off:?}");
    assert!(on.most_cold_starts <= 16, "{}", on.most_cold_starts);
    assert!(on.in_time[0] > 1.2 * off.in_time[0], "{on:?} {off:?}");
    assert!(on.served[1] > 0.95 * off.served[1], "{on:?} {off:?}");
    assert!(on.failed[2] < 0.5 * off.failed[2], "{on:?} {off:?}");
}

/// Rank 2 comes in bursts at normal speed, and its calls need the service of rank 0.
#[test]
fn burst_of_the_least_urgent_rank_leaves_room_to_others() {
    let (on, off) = compare(load([150.0, 450.0, 1_700.0]));
    println!("on {on:?}\noff {off:?}");
    assert!(on.share(0) > 0.98 && on.share(0) >= off.share(0), "{on:?} {off:?}");
    assert!(on.failed[2] < 0.5 * off.failed[2], "{on:?} {off:?}");
    assert!(on.served[2] > 0.9 * off.served[2], "{on:?} {off:?}");
}

/// All ranks ask for 1.5 and 3 times what the services bear. The more urgent a rank is, the larger the
/// share of it that is served.
#[test]
fn overload_is_borne_by_the_least_urgent_ranks() {
    for times in [1.5, 3.0] {
        let (on, off) = compare(load([650.0, 1_700.0, 700.0].map(|rate| rate * times)));
        println!("{times} on {on:?}\noff {off:?}");
        assert!(on.share(0) + 0.05 >= on.share(2), "{times}: {on:?}");
        assert!(on.in_time[0] >= 0.98 * off.in_time[0], "{times}: {on:?} {off:?}");
        assert!(on.most_running <= 13, "{times}: {on:?}");
    }
}
