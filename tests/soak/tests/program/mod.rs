//! Builds the gateway program that the tests start.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// Builds the gateway and returns its path.
pub fn program() -> &'static Path {
    static PROGRAM: OnceLock<PathBuf> = OnceLock::new();
    PROGRAM.get_or_init(|| {
        let test = std::env::current_exe().expect("a test program");
        let target = test.ancestors().nth(2).expect("a target folder");
        let built = Command::new(env!("CARGO"))
            .args(["build", "--quiet", "--package", "gateway"])
            .status();
        assert!(
            built.is_ok_and(|status| status.success()),
            "the gateway does not build"
        );
        target.join("gateway")
    })
}
