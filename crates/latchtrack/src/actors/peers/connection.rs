//! The connections between nodes: one task for each, which reads and writes frames.

use std::net::SocketAddr;
use std::time::Duration;

use actix::prelude::*;
use actix_web::web::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::actors::job_cache::JobCache;
use crate::actors::messages::job_cache::IsServed;
use crate::actors::messages::peers::ForwardedRequestHandler;
use crate::constants::{
    CONNECT_TIMEOUT, FORWARD_TIMEOUT, KEEP_ALIVE_S, MAX_FRAME_BYTES, PEER_QUEUE_CAPACITY,
};
use crate::wire::peers::{decode, encode, Answer, Frame, PeerRequest};

/// By which connection a frame came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FrameSource {
    /// The connection of this index, which this node has opened.
    OwnConnection(usize),
    /// One that another node has opened.
    Accepted,
}

/// A frame of another node.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct FrameReceived {
    /// By which connection it came.
    pub(super) source: FrameSource,
    /// What it says.
    pub(super) frame: Frame,
}

type FrameStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Whether a connection can be used on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    Usable,
    Broken,
}

fn framed(stream: TcpStream) -> FrameStream {
    let _ = stream.set_nodelay(true);
    let codec = LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
    Framed::new(stream, codec)
}

/// Sends a frame in bounded time.
async fn send_frame(stream: &mut FrameStream, frame: &Frame) -> ConnectionState {
    let Ok(bytes) = encode(frame) else {
        tracing::error!("frame can't be encoded");
        return ConnectionState::Usable;
    };
    let sent = tokio::time::timeout(CONNECT_TIMEOUT, stream.send(Bytes::from(bytes)));
    match sent.await {
        Ok(Ok(())) => ConnectionState::Usable,
        _ => ConnectionState::Broken,
    }
}

/// Connects to another node whenever there is something to send, and hears its answers.
pub(super) async fn maintain_connection(
    index: usize,
    addr: SocketAddr,
    mut frames: mpsc::Receiver<Frame>,
    received: Recipient<FrameReceived>,
) {
    loop {
        // Nothing is kept for a node that is away: what waits is old by the time it is back.
        let Some(first) = frames.recv().await else { return };
        let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
        let Some(mut stream) = connect.await.ok().and_then(Result::ok).map(framed) else {
            continue;
        };
        if send_frame(&mut stream, &first).await == ConnectionState::Broken {
            continue;
        }
        loop {
            tokio::select! {
                frame = frames.recv() => {
                    let Some(frame) = frame else { return };
                    if send_frame(&mut stream, &frame).await == ConnectionState::Broken {
                        break;
                    }
                }
                bytes = stream.next() => {
                    let Some(Ok(bytes)) = bytes else { break };
                    let Some(frame) = decode(&bytes) else { break };
                    let source = FrameSource::OwnConnection(index);
                    received.do_send(FrameReceived { source, frame });
                }
            }
        }
    }
}

/// Asks one node one thing, from outside of the service; None if it does not answer in time.
pub async fn request_once(addr: SocketAddr, request: PeerRequest) -> Option<Answer> {
    let answer = async {
        let mut stream = framed(TcpStream::connect(addr).await.ok()?);
        let sent = send_frame(&mut stream, &Frame::Request { id: 1, request }).await;
        if sent == ConnectionState::Broken {
            return None;
        }
        match decode(&stream.next().await?.ok()?)? {
            Frame::Answer { answer, .. } => Some(answer),
            _ => None,
        }
    };
    tokio::time::timeout(FORWARD_TIMEOUT, answer).await.ok().flatten()
}

/// Serves a connection that another node has opened. Requests are answered side by side, as many
/// as the queue of answers holds; more are dropped, and their sender answers for itself.
pub(super) async fn serve_connection(
    stream: TcpStream,
    received: Recipient<FrameReceived>,
    cache: Addr<JobCache>,
    handler: ForwardedRequestHandler,
) {
    let mut stream = framed(stream);
    let (answers, mut ready) = mpsc::channel(PEER_QUEUE_CAPACITY);
    let idle_timeout = Duration::from_secs(KEEP_ALIVE_S);
    loop {
        let bytes = tokio::select! {
            answer = ready.recv() => {
                let Some(answer) = answer else { return };
                if send_frame(&mut stream, &answer).await == ConnectionState::Broken {
                    return;
                }
                continue;
            }
            bytes = tokio::time::timeout(idle_timeout, stream.next()) => bytes,
        };
        let Ok(Some(Ok(bytes))) = bytes else { return };
        match decode(&bytes) {
            Some(Frame::Request { id, request }) => {
                if let Ok(slot) = answers.clone().try_reserve_owned() {
                    let answer = handler(request);
                    actix_rt::spawn(async move {
                        slot.send(Frame::Answer { id, answer: answer.await });
                    });
                }
            }
            // Answered by this node's health, on the same connection.
            Some(Frame::Health { .. }) => {
                let store = cache.send(IsServed).await.unwrap_or(false);
                let health = Frame::Health { store };
                if send_frame(&mut stream, &health).await == ConnectionState::Broken {
                    return;
                }
            }
            Some(frame) => received.do_send(FrameReceived { source: FrameSource::Accepted, frame }),
            None => {
                tracing::debug!("frame of another node can't be decoded");
                return;
            }
        }
    }
}
