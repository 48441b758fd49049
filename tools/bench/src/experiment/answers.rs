//! At-most-once execution under crashes, resends and lost answers.
