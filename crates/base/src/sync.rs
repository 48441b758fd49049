//! Locks of shared state.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also after a thread panicked while it held the lock.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
