//! Max-min fair allocation of the elastic rate over reported demand.

use super::{Amount, Part};

/// Fraction of the rate, as a divisor, that is the least weight for a share of what is left over.
const BASE_DIVISOR: Amount = 200;

/// Divides `rate` max-min fairly over `wants`; no result exceeds its want.
pub fn max_min(rate: Amount, wants: &[Amount]) -> Vec<Amount> {
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by_key(|&index| wants[index]);
    let mut shares = vec![0; wants.len()];
    let mut left = rate;
    for (position, &index) in order.iter().enumerate() {
        let equal = left / (order.len() - position) as Amount;
        shares[index] = wants[index].min(equal);
        left -= shares[index];
    }
    shares
}

fn proportion(whole: Amount, part: Amount, total: Amount) -> Amount {
    let share = u128::from(whole) * u128::from(part) / u128::from(total.max(1));
    Amount::try_from(share).unwrap_or(Amount::MAX)
}

/// Divides an elastic part over demands beyond `floor`; the rest goes by demand.
///
/// Bursts follow rates. The results sum to at most `elastic`.
pub fn divide(elastic: Part, floor: Part, demands: &[Amount]) -> Vec<Part> {
    let wants: Vec<Amount> = demands
        .iter()
        .map(|demand| demand.saturating_sub(floor.rate))
        .collect();
    let shares = max_min(elastic.rate, &wants);
    let left = elastic.rate - shares.iter().sum::<Amount>();
    let weight = |want: Amount| want.saturating_add(elastic.rate / BASE_DIVISOR);
    let total: Amount = wants.iter().map(|&want| weight(want)).sum();
    shares
        .iter()
        .zip(&wants)
        .map(|(&share, &want)| {
            let rate = share + proportion(left, weight(want), total);
            Part {
                rate,
                burst: proportion(elastic.burst, rate, elastic.rate),
            }
        })
        .collect()
}
