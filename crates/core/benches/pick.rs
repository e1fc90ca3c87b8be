//! Time of one pick by the number of candidates.

use std::hint::black_box;

use bbv_core::balancer::{Balancer, Candidate};
use bbv_core::id::Vm;
use bbv_core::load::Load;
use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn pick(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("pick");
    for size in [7_u32, 70, 700] {
        let mut balancer = Balancer::new(Vm(9_999), 9_000, 9);
        let all: Vec<Candidate> = (0..size).map(|vm| Candidate { vm: Vm(vm), rtt: 0 }).collect();
        balancer.set_candidates(&all);
        for candidate in &all {
            let load = Load { running: 3, allowed: 9, service_us: 9_000, ..Load::default() };
            balancer.record_sample(0, candidate.vm, load);
        }
        let mut rng = SmallRng::seed_from_u64(1);
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| black_box(balancer.pick(5_000, &[], &mut rng)));
        });
    }
    group.finish();
}

criterion_group!(benches, pick);
criterion_main!(benches);
