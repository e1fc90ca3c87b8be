//! Replays loads beyond the room of services, with the part on too little room and without it.

mod replay;

use bbv_core::admission::{Admission, AdmissionDecision, AdmissionDequeued, AdmissionRequest};
use bbv_core::demand::RANKS;
use bbv_core::needs::Needs;
use bbv_core::rank_shares::RankShares;
use bbv_core::room::{Room, urgency};
use bbv_core::shedding::{ServiceRoom, Verdict, decide};
use bbv_core::units::{MS, Micros, SEC};
use proptest::prelude::*;
use replay::{Load, Replay, Tally};

/// Requests per second that the warm upstreams bear.
const USUAL: [f64; 3] = [150.0, 450.0, 170.0];
/// Requests per second that use up the warm upstreams of the most urgent service.
const FULL: [f64; 3] = [650.0, 1_700.0, 700.0];

fn load(per_s: [f64; 3]) -> Load {
    let (length, report_age, seed) = (5 * SEC, 200 * MS, 7);
    let (then_per_s, eases_at, cold, on) = (USUAL, 60 * SEC, 0, true);
    Load { per_s, then_per_s, eases_at, length, cold, report_age, on, seed }
}

/// Runs a load with the part and without it.
fn compare(load: Load) -> (Tally, Tally) {
    let (on, off) = (Replay::run(load), Replay::run(Load { on: false, ..load }));
    println!("on {on:?}\noff {off:?}");
    (on, off)
}

/// All upstreams lose power and are cold for 3 s. Requests of rank 2 need calls to the service of
/// rank 0, and would run and fail since it has no room for them.
#[test]
fn cold_return_serves_urgent_requests_and_wastes_few_starts() {
    let (mut on, mut off) = ([0.0; 2], [0.0; 2]);
    for seed in [7, 8, 9] {
        let load = Load { cold: 3 * SEC, length: 4 * SEC, seed, ..load(USUAL) };
        let (with, without) = compare(load);
        assert!(with.most_cold_starts <= 16, "{}", with.most_cold_starts);
        assert!(with.failed[2] < 0.6 * without.failed[2]);
        for rank in 0..2 {
            on[rank] += with.in_time[rank];
            off[rank] += without.in_time[rank];
        }
    }
    assert!(on[0] > off[0] && on[1] > 1.05 * off[1], "{on:?} {off:?}");
}

/// A burst of rank 2 comes at normal speed; its calls need the service of rank 0.
#[test]
fn burst_of_the_least_urgent_rank_leaves_room_to_others() {
    let (on, off) = compare(load([850.0, 450.0, 900.0]));
    assert!(on.share(0) >= off.share(0) - 0.01, "{} {}", on.share(0), off.share(0));
    assert!(on.share(1) >= off.share(1) - 0.01, "{} {}", on.share(1), off.share(1));
    assert!(on.failed[2] < off.failed[2], "{:?} {:?}", on.failed, off.failed);
}

/// All ranks ask for 1.5 and 3 times what the services bear. More of what is urgent is served, and
/// fewer requests run for nothing.
#[test]
fn overload_is_borne_by_the_least_urgent_rank() {
    for times in [1.5, 3.0] {
        let (on, off) = compare(load(FULL.map(|rate| rate * times)));
        assert!(on.in_time[0] > 0.98 * off.in_time[0], "{times}");
        assert!(on.in_time[1] > 1.2 * off.in_time[1], "{times}");
        assert!(on.failed[2] < 0.7 * off.failed[2], "{times}");
        assert!(on.share(0) > on.share(2) && on.share(1) > on.share(2), "{times}");
        assert!(on.most_running <= 13, "{times}");
    }
}

/// Reports are 200 ms to 1 s old. Ingresses do not turn from all to none and back together: in most
/// tenths of a second some requests of the rank that lacks room pass and some do not.
#[test]
fn stale_reports_cause_no_oscillation() {
    for report_age in [200 * MS, 500 * MS, SEC] {
        let per_s = [300.0, 450.0, 1_900.0];
        let (on, off) = compare(Load { report_age, length: 8 * SEC, ..load(per_s) });
        let settled = &on.passed[30..];
        let extreme = settled.iter().filter(|passed| **passed < 5.0).count();
        assert!(extreme * 4 < settled.len(), "{report_age}: {settled:?}");
        assert!(on.share(0) >= off.share(0) - 0.01, "{report_age}");
        assert!(on.served[2] > 0.9 * off.served[2], "{report_age}");
    }
}

/// The load falls from three times the room to the usual one: from 2 s later on no rank is refused.
#[test]
fn every_rank_is_served_again_when_the_load_has_eased() {
    let eases_at = 4 * SEC;
    let heavy = FULL.map(|rate| rate * 3.0);
    let load = Load { eases_at, length: 12 * SEC, ..load(heavy) };
    let (on, _) = compare(load);
    for rank in 0..3 {
        assert!(on.late_served[rank] > 0.95 * on.late_asked[rank], "{rank}: {on:?}");
    }
}

