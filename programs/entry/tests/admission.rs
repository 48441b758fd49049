//! Fair queue of a service.

use entry::admission::queue::ServiceQueue;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use steering::attempt::Refusal;

fn distant_deadline() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

/// Guards against queued requests of callers that have left, which would fill the workspace's
/// queue.
#[tokio::test]
async fn caller_that_leaves_is_removed_from_the_queue() {
    let line = Arc::new(ServiceQueue::default());
    let slot = line
        .acquire("toubkal", "".into(), 1, distant_deadline())
        .await;
    for _ in 0..1000 {
        let wait = line.acquire("toubkal", "".into(), 1, distant_deadline());
        let left = tokio::time::timeout(Duration::ZERO, wait).await;
        assert!(left.is_err(), "the only slot is taken");
    }
    let next = {
        let line = line.clone();
        tokio::spawn(async move {
            line.acquire("toubkal", "".into(), 1, distant_deadline())
                .await
        })
    };
    tokio::task::yield_now().await;
    drop(slot);
    assert!(next.await.expect("no panic").is_ok());
}

/// Guards against a slot that is lost when its caller leaves just as the slot passes to it.
#[tokio::test]
async fn slot_of_a_caller_that_left_is_freed() {
    let line = Arc::new(ServiceQueue::default());
    for _ in 0..100 {
        let slot = line
            .acquire("toubkal", "".into(), 1, distant_deadline())
            .await;
        let mut wait = Box::pin(line.acquire("toubkal", "".into(), 1, distant_deadline()));
        assert!(futures::poll!(&mut wait).is_pending());
        // The slot passes to the waiting request, which is dropped before it is polled again.
        drop(slot);
        drop(wait);
    }
    assert!(
        line.acquire("toubkal", "".into(), 1, distant_deadline())
            .await
            .is_ok()
    );
}

/// Guards against requests that take a slot although they can't finish before their deadline.
#[tokio::test]
async fn request_that_cannot_finish_in_time_is_refused() {
    let line = Arc::new(ServiceQueue::default());
    let _slot = line
        .acquire("toubkal", "".into(), 1, distant_deadline())
        .await;
    let soon = Instant::now() + Duration::from_millis(30);
    let refused = line.acquire("toubkal", "".into(), 1, soon).await;
    assert_eq!(refused.err(), Some(Refusal::Overloaded));
    let late = line.acquire("toubkal", "".into(), 1, Instant::now()).await;
    assert_eq!(late.err(), Some(Refusal::DeadlinePassed));
}

/// Guards against a workspace whose flood of requests delays the others: in order of arrival, the
/// whole flood would run first.
#[tokio::test]
async fn flood_of_one_workspace_does_not_delay_others() {
    const FLOOD: usize = 100;
    let line = Arc::new(ServiceQueue::default());
    let ran = Arc::new(AtomicUsize::new(0));
    for _ in 0..FLOOD {
        let (line, ran) = (line.clone(), ran.clone());
        tokio::spawn(async move {
            let slot = line
                .acquire("flood", "".into(), 1, distant_deadline())
                .await;
            tokio::time::sleep(Duration::from_millis(20)).await;
            ran.fetch_add(1, Ordering::Relaxed);
            drop(slot);
        });
    }
    tokio::task::yield_now().await;
    let slot = line
        .acquire("toubkal", "".into(), 1, distant_deadline())
        .await;
    let before = ran.load(Ordering::Relaxed);
    assert!(slot.is_ok() && before < FLOOD / 2, "{before} ran before");
}
