//! A small HTTP client for tests.

use std::time::Duration;

use serde_json::Value;

/// How long a request may take.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Times that [`poll_until`] asks, and the time between two of them: half a minute in all.
const POLLS: u32 = 600;
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A response: status, `Retry-After`, and the body, null if it is not JSON.
pub type Response = (u16, Option<String>, Value);

/// Sends a request; panics if there is no response.
pub async fn call(method: &str, url: &str, body: Option<&[u8]>) -> Response {
    let client = awc::Client::builder().timeout(REQUEST_TIMEOUT).finish();
    let request = client.request(method.parse().expect("an HTTP method"), url);
    let sent = match body {
        Some(body) => request.send_body(body.to_vec()),
        None => request.send(),
    };
    let no_response = |error: &dyn std::fmt::Display| -> ! { panic!("{method} {url}: {error}") };
    let mut response = sent.await.unwrap_or_else(|error| no_response(&error));
    let retry_after = response.headers().get("retry-after");
    let retry_after = retry_after.map(|value| value.to_str().expect("plain text").to_string());
    let body = response.body().await.unwrap_or_else(|error| no_response(&error));
    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
    (response.status().as_u16(), retry_after, body)
}

/// Posts a JSON body; panics if there is no response.
pub async fn post(url: &str, body: &Value) -> Response {
    call("POST", url, Some(body.to_string().as_bytes())).await
}

/// Gets a URL; panics if there is no response.
pub async fn get(url: &str) -> Response {
    call("GET", url, None).await
}

/// Gets a URL until the response is as wanted; panics with the last one after half a minute.
pub async fn poll_until(what: &str, url: &str, is_wanted: impl Fn(&Response) -> bool) -> Response {
    let mut last = None;
    for _ in 0..POLLS {
        let got = get(url).await;
        if is_wanted(&got) {
            return got;
        }
        last = Some(got);
        actix_web::rt::time::sleep(POLL_INTERVAL).await;
    }
    panic!("{what}: {last:?}");
}
