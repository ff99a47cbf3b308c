//! A small HTTP client for tests.

use serde_json::Value;

/// An answer: status, `Retry-After`, body.
pub type Got = (u16, Option<String>, Value);

pub async fn call(method: &str, url: &str, body: Option<&[u8]>) -> Got {
    let client = awc::Client::builder().timeout(std::time::Duration::from_secs(20)).finish();
    let request = client.request(method.parse().unwrap(), url);
    let sent = match body {
        Some(b) => request.send_body(b.to_vec()),
        None => request.send(),
    };
    let mut answer = sent.await.unwrap();
    let after = answer.headers().get("retry-after").map(|v| v.to_str().unwrap().to_string());
    let body = answer.body().await.unwrap();
    (answer.status().as_u16(), after, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

pub async fn post(url: &str, body: &Value) -> Got {
    call("POST", url, Some(body.to_string().as_bytes())).await
}

pub async fn get(url: &str) -> Got {
    call("GET", url, None).await
}

/// Asks again until the answer is as wanted; gives up after many tries.
pub async fn until(what: &str, url: &str, good: impl Fn(&Got) -> bool) -> Got {
    let mut last = None;
    for _ in 0..600 {
        let got = get(url).await;
        if good(&got) {
            return got;
        }
        last = Some(got);
        actix_web::rt::time::sleep(std::time::Duration::from_millis(50)).await;
    }
    panic!("{what}: {last:?}");
}
