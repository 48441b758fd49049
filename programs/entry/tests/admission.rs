//! Fair queue of a service with waiting futures.

use entry::admission::queue::ServiceQueue;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use steering::attempt::Refusal;

fn far() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

/// Guards against queued requests of callers that have left: they would fill the workspace's queue.
#[tokio::test]
async fn caller_that_leaves_gives_up_its_place() {
    let line = Arc::new(ServiceQueue::default());
    let slot = line.acquire("toubkal", "".into(), 1, far()).await;
    for _ in 0..1000 {
        let wait = line.acquire("toubkal", "".into(), 1, far());
        let left = tokio::time::timeout(Duration::ZERO, wait).await;
        assert!(left.is_err(), "the only slot is taken");
    }
    let next = {
        let line = line.clone();
        tokio::spawn(async move { line.acquire("toubkal", "".into(), 1, far()).await })
    };
    tokio::task::yield_now().await;
    drop(slot);
    assert!(next.await.expect("no panic").is_ok());
}

/// Guards against a slot that is lost when its caller leaves at the moment of the start.
#[tokio::test]
async fn slot_of_a_caller_that_left_is_free_again() {
    let line = Arc::new(ServiceQueue::default());
    for _ in 0..100 {
        let slot = line.acquire("toubkal", "".into(), 1, far()).await;
        let mut wait = Box::pin(line.acquire("toubkal", "".into(), 1, far()));
        assert!(futures::poll!(&mut wait).is_pending());
        // The slot passes to the waiting request, which is dropped before it is polled again.
        drop(slot);
        drop(wait);
    }
    assert!(line.acquire("toubkal", "".into(), 1, far()).await.is_ok());
}

/// Guards against requests that take a slot although they can't finish.
#[tokio::test]
async fn request_without_time_left_is_shed() {
    let line = Arc::new(ServiceQueue::default());
    let _slot = line.acquire("toubkal", "".into(), 1, far()).await;
    let soon = Instant::now() + Duration::from_millis(30);
    let shed = line.acquire("toubkal", "".into(), 1, soon).await;
    assert_eq!(shed.err(), Some(Refusal::Overloaded));
    let late = line.acquire("toubkal", "".into(), 1, Instant::now()).await;
    assert_eq!(late.err(), Some(Refusal::DeadlinePassed));
}

/// Guards the others against a flood: in order of arrival, all of it would run first.
#[tokio::test]
async fn flood_of_one_workspace_waits_for_itself() {
    const FLOOD: usize = 100;
    let line = Arc::new(ServiceQueue::default());
    let ran = Arc::new(AtomicUsize::new(0));
    for _ in 0..FLOOD {
        let (line, ran) = (line.clone(), ran.clone());
        tokio::spawn(async move {
            let slot = line.acquire("flood", "".into(), 1, far()).await;
            tokio::time::sleep(Duration::from_millis(20)).await;
            ran.fetch_add(1, Ordering::Relaxed);
            drop(slot);
        });
    }
    tokio::task::yield_now().await;
    let slot = line.acquire("toubkal", "".into(), 1, far()).await;
    let before = ran.load(Ordering::Relaxed);
    assert!(slot.is_ok() && before < FLOOD / 2, "{before} ran before");
}