/// For a minute, the service of rank 0 has no room for others. Requests of rank 2, which call it, are
/// still served a quarter as often as all requests.
#[test]
fn least_urgent_rank_is_not_starved() {
    let (on, _) = compare(Load { length: 60 * SEC, ..load([1_100.0, 450.0, 170.0]) });
    let all = on.served.iter().sum::<f64>() / on.asked.iter().sum::<f64>();
    assert!(on.share(2) > 0.25 * all, "{} {all}", on.share(2));
}

/// A route's calls are learnt from its first request, and forgotten when it makes none.
#[test]
fn calls_of_a_route_are_learnt_and_forgotten() {
    let mut needs = Needs::default();
    needs.record(&[("till".into(), 2)]);
    assert_eq!(needs.iter().map(|(_, calls)| calls).collect::<Vec<_>>(), [2.0]);
    for _ in 0..60 {
        needs.record(&[]);
    }
    assert!(needs.is_empty());
}

/// A rank is protected only after lasting lack of room, and only if it is served far less.
#[test]
fn rank_counts_as_shut_out_only_in_lasting_overload() {
    let mut shares = RankShares::default();
    for step in 0..200 {
        let now = step * 100 * MS;
        shares.record(now, 0, true);
        shares.record(now, 2, step % 10 == 0);
        assert!(now >= 10 * SEC || !shares.is_shut_out(now, 2), "{now}");
        assert!(!shares.is_shut_out(now, 0), "{now}");
    }
    assert!(shares.is_shut_out(20 * SEC, 2));
}

/// Retry times of refused requests are spread, and no shorter than the lack.
#[test]
fn refused_requests_return_spread_out_after_the_lack() {
    let none = ServiceRoom { share: 0.0, lack: SEC };
    let retry = |spread| match decide(Some(none), [], 0, 0.9, spread) {
        Verdict::Refuse { retry_after } => retry_after,
        Verdict::Admit { .. } => panic!("a request without room was admitted"),
    };
    assert_eq!((retry(0.0), retry(1.0)), (SEC, 1_500 * MS));
    let (draw, slack) = (0.9, 2 * SEC);
    assert_eq!(decide(Some(none), [], slack, draw, 0.0), Verdict::Admit { weight: 1.0 });
}

/// One in 32 requests passes however little room there is, and stands for the others.
#[test]
fn some_requests_pass_to_show_that_there_is_room_again() {
    let none = ServiceRoom { share: 0.0, lack: SEC };
    assert_eq!(decide(Some(none), [], 0, 0.03, 0.5), Verdict::Admit { weight: 32.0 });
    assert_eq!(decide(None, [(none, 2.0)], 0, 0.03, 0.5), Verdict::Admit { weight: 32.0 });
}

/// One in ten requests of a route calls a service without room. The others need none there, and were
/// refused as if each made the call.
#[test]
fn requests_that_seldom_call_a_service_without_room_pass() {
    let none = ServiceRoom { share: 0.0, lack: SEC };
    let verdict = |calls, draw| decide(None, [(none, calls)], 0, draw, 0.5);
    assert_eq!(verdict(0.04, 0.99), Verdict::Admit { weight: 1.0 });
    assert!(matches!(verdict(0.1, 0.89), Verdict::Admit { .. }));
    assert!(matches!(verdict(0.1, 0.91), Verdict::Refuse { .. }));
    assert!(matches!(verdict(1.0, 0.04), Verdict::Refuse { .. }));
}

/// Ranks beyond those that are told apart count as the last of them. There is room for half of their
/// requests, which were refused as if there were none.
#[test]
fn least_urgent_ranks_get_the_room_that_there_is_for_them() {
    let mut admission = Admission::new(9);
    admission.set_limits(9, 16.0);
    admission.set_cold_until(9 * SEC);
    // Each rank has two steps, for its calls and for its new requests.
    let last = (RANKS / 2) as u8 - 1;
    for (step, rank) in (0..40).zip([last, last + 4].into_iter().cycle()) {
        admission.record_demand(step * 25 * MS, urgency(rank, false), 1.0, 50 * MS);
    }
    let room = admission.room(SEC);
    for rank in [last, last + 4, u8::MAX] {
        let share = room.share(urgency(rank, false));
        assert!((0.3..0.5).contains(&share), "{rank}: {share} of {room:?}");
    }
}

/// A cold upstream is asked by one rank alone for three times what it bears. Its gate decides, by exact
/// counts and with a queue; ingresses refuse nothing.
#[test]
fn lack_of_room_for_one_rank_is_left_to_the_gates() {
    let mut admission = Admission::new(9);
    admission.set_limits(9, 16.0);
    admission.set_cold_until(9 * SEC);
    let urgency = urgency(1, false);
    for step in 0..48 {
        admission.record_demand(step * 20 * MS, urgency, 1.0, 50 * MS);
    }
    let room = ServiceRoom::new([admission.room(SEC)].into_iter(), urgency);
    assert!(room.is_some_and(|room| room.share < 0.5), "{room:?}");
    assert_eq!(decide(room, [], 0, 0.99, 0.5), Verdict::Admit { weight: 1.0 });
}

