//! Placeholder; the program's library follows.

fn main() {}
