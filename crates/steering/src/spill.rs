//! How much traffic goes to which data centre.
