//! Scaffold of the program.

fn main() {}
