//! Text form of a metrics registry.

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

/// Media type of the text form (OpenMetrics 1.0).
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Encodes all metrics of `registry` as OpenMetrics text.
pub fn text(registry: &Registry) -> Box<str> {
    let mut out = String::new();
    // Formatting into a `String` can't fail.
    let _ = encode(&mut out, registry);
    out.into()
}
