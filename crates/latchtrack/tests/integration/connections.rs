//! The limit on open connections.

use latchtrack_emulator::*;

use crate::fixtures::wait_until_ready;

/// Connections up to the limit stay usable. Further ones get 503 with `Retry-After` immediately,
/// until some of the open connections are closed.
#[actix_web::test]
async fn excess_connections_get_503_and_open_ones_stay_usable() {
    use std::io::{Read, Write};
    let site = site();
    let node = site.start_node("one").await;
    wait_until_ready(&node).await;
    let addr = node.strip_prefix("http://").unwrap().to_string();
    let client = actix_web::rt::task::spawn_blocking(move || {
        let request = |stream: &mut std::net::TcpStream| {
            let mut response = vec![0; 4096];
            stream.set_read_timeout(Some(std::time::Duration::from_secs(30))).unwrap();
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
            let n = stream.read(&mut response).unwrap();
            String::from_utf8_lossy(&response[..n]).to_string()
        };
        let open = || std::net::TcpStream::connect(&addr).unwrap();
        let mut open_streams: Vec<_> = Vec::new();
        // The settings allow 200 sockets.
        let refused = loop {
            assert!(open_streams.len() < 200, "connections are not limited");
            let mut stream = open();
            let response = request(&mut stream);
            if !response.starts_with("HTTP/1.1 200") {
                break response;
            }
            open_streams.push(stream);
        };
        let repeated: Vec<String> = open_streams.iter_mut().map(request).collect();
        let limit = open_streams.len();
        open_streams.truncate(limit / 2);
        // The node accepts new connections once it has noticed that others were closed.
        let accepted = (0..1_000)
            .map(|_| request(&mut open()))
            .find(|response| response.starts_with("HTTP/1.1 200"));
        (refused, repeated, limit, accepted)
    });
    let (refused, repeated, limit, accepted) = client.await.unwrap();
    assert!(refused.starts_with("HTTP/1.1 503") && refused.contains("Retry-After: 1"), "{refused}");
    let is_ok = |response: &String| response.starts_with("HTTP/1.1 200");
    assert!(repeated.iter().all(is_ok), "open connections stay usable");
    assert!(limit > 100, "{limit}");
    assert!(accepted.is_some(), "no connection is accepted after others were closed");
}
