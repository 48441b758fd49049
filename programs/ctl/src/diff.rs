//! Differences between two sets of steering files.

use operators::bundle::Files;

base::message! {
    /// Difference of one file.
    pub struct Change {
        /// File name.
        pub file: Box<str>,
        /// Lines that are only in the version in force.
        pub removed: Vec<Box<str>>,
        /// Lines that are only in the new files.
        pub added: Vec<Box<str>>,
    }
}

/// Returns the files that differ, with their lines.
pub fn changes(old: &Files, new: &Files) -> Vec<Change> {
    let names = old
        .keys()
        .chain(new.keys().filter(|name| !old.contains_key(*name)));
    let text = |files: &Files, name: &str| files.get(name).cloned().unwrap_or_default();
    names
        .filter(|name| old.get(*name) != new.get(*name))
        .map(|name| change(name, &text(old, name), &text(new, name)))
        .collect()
}

fn change(file: &str, old: &str, new: &str) -> Change {
    let (old, new): (Vec<&str>, Vec<&str>) = (old.lines().collect(), new.lines().collect());
    let common = common_lines(&old, &new);
    let only = |lines: &[&str], side: fn(&(usize, usize)) -> usize| {
        let shared: Vec<usize> = common.iter().map(side).collect();
        let kept = lines
            .iter()
            .enumerate()
            .filter(|(i, _)| !shared.contains(i));
        kept.map(|(_, line)| Box::from(*line)).collect()
    };
    Change {
        file: file.into(),
        removed: only(&old, |p| p.0),
        added: only(&new, |p| p.1),
    }
}

/// Returns the index pairs of a longest common subsequence.
fn common_lines(old: &[&str], new: &[&str]) -> Vec<(usize, usize)> {
    let mut lengths = vec![vec![0_usize; new.len() + 1]; old.len() + 1];
    for i in (0..old.len()).rev() {
        for j in (0..new.len()).rev() {
            lengths[i][j] = if old[i] == new[j] {
                lengths[i + 1][j + 1] + 1
            } else {
                lengths[i + 1][j].max(lengths[i][j + 1])
            };
        }
    }
    let (mut i, mut j, mut pairs) = (0, 0, Vec::new());
    while i < old.len() && j < new.len() {
        if old[i] == new[j] {
            pairs.push((i, j));
            i += 1;
            j += 1;
        } else if lengths[i + 1][j] >= lengths[i][j + 1] {
            i += 1;
        } else {
            j += 1;
        }
    }
    pairs
}
