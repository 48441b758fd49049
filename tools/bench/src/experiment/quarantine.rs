//! Requests that crash backend servers, sent again.
