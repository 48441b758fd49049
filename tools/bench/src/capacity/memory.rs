//! Resident memory of this process.

/// Bytes of a page on the machines that the system runs on.
const PAGE_BYTES: usize = 4096;

/// Returns the resident memory in bytes; 0 where the kernel does not tell it.
pub fn resident() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Returns the value that `build` makes and the growth of the resident memory in bytes.
pub fn growth<T>(build: impl FnOnce() -> T) -> (T, f64) {
    let before = resident();
    let value = build();
    (value, resident().saturating_sub(before) as f64)
}
