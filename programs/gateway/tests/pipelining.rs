//! Further requests that a caller has sent before the first is answered.

#[path = "pipelining/backend.rs"]
mod backend;
#[path = "pipelining/caller.rs"]
mod caller;
#[allow(dead_code, reason = "other tests use the rest of the site")]
mod site;

use adapter::call::READINESS;
use backend::Event;
use caller::{Caller, Kind, Request, number, texts};
use gateway::answer_memory::{AHEAD_BYTES, AnswerMemory, Settings};
use hyper::StatusCode;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use site::{metric, wait_until};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;

/// Seeds of the random streams.
const SEEDS: u64 = 60;
/// Time for which servers work on a request where its end is not decided by the test.
const WORK: Duration = Duration::from_millis(20);

/// Guards against pipelined reads that wait for each other, and against answers in the order of the
/// servers.
#[rstest]
#[case::two(2)]
#[case::eight(8)]
#[tokio::test]
async fn pipelined_reads_run_side_by_side(#[case] count: usize) {
    let (_site, backend, gateway) = backend::site().await;
    let mut caller = Caller::connect(&gateway).await;
    caller.send(&number(&vec![Kind::Read; count])).await;
    wait_until("all run", || async { backend.arrived().len() == count }).await;
    for id in (1..=count).rev() {
        backend.finish(&id.to_string());
        backend.wait(Event::Answered(id.to_string())).await;
    }
    for id in 1..=count {
        let answer = caller.answer().await.expect("an answer");
        assert_eq!((answer.status, answer.body), (200, format!("{id}:")));
    }
    assert_eq!(
        metric(&gateway, "gateway_pipelined_started_total").await,
        count as u64 - 1
    );
    assert_eq!(
        metric(&gateway, "gateway_pipelined_depth_count").await,
        count as u64 - 1
    );
}

/// Guards against a ninth request that is started behind eight that wait.
#[tokio::test]
async fn number_of_requests_ahead_is_bounded() {
    let (_site, backend, gateway) = backend::site().await;
    let mut caller = Caller::connect(&gateway).await;
    caller.send(&number(&[Kind::Read; 10])).await;
    wait_until("nine run", || async { backend.arrived().len() == 9 }).await;
    backend.finish("1");
    assert!(caller.answer().await.is_some());
    wait_until("the tenth runs", || async { backend.arrived().len() == 10 }).await;
    let first = backend.position(&Event::Answered("1".into()));
    assert!(first < backend.position(&Event::Arrived("10".into())));
}

/// Guards against a request that may run only once, or a read behind it, that is started before the
/// requests in front of it are answered.
#[rstest]
#[case::without_body(Kind::Once)]
#[case::length(Kind::Sized(20))]
#[case::chunked(Kind::Chunked(20))]
#[tokio::test]
async fn others_run_at_their_turn(#[case] between: Kind) {
    let (_site, backend, gateway) = backend::site().await;
    backend.finish_all(WORK);
    let mut caller = Caller::connect(&gateway).await;
    let kinds = [Kind::Read, Kind::Read, between, Kind::Read, Kind::Read];
    let requests = number(&kinds);
    caller.send(&requests).await;
    for request in &requests {
        let answer = caller.answer().await.expect("an answer");
        assert_eq!((answer.status, answer.body), (200, request.answer()));
    }
    let at = |event: fn(String) -> Event, id: &str| backend.position(&event(id.into()));
    assert!(at(Event::Arrived, "2") < at(Event::Answered, "1"));
    assert!(at(Event::Answered, "1") < at(Event::Arrived, "3"));
    assert!(at(Event::Answered, "2") < at(Event::Arrived, "3"));
    assert!(at(Event::Answered, "3") < at(Event::Arrived, "4"));
}

/// Guards against a stop that closes the connection before all started requests are answered, and
/// against one that passes on others, which have arrived before or after it began.
#[rstest]
#[case::read(&[], false)]
#[case::behind_others(&[Kind::Once, Kind::Read], false)]
#[case::after_accepting(&[], true)]
#[tokio::test]
async fn stop_answers_what_is_started_and_no_more(
    #[case] behind: &[Kind],
    #[case] has_stopped_accepting: bool,
) {
    let (_site, backend, gateway) = backend::site().await;
    let mut caller = Caller::connect(&gateway).await;
    let kinds = [&[Kind::Read; 3], behind].concat();
    caller.send(&number(&kinds)).await;
    wait_until("three run", || async { backend.arrived().len() == 3 }).await;
    gateway.stop.cancel();
    wait_until("the gateway leaves", || async {
        let answer = site::get(gateway.settings.listen.readiness, READINESS).await;
        answer.is_none_or(|answer| answer.status != StatusCode::OK)
    })
    .await;
    if has_stopped_accepting {
        wait_until("no connection is accepted", || async {
            let connected = TcpStream::connect(gateway.settings.listen.callers).await;
            connected.is_err()
        })
        .await;
    }
    caller
        .send(&[Request {
            id: 6,
            kind: Kind::Read,
        }])
        .await;
    backend.finish_all(WORK);
    for id in 1..=3 {
        let answer = caller.answer().await.expect("an answer");
        assert_eq!((answer.status, answer.body), (200, format!("{id}:")));
        assert_eq!(answer.closes, id == 3);
    }
    assert!(caller.answer().await.is_none());
    assert_eq!(backend.arrived(), ["1", "2", "3"]);
}

