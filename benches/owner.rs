//! What an owner of batch pools costs by the jobs that come in a second: `cargo bench --bench owner`.
//!
//! Virtual time, no network; shares of a core of the machine that it runs on, one run of a row.

use std::time::Duration;

use stackmast_testbed::owner_load::{OwnerLoad, Shape};

/// Jobs a second, and endpoints about in proportion.
const ROWS: [(f64, usize); 6] =
    [(17.0, 7), (87.0, 38), (350.0, 154), (525.0, 154), (700.0, 308), (1_400.0, 616)];
const LASTS: Duration = Duration::from_secs(10);

fn main() {
    println!(
        "| jobs a second | endpoints | share of a core | submit | actions | ms a job | held | served | looked at a job |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (jobs, endpoints) in ROWS {
        let shape = Shape { jobs, endpoints, lasts: LASTS, beside: false, failing: 0, seed: 1 };
        let cost = OwnerLoad::new(shape).run(|_, _, _, _| {});
        let share = |time: Duration| time.as_secs_f64() / LASTS.as_secs_f64();
        let submitted = cost.submitted as f64;
        println!(
            "| {jobs} | {endpoints} | {:.3} | {:.3} | {:.3} | {:.3} | {} | {:.3} | {:.1} |",
            share(cost.total()),
            share(cost.submit),
            share(cost.actions),
            cost.total().as_secs_f64() * 1e3 / submitted,
            cost.held,
            cost.served as f64 / submitted,
            cost.looked_at as f64 / submitted,
        );
    }
}
