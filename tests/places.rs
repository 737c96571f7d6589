//! Arithmetic of the places that are kept for returning callers.

use std::sync::Arc;
use std::time::Duration;

use stackmast::policy::places::{
    Amount, Calendar, Capacity, Demand, HORIZON, LEAD, MEMORY_LEAD, MEMORY_SHARE, SLOT_SHARE, STEP,
    Shares, fair_share, first_fit,
};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// An idle pool.
fn capacity(slots: f64, memory: f64) -> Capacity {
    Capacity { slots, memory, in_use: Arc::default(), now: ms(0) }
}

#[test]
fn places_stay_within_throughput_and_result_memory() {
    let capacity = capacity(4.0, 10_000.0);
    for (slot_time, memory) in [(ms(30), 1), (ms(1), 900), (ms(700), 400), (ms(25), 100)] {
        let demand = Demand { amount: Amount { slot_time, memory }, hold: ms(300) };
        let mut calendar = Calendar::default();
        let mut times = Vec::new();
        while let Some((time, bookings)) =
            first_fit(&[(&calendar, demand, &capacity)], 0, ms(100), HORIZON)
        {
            calendar.book(bookings[0]);
            times.push(time);
        }
        assert!(times.len() > 2 && times.is_sorted(), "{times:?}");
        let in_time = |from: Duration| {
            times.iter().filter(|t| (from..from + STEP).contains(*t)).count() as f64
        };
        for step in 0..40 {
            let from = STEP * step;
            let memory = in_time(from) * demand.amount.memory as f64;
            assert!(memory <= capacity.memory * MEMORY_SHARE, "{memory} at {from:?}");
        }
        let all = slot_time.as_secs_f64() * times.len() as f64;
        let bookable = capacity.slots * SLOT_SHARE * (HORIZON + STEP).as_secs_f64();
        assert!(all <= bookable + slot_time.as_secs_f64(), "{all} of {bookable}");
    }
}

#[test]
fn places_are_reserved_while_they_are_due_but_not_against_more_urgent_callers() {
    let capacity = capacity(4.0, 10_000.0);
    let amount = Amount { slot_time: ms(50), memory: 10 };
    let demand = Demand { amount, hold: ms(300) };
    let mut calendar = Calendar::default();
    let (time, bookings) =
        first_fit(&[(&calendar, demand, &capacity)], 1, ms(2_000), HORIZON).expect("an empty pool");
    calendar.book(bookings[0]);
    let none = Amount::default();
    assert_eq!(calendar.reserved(1, time - MEMORY_LEAD - STEP), none, "not due yet");
    let memory = Amount { slot_time: ms(0), memory: 10 };
    assert_eq!(calendar.reserved(1, time - LEAD - STEP), memory, "results are kept for long");
    assert_eq!(calendar.reserved(1, time), amount);
    assert_eq!(calendar.reserved(2, time), amount);
    assert_eq!(calendar.reserved(0, time), none);
    calendar.mark_used(bookings[0]);
    assert_eq!(calendar.reserved(1, time), none);
}

#[test]
fn released_places_leave_no_rest_in_the_totals() {
    let capacity = capacity(1.0, 1_000.0);
    let mut calendar = Calendar::default();
    let all = |calendar: &mut Calendar| {
        let mut bookings = Vec::new();
        let demand = Demand { amount: Amount { slot_time: ms(77), memory: 7 }, hold: ms(333) };
        while let Some((_, booked)) = first_fit(&[(calendar, demand, &capacity)], 1, ms(0), HORIZON)
        {
            calendar.book(booked[0]);
            bookings.push(booked[0]);
        }
        bookings
    };
    let first = all(&mut calendar);
    first.iter().for_each(|booking| calendar.release(*booking));
    assert_eq!(calendar.reserved(9, HORIZON), Amount::default());
    assert_eq!(all(&mut calendar), first);
}

#[test]
fn fair_shares_are_max_min_fair() {
    assert!(fair_share(vec![0.2, 0.3], 1.0).is_infinite(), "all get what they want");
    let close = |share: f64, expected: f64| (share - expected).abs() < 1e-9;
    assert!(close(fair_share(vec![5.0, 0.2], 1.0), 0.8), "the rest is not left unused");
    assert!(close(fair_share(vec![5.0, 0.4, 5.0], 1.0), 1.0 / 3.0));
}

/// Load: one organisation sends eight times as much as each of three others.
#[test]
fn an_organisation_with_a_burst_leaves_the_places_of_others() {
    let mut shares: Shares<u8> = Shares::default();
    let mut booked = [0.0; 4];
    for round in 0..100 {
        for organisation in 0..4 {
            let requests = if organisation == 0 { 8 } else { 1 };
            for _ in 0..requests {
                if shares.request(&organisation, 0.002, HORIZON, ms(10 * round)) {
                    shares.book(&organisation, 0.002);
                    booked[usize::from(organisation)] += 0.002;
                }
            }
        }
    }
    assert!(booked[1..].iter().all(|b| *b > 0.19), "they get what they want: {booked:?}");
    assert!(booked[0] <= 0.45, "{booked:?}");
}