/// All slots are taken. A call starts before a new request of its rank that came earlier, and after
/// one of a more urgent rank.
#[test]
fn calls_start_before_new_requests_of_their_rank() {
    let mut admission = Admission::new(1);
    let offers = [(1, 0, false), (2, 1, false), (3, 1, true), (4, 0, false)];
    for (id, rank, call) in offers {
        let (deadline, target) = (SEC + id * MS, SEC);
        let (rank, service_time, reroutes) = (urgency(rank, call), 10 * MS, false);
        let request = AdmissionRequest { id, rank, deadline, target, service_time, reroutes };
        let decision = admission.offer(0, request);
        assert!(!matches!(decision, AdmissionDecision::Refuse(_)), "{id}: {decision:?}");
    }
    let mut order = vec![1];
    while let Some(last) = order.last().copied().filter(|_| order.len() < offers.len()) {
        admission.finish(order.len() as u64 * 10 * MS, last, 10 * MS);
        let mut decided = Vec::new();
        admission.poll(order.len() as u64 * 10 * MS, &mut decided);
        assert_eq!(decided.len(), 1, "{decided:?}");
        let Some(AdmissionDequeued::Run(id)) = decided.pop() else { panic!("refused") };
        order.push(id);
    }
    assert_eq!(order, [1, 4, 3, 2]);
}

#[derive(Clone, Copy, Debug)]
struct Offer {
    gap: Micros,
    rank: u8,
    service_time: Micros,
    left: Micros,
}

fn offers() -> impl Strategy<Value = Vec<Offer>> {
    let offer = (0..80 * MS, 0..6_u8, 5 * MS..200 * MS, 50 * MS..SEC);
    let offer =
        offer.prop_map(|(gap, rank, service_time, left)| Offer { gap, rank, service_time, left });
    prop::collection::vec(offer, 1..200)
}

proptest! {
    /// Whatever comes, no more requests run than there are slots, no more start in a second than a
    /// cold upstream bears, and a request that was refused is neither queued nor running.
    #[test]
    fn limits_hold_and_a_refusal_leaves_nothing(offers in offers(), cold in 0..3 * SEC) {
        let (slots, rate) = (4, 7);
        let mut admission = Admission::new(slots);
        admission.set_limits(slots, f64::from(rate));
        admission.set_cold_until(cold);
        let (mut now, mut running, mut queued) = (0, Vec::new(), Vec::new());
        let mut starts: Vec<Micros> = Vec::new();
        for (id, offer) in offers.into_iter().enumerate() {
            now += offer.gap;
            let id = id as u64;
            let ended: Vec<_> = running.extract_if(.., |(_, end)| *end <= now).collect();
            ended.into_iter().for_each(|(id, _)| admission.finish(now, id, 20 * MS));
            let Offer { rank, service_time, left, .. } = offer;
            admission.record_demand(now, rank, 1.0, service_time);
            let (deadline, target) = (now + left, now + left / 2);
            let request =
                AdmissionRequest { id, rank, deadline, target, service_time, reroutes: false };
            match admission.offer(now, request) {
                AdmissionDecision::Run => {
                    running.push((id, now + service_time));
                    starts.push(now);
                }
                AdmissionDecision::Wait => queued.push(id),
                AdmissionDecision::Refuse(refusal) => prop_assert!(refusal.retry_after > 0),
            }
            let mut decided = Vec::new();
            admission.poll(now, &mut decided);
            for decision in decided {
                let (AdmissionDequeued::Run(id) | AdmissionDequeued::Refuse(id, _)) = decision;
                prop_assert!(queued.contains(&id));
                queued.retain(|other| *other != id);
                if matches!(decision, AdmissionDequeued::Run(_)) {
                    running.push((id, now + 20 * MS));
                    starts.push(now);
                }
            }
            prop_assert!(running.len() <= slots as usize);
            prop_assert_eq!(admission.running() as usize, running.len());
            prop_assert_eq!(admission.queued() as usize, queued.len());
            let recent = starts.iter().filter(|at| **at + SEC > now).count();
            prop_assert!(now >= cold || recent <= rate as usize);
        }
    }

    /// More room never means a smaller share, and a more urgent request has no smaller one.
    #[test]
    fn shares_follow_room_and_urgency(demand in prop::collection::vec(0.0..50.0_f64, 1..8), capacity in 0.0..200.0_f64) {
        let (less, more) = (Room::new(capacity, &demand, 0), Room::new(capacity + 10.0, &demand, 0));
        for rank in 0..8 {
            prop_assert!(less.share(rank) <= more.share(rank));
            prop_assert!(less.share(rank) >= less.share(rank + 1));
        }
    }
}
