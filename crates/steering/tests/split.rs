//! Traffic split of a route.

use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use steering::split::Split;

proptest! {
    /// Guards against shares that deviate from their weights over any number of requests.
    #[test]
    fn shares_keep_their_weights(
        weights in prop::collection::vec(0_u32..1_000, 1..5),
        requests in 1_usize..2_000,
        seed: u64,
    ) {
        let total: u32 = weights.iter().sum();
        let mut split = Split::new(&weights, &mut StdRng::seed_from_u64(seed));
        let mut counts = vec![0_u32; weights.len()];
        for _ in 0..requests {
            match split.next(&weights) {
                Some(index) => counts[index] += 1,
                None => prop_assert_eq!(total, 0),
            }
        }
        if total > 0 {
            for (count, weight) in counts.iter().zip(&weights) {
                let exact = requests as f64 * f64::from(*weight) / f64::from(total);
                // One request a service, and one for the random start.
                prop_assert!((f64::from(*count) - exact).abs() <= weights.len() as f64 + 1.0);
                prop_assert!(*weight > 0 || *count == 0);
            }
        }
    }
}
