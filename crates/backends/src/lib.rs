//! Scaffold of the package.
