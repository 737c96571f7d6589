//! Cost of an owner of batch pools by jobs per second: `cargo bench --bench owner`.
//!
//! Measures shares of a core of this machine, in virtual time without network; one run per row.

use std::time::Duration;

use stackmast_testbed::owner_load::{OwnerLoad, Shape};

/// Jobs per second, and endpoints approximately in proportion.
const ROWS: [(f64, usize); 6] =
    [(17.0, 7), (87.0, 38), (350.0, 154), (525.0, 154), (700.0, 308), (1_400.0, 616)];
const LASTS: Duration = Duration::from_secs(10);

fn main() {
    println!(
        "| jobs per second | endpoints | share of a core | submit | actions | ms per job | max jobs | served | examined per job |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (jobs, endpoints) in ROWS {
        let shape =
            Shape { jobs, endpoints, lasts: LASTS, parallel_stage: false, failing: 0, seed: 1 };
        let cost = OwnerLoad::new(shape).run(|_, _, _, _| {});
        let share = |time: Duration| time.as_secs_f64() / LASTS.as_secs_f64();
        let submitted = cost.submitted as f64;
        println!(
            "| {jobs} | {endpoints} | {:.3} | {:.3} | {:.3} | {:.3} | {} | {:.3} | {:.1} |",
            share(cost.total()),
            share(cost.submit),
            share(cost.actions),
            cost.total().as_secs_f64() * 1e3 / submitted,
            cost.max_jobs,
            cost.served as f64 / submitted,
            cost.examined_jobs as f64 / submitted,
        );
    }
}
