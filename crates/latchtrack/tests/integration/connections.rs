//! The bound of connections.

use latchtrack_emulator::*;

use crate::fixtures::ready;

/// As many connections as the settings allow are kept, and stay of use; the next are told at once
/// to come back, and once some are gone others have their places.
#[actix_web::test]
async fn connections_beyond_the_bound_are_refused_and_the_others_go_on() {
    use std::io::{Read, Write};
    let site = site();
    let node = site.start_node("one").await;
    ready(&node).await;
    let at = node.strip_prefix("http://").unwrap().to_string();
    let rounds = actix_web::rt::task::spawn_blocking(move || {
        let ask = |c: &mut std::net::TcpStream| {
            let mut answer = vec![0; 4096];
            c.set_read_timeout(Some(std::time::Duration::from_secs(30))).unwrap();
            c.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
            let n = c.read(&mut answer).unwrap();
            String::from_utf8_lossy(&answer[..n]).to_string()
        };
        let open = || std::net::TcpStream::connect(&at).unwrap();
        let mut kept: Vec<_> = Vec::new();
        // The settings allow 200 sockets.
        let refused = loop {
            assert!(kept.len() < 200, "no bound");
            let mut c = open();
            let answer = ask(&mut c);
            if !answer.starts_with("HTTP/1.1 200") {
                break answer;
            }
            kept.push(c);
        };
        let on: Vec<String> = kept.iter_mut().map(ask).collect();
        let many = kept.len();
        kept.truncate(many / 2);
        // Places are free once the node has seen the ends.
        let again = (0..1_000).map(|_| ask(&mut open())).find(|a| a.starts_with("HTTP/1.1 200"));
        (refused, on, many, again)
    });
    let (refused, on, many, again) = rounds.await.unwrap();
    assert!(refused.starts_with("HTTP/1.1 503") && refused.contains("Retry-After: 1"), "{refused}");
    assert!(on.iter().all(|a| a.starts_with("HTTP/1.1 200")), "those that were there go on");
    assert!(many > 100, "{many}");
    assert!(again.is_some(), "others have their places");
}
