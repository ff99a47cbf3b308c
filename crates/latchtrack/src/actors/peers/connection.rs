//! The connections between nodes. One task for each connection reads and writes frames.

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

/// The connection on which a frame was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FrameSource {
    /// A connection opened by this node, with its index.
    OwnConnection(usize),
    /// A connection opened by another node.
    Accepted,
}

/// Reports a frame from another node.
#[derive(Message)]
#[rtype(result = "()")]
pub(super) struct FrameReceived {
    /// The connection on which the frame was received.
    pub(super) source: FrameSource,
    /// The decoded frame.
    pub(super) frame: Frame,
}

type FrameStream = Framed<TcpStream, LengthDelimitedCodec>;

/// Whether a connection can still be used.
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

/// Sends a frame. The connection counts as broken if this takes longer than [`CONNECT_TIMEOUT`].
async fn send_frame(stream: &mut FrameStream, frame: &Frame) -> ConnectionState {
    let Ok(bytes) = encode(frame) else {
        tracing::error!("peer frame can't be encoded");
        return ConnectionState::Usable;
    };
    let sent = tokio::time::timeout(CONNECT_TIMEOUT, stream.send(Bytes::from(bytes)));
    match sent.await {
        Ok(Ok(())) => ConnectionState::Usable,
        _ => ConnectionState::Broken,
    }
}

/// Connects to another node whenever there is a frame to send, and reports the received frames.
pub(super) async fn maintain_connection(
    index: usize,
    addr: SocketAddr,
    mut frames: mpsc::Receiver<Frame>,
    received: Recipient<FrameReceived>,
) {
    loop {
        // Frames are not kept for an unreachable node: they would be outdated on its return.
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

/// Sends a single request to a node over a new connection, for use by commands. Returns `None` if
/// it does not answer within [`FORWARD_TIMEOUT`].
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

/// Serves a connection opened by another node. Requests are handled concurrently, up to the
/// capacity of the response queue; any further ones are dropped and time out at their sender.
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
            // The reply with this node's health is sent on the same connection.
            Some(Frame::Health { .. }) => {
                let store = cache.send(IsServed).await.unwrap_or(false);
                let health = Frame::Health { store };
                if send_frame(&mut stream, &health).await == ConnectionState::Broken {
                    return;
                }
            }
            Some(frame) => received.do_send(FrameReceived { source: FrameSource::Accepted, frame }),
            None => {
                tracing::debug!("peer frame can't be decoded");
                return;
            }
        }
    }
}
