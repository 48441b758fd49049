//! Admits requests within the limits of their workspace.

use crate::authorise::Grant;
use crate::receive::Call;
use steering::attempt::Refusal;

/// Admission of requests, with the state of all workspaces.
#[derive(Debug, Default)]
pub struct Admission {}

impl Admission {
    /// Waits until the request may start.
    ///
    /// # Errors
    ///
    /// Returns why the request is refused.
    pub async fn admit(&self, _call: &Call, _grant: &Grant<'_>) -> Result<(), Refusal> {
        Ok(())
    }
}
