//! SIGHUP at the real daemon, in both roles.

mod testenv;

use std::time::Duration;

use nix::sys::signal::Signal;
use stackmast_testbed::client::Ask;

/// Time after which a signal has had its effect.
const EFFECT_TIME: Duration = Duration::from_millis(200);

/// Guards against SIGHUP that ends a gateway or an agent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reload_signals_end_no_daemon() {
    let fleet = testenv::fleet(testenv::small()).await;
    fleet.processes().for_each(|process| process.signal(Signal::SIGHUP));
    tokio::time::sleep(EFFECT_TIME).await;
    fleet.processes().for_each(|process| process.signal(Signal::SIGHUP));
    tokio::time::sleep(EFFECT_TIME).await;
    for process in fleet.processes() {
        assert!(process.log().contains("SIGHUP ignored"), "{} {}", process.name, process.log());
    }
    let ask = Ask::new("guest-reply", "keepers-0", "after-signals");
    testenv::assert_whole(&ask, &testenv::ask(&fleet, &ask).await);
}
