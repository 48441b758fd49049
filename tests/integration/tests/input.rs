//! Invalid input on every port must get a clear error or a closed connection, at a bounded cost.

use bench::topology::{ATLAS, Deployment};
use integration::{Fleet, wait_until};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const NODE: Deployment = Deployment {
    nodes: 1,
    services: &[],
    ..ATLAS
};

/// Timeout of a read; it only ends tests that hang and is no bound of the system.
const READ_TIMEOUT: Duration = Duration::from_secs(15);

/// Sends bytes and returns the answer up to the expected text or the end of the connection.
async fn exchange(address: SocketAddr, bytes: &[u8], expected: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    // The server may close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let (mut answer, mut buffer) = (String::new(), [0; 4096]);
    while !answer.contains(expected) {
        let read = tokio::time::timeout(READ_TIMEOUT, stream.read(&mut buffer)).await;
        match read {
            Ok(Ok(count @ 1..)) => answer += &String::from_utf8_lossy(&buffer[..count]),
            _ => break,
        }
    }
    answer
}

async fn start(port: u16) -> Fleet {
    let fleet = Fleet::start(NODE, port);
    fleet.publish("vm-01", "atlas").await;
    let entry = fleet.address("vm-01-entry", "listen");
    wait_until("the entry has the configuration", async || {
        exchange(
            entry,
            b"GET /lookup/permits HTTP/1.1\r\nconnection: close\r\n\r\n",
            " 401 ",
        )
        .await
        .contains(" 401 ")
    })
    .await;
    fleet
}

/// Guards against unbounded reads and against answers that don't name the error.
#[tokio::test(flavor = "multi_thread")]
async fn entry_refuses_bad_requests() {
    let fleet = start(23_000).await;
    let entry = fleet.address("vm-01-entry", "listen");
    let huge = "x".repeat(20 * 1024);
    let cases = [
        (format!("GET / HTTP/1.1\r\nx-huge: {huge}\r\n\r\n"), " 431 "),
        ("nonsense\r\n\r\n".into(), " 400 "),
        (
            "GET /absent/x HTTP/1.1\r\nconnection: close\r\n\r\n".into(),
            "not-run: no-route",
        ),
        (
            "GET /lookup/permits HTTP/1.1\r\nconnection: close\r\n\r\n".into(),
            "not-run: unauthorised",
        ),
        (
            "GET /lookup/permits HTTP/1.1\r\nconnection: close\r\nauthorization: Basic x\r\n\r\n".into(),
            "invalid",
        ),
        (
            "GET /lookup/permits HTTP/1.1\r\nconnection: close\r\nx-deadline-ms: soon\r\n\r\n".into(),
            "invalid",
        ),
        (
            "POST /booking/bookings HTTP/1.1\r\nconnection: close\r\ncontent-length: 9000000\r\n\r\n".into(),
            "too-large",
        ),
    ];
    for (request, expected) in cases {
        let answer = exchange(entry, request.as_bytes(), expected).await;
        let head: String = request.chars().take(80).collect();
        assert!(answer.contains(expected), "{head:?} got {answer:?}");
    }
}

/// Guards against a malformed or oversized frame that stops a process.
#[rstest]
#[case::oversized(&[0xff, 0xff, 0xff, 0xff, 0, 0], 23_200)]
#[case::malformed(&[0, 0, 0, 4, 0xff, 0xff, 0xff, 0xff], 23_220)]
#[case::cut_short(&[0, 0, 1, 0, 1], 23_240)]
#[tokio::test(flavor = "multi_thread")]
async fn control_survives_bad_frames(#[case] bytes: &[u8], #[case] port: u16) {
    let fleet = start(port).await;
    let local = fleet.address("vm-01-control", "local");
    let mut stream = TcpStream::connect(local).await.expect("a connection");
    stream.write_all(bytes).await.expect("bytes sent");
    stream.shutdown().await.expect("sending side closed");
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    assert!(
        answer.is_empty(),
        "the connection is closed without an answer"
    );
    let status = fleet
        .admin("vm-01")
        .status()
        .await
        .expect("control still answers");
    assert_eq!(status.version, 1);
}

/// Guards against administration calls without the administration credential.
#[tokio::test(flavor = "multi_thread")]
async fn admin_needs_its_credential() {
    let fleet = start(23_260).await;
    let admin = fleet.address("vm-01-control", "admin");
    let key = fleet.issue_key("vm-01", "toubkal").await.key;
    for credential in [
        "",
        "authorization: Bearer wrong\r\n",
        &format!("authorization: Bearer {key}\r\n"),
    ] {
        let request =
            format!("GET /admin/status HTTP/1.1\r\nconnection: close\r\n{credential}\r\n");
        let answer = exchange(admin, request.as_bytes(), " 401 ").await;
        assert!(answer.contains(" 401 "), "{credential:?} got {answer:?}");
    }
}
