//! Request ids that name the VM to which they were first sent.

use base::id::{Incarnation, Vm};

/// Digest of workspace and request id.
pub type Key = [u8; 16];

/// Hexadecimal digits of an incarnation in an id.
const INCARNATION_DIGITS: usize = 16;

base::value! {
    /// An id of the form `<vm>.<incarnation>.<expires>.<random>`.
    pub struct Id {
        /// VM to which the request is first sent.
        pub vm: Vm,
        /// Incarnation of its entry program.
        pub incarnation: Incarnation,
        /// Wall-clock seconds since the Unix epoch after which the id is not run.
        pub expires: u64,
    }
}

impl Id {
    /// Parses an id; none if it doesn't have this form.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.rsplitn(4, '.');
        let random = parts.next()?;
        let expires = u64::from_str_radix(parts.next()?, 16).ok()?;
        let digits = parts.next()?;
        let incarnation = Incarnation::from_str_radix(digits, 16).ok()?;
        let vm = parts.next()?;
        let valid = !vm.is_empty() && !random.is_empty() && digits.len() == INCARNATION_DIGITS;
        valid.then(|| Self {
            vm: vm.into(),
            incarnation,
            expires,
        })
    }
}

/// Returns the id prefix that callers receive with an entry lookup answer.
pub fn prefix(vm: &str, incarnation: Incarnation, expires: u64) -> Box<str> {
    format!("{vm}.{incarnation:016x}.{expires:x}.").into()
}

/// Returns the digest by which an id is stored.
pub(super) fn key(workspace: &str, request: &str) -> Key {
    let mut hasher = blake3::Hasher::new();
    // The length distinguishes `a` + `bc` from `ab` + `c`.
    hasher.update(&(workspace.len() as u64).to_le_bytes());
    hasher.update(workspace.as_bytes());
    hasher.update(request.as_bytes());
    let mut key = Key::default();
    hasher.finalize_xof().fill(&mut key);
    key
}
