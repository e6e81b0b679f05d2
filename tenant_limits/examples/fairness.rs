//! The share that each of 1,000 tenants gets beside one that floods, in virtual time, with limits and without:
//! `cargo run --release -p ternpick-tenant-limits --example fairness`.

use std::collections::VecDeque;

use ternpick::types::{CustomerNo, Micros};
use ternpick_tenant_limits::{Limits, Terms, Whole};

const TENANTS: u16 = 1000;
/// What there is: so many lookups in hand, each for 10 ms, so 10,000 a second.
const ROOM: usize = 100;
const TAKES_MS: u64 = 10;
const RUN_MS: u64 = 20_000;

fn main() {
    println!("| floods at, times a fair share | limits | least and mean share of the others | flooding one gets, a second |");
    for times in [1usize, 10, 100, 1000] {
        for limited in [false, true] {
            // A fair share is 10 a second, and the others ask just that.
            let (mut got, mut asked) = (
                vec![0u64; usize::from(TENANTS)],
                vec![0u64; usize::from(TENANTS)],
            );
            let terms = Terms {
                weight: 1.0,
                in_hand: 100_000,
                per_second: 1e9,
                burst: 1e9,
                repeats: 1.0,
            };
            let mut limits = Limits::new(
                vec![terms; usize::from(TENANTS)],
                Whole {
                    begins: ROOM,
                    least: ROOM,
                    most: ROOM,
                },
            );
            let (mut out, mut owed): (VecDeque<(u64, u16)>, f64) = (VecDeque::new(), 0.0);
            for ms in 0..RUN_MS {
                while out.front().is_some_and(|(end, _)| *end <= ms) {
                    let Some((_, tenant)) = out.pop_front() else {
                        break;
                    };
                    limits.release(
                        Micros(ms * 1000),
                        CustomerNo(tenant),
                        Micros(TAKES_MS * 1000),
                        false,
                    );
                }
                owed += times as f64 * 0.01;
                let flood = owed as usize;
                owed -= flood as f64;
                let others = (1..TENANTS).filter(|of| (ms + u64::from(*of)).is_multiple_of(100));
                for tenant in std::iter::repeat_n(0, flood).chain(others) {
                    asked[usize::from(tenant)] += 1;
                    let room = if limited {
                        limits
                            .admit(Micros(ms * 1000), CustomerNo(tenant), false)
                            .is_ok()
                    } else {
                        out.len() < ROOM
                    };
                    if room {
                        got[usize::from(tenant)] += 1;
                        out.push_back((ms + TAKES_MS, tenant));
                    }
                }
            }
            let shares: Vec<f64> = (1..usize::from(TENANTS))
                .map(|at| got[at] as f64 / asked[at].max(1) as f64)
                .collect();
            let least = shares.iter().copied().fold(f64::MAX, f64::min);
            let mean = shares.iter().sum::<f64>() / shares.len() as f64;
            let flooding = got[0] as f64 / (RUN_MS as f64 / 1000.0);
            println!("| {times} | {limited} | {least:.3}, {mean:.3} | {flooding:.0} |");
        }
    }
}
