//! What a decision costs at the size of two years from now.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;

use criterion::{Criterion, criterion_main};
use rand::SeedableRng;
use stackmast::config::check::check;
use stackmast::config::labels::Labels;
use stackmast::config::parts::{join, split};
use stackmast::fleet::Fleet;
use stackmast::message::{Incarnation, Load};
use stackmast::policy::admit::{AdmissionRequest, admit};
use stackmast::policy::demand::Demand;
use stackmast::policy::limit::Limiter;
use stackmast::policy::predict::SizeClass;
use stackmast::policy::route::{RoutingContext, choose};
use stackmast::view::{Location, View};
use stackmast_testbed::deployment::two_years;

const ENDPOINTS: usize = 3_000;
const ORGANISATIONS: usize = 25_000;

fn location() -> Location {
    Location { host: "gateway-1".to_owned(), data_centre: "dc-1".to_owned() }
}

/// A fleet in which every endpoint of the subset has reported and been measured.
fn used(view: &View) -> Fleet {
    let mut fleet = Fleet::default();
    let now = Duration::from_secs(10);
    for endpoint in view.endpoints_in_use() {
        let load = Load { queued: 2, running: 3, limit: 8 };
        fleet.replied(&endpoint.name, Incarnation(1), Some(load), now);
        for stage in &view.pipeline("pipeline-0").expect("it is there").stages {
            fleet.measured(
                &endpoint.name,
                stage.key,
                SizeClass::of(0),
                Duration::from_millis(20),
                now,
            );
        }
    }
    fleet
}

fn decisions(criterion: &mut Criterion) {
    let config = Arc::new(two_years(ENDPOINTS, ORGANISATIONS));
    let view = View::new(config.clone(), String::new(), location());
    let fleet = used(&view);
    let now = Duration::from_secs(11);
    let pipeline = view.pipeline("pipeline-0").expect("it is there");
    let labels: Labels = [("kind".to_owned(), "plan".to_owned())].into();
    let mut rng = rand::rngs::StdRng::seed_from_u64(1);
    let demand = Demand::default();
    let mut limiter = Limiter::default();
    let mut number = 0;

    criterion.bench_function("admit a request of four stages", |bench| {
        bench.iter(|| {
            number = (number + 7_919) % ORGANISATIONS;
            let organisation = view.organisation(&format!("organisation-{number}"));
            let admission = AdmissionRequest {
                view: &view,
                pipeline,
                organisation: organisation.expect("it is there"),
                labels: &labels,
                size: SizeClass::of(0),
                left: Duration::from_secs(2),
                gateways: 580,
            };
            black_box(admit(&admission, &fleet, &demand, &mut limiter, now, &mut rng))
        });
    });
    criterion.bench_function("choose an endpoint among a subset of 20", |bench| {
        bench.iter(|| {
            let context = RoutingContext {
                view: &view,
                stage: &pipeline.stages[0],
                rules: &[0, 1],
                size: SizeClass::of(0),
                tried: &[],
                turn: 0,
                now,
            };
            black_box(choose(&context, &fleet, &mut rng))
        });
    });
}

fn configurations(criterion: &mut Criterion) {
    let config = two_years(ENDPOINTS, ORGANISATIONS);
    let bundle = split(&config).expect("it is split");
    let config = Arc::new(config);
    let mut group = criterion.benchmark_group("a configuration of two years from now");
    group.sample_size(10);
    group.bench_function("put together from parts", |bench| {
        bench.iter(|| black_box(join(&bundle, None)))
    });
    group.bench_function("checked", |bench| bench.iter(|| black_box(check(&config))));
    group.bench_function("compiled", |bench| {
        bench.iter(|| black_box(View::new(config.clone(), String::new(), location())));
    });
    group.finish();
}

#[allow(missing_docs, reason = "the macro makes it")]
mod groups {
    use super::{configurations, decisions};
    criterion::criterion_group!(benches, decisions, configurations);
}

criterion_main!(groups::benches);