/// Guards against requests that go on without their caller, also where the server of HTTP reads no
/// further.
#[rstest]
#[case::three(3)]
#[case::more_than_wait(12)]
#[tokio::test]
async fn requests_end_when_their_caller_leaves(#[case] count: usize) {
    let (_site, backend, gateway) = backend::site().await;
    let mut caller = Caller::connect(&gateway).await;
    caller.send(&number(&vec![Kind::Read; count])).await;
    let running = count.min(9);
    wait_until("all run", || async { backend.arrived().len() == running }).await;
    drop(caller);
    wait_until("all end", || async { backend.dropped() == running }).await;
    assert_eq!(backend.arrived().len(), running);
}

/// Guards against a long answer that fills the memory while it waits for its turn, and against one
/// that is never read to its end.
#[tokio::test]
async fn long_answers_wait_for_their_turn() {
    let (_site, backend, gateway) = backend::site().await;
    let mut caller = Caller::connect(&gateway).await;
    let requests = number(&[Kind::Read, Kind::Long, Kind::Long]);
    caller.send(&requests).await;
    wait_until("all run", || async { backend.arrived().len() == 3 }).await;
    backend.finish("2");
    backend.finish("3");
    backend.wait(Event::Answered("2".into())).await;
    backend.wait(Event::Answered("3".into())).await;
    backend.finish("1");
    for request in &requests {
        let answer = caller.answer().await.expect("an answer");
        assert_eq!((answer.status, answer.body), (200, request.answer()));
    }
}

/// Guards against answers before their turn that take the memory of others.
#[test]
fn answers_ahead_have_a_share_of_the_memory() {
    let settings = Settings::of_memory(112_000_000);
    let memory = Arc::new(AnswerMemory::new(settings));
    let held: Vec<_> = std::iter::from_fn(|| memory.hold_ahead()).collect();
    assert!(held.len() > 32);
    assert!(held.len() * AHEAD_BYTES <= settings.guaranteed_bytes / 4);
    drop(held);
    assert!(memory.hold_ahead().is_some());
}

/// Guards against any split of the bytes, or any cut, that changes an answer, runs a request twice
/// or lets one that may run only once overtake others.
#[tokio::test]
async fn any_split_is_answered_as_one_by_one() {
    let (_site, backend, gateway) = backend::site().await;
    backend.finish_all(Duration::ZERO);
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let count = random.random_range(1..14);
        let kinds: Vec<Kind> = (0..count).map(|_| Kind::any(&mut random)).collect();
        let requests = number(&kinds);
        let mut bytes = texts(&requests);
        if random.random_bool(0.3) {
            bytes.truncate(random.random_range(1..bytes.len()));
        }
        let mut ends = requests.iter().scan(0, |end, request| {
            *end += request.text().len();
            Some(*end)
        });
        let complete = ends.by_ref().take_while(|end| *end <= bytes.len()).count();
        let complete = &requests[..complete];
        backend.forget();
        let mut expected = Vec::new();
        for request in complete {
            let mut alone = Caller::connect(&gateway).await;
            alone.send(std::slice::from_ref(request)).await;
            expected.push(alone.answer().await.expect("an answer"));
        }
        let ran_alone = backend.arrived();
        backend.forget();
        let mut caller = Caller::connect(&gateway).await;
        caller.send_split(&bytes, &mut random).await;
        for (request, expected) in complete.iter().zip(expected) {
            let answer = caller.answer().await;
            assert_eq!(
                answer,
                Some(expected),
                "seed {seed}, {request:?} of {kinds:?}"
            );
        }
        let mut ran = backend.arrived();
        let once = |ids: &[String]| -> Vec<String> {
            let runs_once =
                |id: &&String| requests[id.parse::<usize>().expect("a number") - 1].is_ordered();
            ids.iter().filter(runs_once).cloned().collect()
        };
        assert_eq!(once(&ran), once(&ran_alone), "seed {seed}");
        ran.sort_by_key(|id| id.parse::<usize>().expect("a number"));
        assert_eq!(ran, ran_alone, "seed {seed}");
    }
}

/// Streams that found a fault, or come close to one: the statuses of the answers, the requests that
/// run, and the bytes, with `|` where a read ends and `~` before a line feed without a carriage
/// return.
#[tokio::test]
async fn kept_streams_are_answered_in_order() {
    let (_site, backend, gateway) = backend::site().await;
    backend.finish_all(WORK);
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/corpus/pipelining");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).expect("the corpus") {
        let path = entry.expect("an entry").path();
        let text = std::fs::read_to_string(&path).expect("a stream");
        let (statuses, rest) = text.split_once('\n').expect("statuses");
        let (ids, stream) = rest.split_once('\n').expect("ids");
        let stream = caller::with_names(&stream.replace('\n', "\r\n").replace("~\r", ""));
        backend.forget();
        let mut caller = Caller::connect(&gateway).await;
        for piece in stream.split('|') {
            caller.send_piece(piece.as_bytes()).await;
        }
        for status in statuses.split(' ') {
            let answer = caller
                .answer()
                .await
                .map(|answer| answer.status.to_string());
            assert_eq!(answer.as_deref(), Some(status), "{path:?}");
        }
        let mut ran = backend.arrived();
        ran.sort();
        assert_eq!(ran.join(" "), ids, "{path:?}");
        count += 1;
    }
    assert!(count >= 12);
}
