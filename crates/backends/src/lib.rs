//! Client of backend servers: pooled HTTP/1.1 connections and health probes.
//!
//! Use: keep one [`client::Pool`] per backend server and call [`client::Pool::send`] with the
//! request and its deadline. The answer streams through its body; dropping the future or the body
//! cancels the request by closing its connection. [`client::Failure`] says whether the server may
//! have run the request. [`probe::check`] reads the health and load of a server.

pub mod client;
pub mod probe;
