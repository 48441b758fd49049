//! Versions that were rolled back, in any sequence of orders.

use base::id::Label;
use proptest::prelude::*;
use steering::takeover::Withdrawn;

/// What happens to versions: ordered, rolled back, and without servers.
#[derive(Debug, Clone, Copy)]
enum Event {
    Order(u8),
    RollBack(u8),
    Gone(u8),
}

proptest! {
    /// Guards against a version that serves again although it was rolled back, or that stays out of
    /// use although it was ordered again or all its servers are new, in any sequence of orders.
    #[test]
    fn version_is_withdrawn_from_its_end_to_its_next_order(
        events in prop::collection::vec((0..3u8, 0..4u8), 0..40),
    ) {
        let service = "lookup".into();
        let label = |version: u8| -> Label { format!("v{version}").into() };
        let mut withdrawn = Withdrawn::default();
        let mut model = [false; 4];
        for (kind, version) in events {
            let event = [Event::Order, Event::RollBack, Event::Gone][usize::from(kind)](version);
            match event {
                Event::Order(version) => withdrawn.order("lookup", &label(version)),
                Event::RollBack(version) => {
                    withdrawn.withdraw(&service, &label(version));
                }
                Event::Gone(version) => withdrawn.retain(|_, other| *other != label(version)),
            }
            model[usize::from(version)] = matches!(event, Event::RollBack(_));
            let labels = withdrawn.labels("lookup");
            for version in 0..4 {
                prop_assert_eq!(labels.contains(&label(version)), model[usize::from(version)]);
            }
        }
    }
}
