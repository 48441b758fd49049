//! Resident memory of this process.

/// Page size of the machines that the system runs on, in bytes.
const PAGE_BYTES: usize = 4096;

/// Returns the resident memory in bytes; 0 if the kernel does not report it.
pub fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|field| field.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE_BYTES
}

/// Calls `build` and returns its value and the growth of the resident memory in bytes.
pub fn growth<T>(build: impl FnOnce() -> T) -> (T, f64) {
    let before = resident_bytes();
    let value = build();
    (value, resident_bytes().saturating_sub(before) as f64)
}
