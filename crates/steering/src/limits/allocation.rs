//! Max-min fair allocation of the elastic rate over reported demand.

use super::{Allocation, Amount};

/// Divisor of the rate that gives the minimum weight in the division of surplus capacity.
const MIN_WEIGHT_DIVISOR: Amount = 200;

/// Divides `rate` max-min fairly over `demands`; no share exceeds its demand.
pub fn max_min(rate: Amount, demands: &[Amount]) -> Vec<Amount> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|&index| demands[index]);
    let mut shares = vec![0; demands.len()];
    let mut remaining = rate;
    for (position, &index) in order.iter().enumerate() {
        let equal = remaining / (order.len() - position) as Amount;
        shares[index] = demands[index].min(equal);
        remaining -= shares[index];
    }
    shares
}

fn proportion(whole: Amount, part: Amount, total: Amount) -> Amount {
    let share = u128::from(whole) * u128::from(part) / u128::from(total.max(1));
    Amount::try_from(share).unwrap_or(Amount::MAX)
}

/// Divides an elastic part max-min fairly over the demands beyond `floor`, and the surplus in
/// proportion to them.
///
/// Bursts are proportional to rates. The results sum to at most `elastic`.
pub fn divide(elastic: Allocation, floor: Allocation, demands: &[Amount]) -> Vec<Allocation> {
    let excess_demands: Vec<Amount> = demands
        .iter()
        .map(|demand| demand.saturating_sub(floor.rate))
        .collect();
    let shares = max_min(elastic.rate, &excess_demands);
    let surplus = elastic.rate - shares.iter().sum::<Amount>();
    let weight = |excess: Amount| excess.saturating_add(elastic.rate / MIN_WEIGHT_DIVISOR);
    let total: Amount = excess_demands.iter().map(|&excess| weight(excess)).sum();
    shares
        .iter()
        .zip(&excess_demands)
        .map(|(&share, &excess)| {
            let rate = share + proportion(surplus, weight(excess), total);
            Allocation {
                rate,
                burst: proportion(elastic.burst, rate, elastic.rate),
            }
        })
        .collect()
}
