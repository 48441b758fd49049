//! Life cycle of one request, by which the reported outcome is always true.
