//! A minimal HTTP client for tests.

use std::time::Duration;

use serde_json::Value;

/// The timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Requests that [`poll_until`] sends before it gives up: 30 s at [`POLL_INTERVAL`].
const POLLS: u32 = 600;
/// Time between two requests of [`poll_until`].
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A response: the status, the `Retry-After` header and the JSON body (null if it is not JSON).
pub type Response = (u16, Option<String>, Value);

/// Sends a request.
///
/// # Panics
///
/// Panics if there is no response.
pub async fn call(method: &str, url: &str, body: Option<&[u8]>) -> Response {
    let client = awc::Client::builder().timeout(REQUEST_TIMEOUT).finish();
    let request = client.request(method.parse().expect("a valid HTTP method"), url);
    let sent = match body {
        Some(body) => request.send_body(body.to_vec()),
        None => request.send(),
    };
    let no_response = |error: &dyn std::fmt::Display| -> ! { panic!("{method} {url}: {error}") };
    let mut response = sent.await.unwrap_or_else(|error| no_response(&error));
    let retry_after = response.headers().get("retry-after");
    let retry_after =
        retry_after.map(|value| value.to_str().expect("an ASCII header value").to_string());
    let body = response.body().await.unwrap_or_else(|error| no_response(&error));
    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
    (response.status().as_u16(), retry_after, body)
}

/// Posts a JSON body. Panics like [`call`].
pub async fn post(url: &str, body: &Value) -> Response {
    call("POST", url, Some(body.to_string().as_bytes())).await
}

/// Requests a URL with GET. Panics like [`call`].
pub async fn get(url: &str) -> Response {
    call("GET", url, None).await
}

/// Requests a URL until the response matches, and returns that response.
///
/// # Panics
///
/// Panics after 30 s, with `condition` and the last response.
pub async fn poll_until(
    condition: &str,
    url: &str,
    is_match: impl Fn(&Response) -> bool,
) -> Response {
    let mut last = None;
    for _ in 0..POLLS {
        let response = get(url).await;
        if is_match(&response) {
            return response;
        }
        last = Some(response);
        actix_web::rt::time::sleep(POLL_INTERVAL).await;
    }
    panic!("timed out waiting for `{condition}`; last response: {last:?}");
}
