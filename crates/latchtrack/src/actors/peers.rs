//! What the nodes tell each other: the leader's counts for display. Lost frames are no loss, the
//! next says the same.

use std::net::SocketAddr;
use std::time::Duration;

use actix::prelude::*;
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use super::job_cache::{Counts, JobCache};
use crate::constants::*;
use crate::settings::Settings;
use crate::wire::peers::{decode, encode, Frame};

/// A frame for every other node.
#[derive(Message)]
#[rtype(result = "()")]
pub struct Tell(pub Frame);

/// A frame that came from another node.
#[derive(Message)]
#[rtype(result = "()")]
struct Heard(Frame);

pub struct Peers {
    listener: Option<TcpListener>,
    addrs: Vec<SocketAddr>,
    lines: Vec<mpsc::Sender<Vec<u8>>>,
    cache: Addr<JobCache>,
    /// Counts of an older term are not shown after those of a newer one.
    token: u64,
}

impl Peers {
    pub fn new(settings: &Settings, listener: TcpListener, cache: Addr<JobCache>) -> Self {
        Peers {
            listener: Some(listener),
            addrs: settings.platform.peers.iter().map(|p| p.addr).collect(),
            lines: Vec::new(),
            cache,
            token: 0,
        }
    }
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    let codec = LengthDelimitedCodec::builder().max_frame_length(FRAME_BYTES).new_codec();
    Framed::new(stream, codec)
}

/// Keeps a connection to one node while there is something to say.
async fn talk(addr: SocketAddr, mut frames: mpsc::Receiver<Vec<u8>>) {
    let mut line = None;
    while let Some(frame) = frames.recv().await {
        if line.is_none() {
            let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
            line = connect.await.ok().and_then(Result::ok).map(framed);
        }
        if let Some(l) = &mut line {
            let sent =
                tokio::time::timeout(CONNECT_TIMEOUT, l.send(actix_web::web::Bytes::from(frame)));
            if !matches!(sent.await, Ok(Ok(()))) {
                line = None;
            }
        }
    }
}

async fn listen(stream: TcpStream, peers: Addr<Peers>) {
    let mut frames = framed(stream);
    let idle = Duration::from_secs(KEEP_ALIVE_S);
    while let Ok(Some(Ok(bytes))) = tokio::time::timeout(idle, frames.next()).await {
        match decode(&bytes) {
            Some(frame) => peers.do_send(Heard(frame)),
            None => {
                tracing::debug!("a garbled frame from another node");
                return;
            }
        }
    }
}

impl Actor for Peers {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Self::Context) {
        for addr in &self.addrs {
            let (tx, rx) = mpsc::channel(PEER_QUEUE);
            self.lines.push(tx);
            actix_rt::spawn(talk(*addr, rx));
        }
        if let Some(listener) = self.listener.take() {
            let me = ctx.address();
            actix_rt::spawn(async move {
                loop {
                    match listener.accept().await {
                        Ok((stream, _)) => {
                            actix_rt::spawn(listen(stream, me.clone()));
                        }
                        Err(_) => tokio::time::sleep(CONNECT_TIMEOUT).await,
                    }
                }
            });
        }
    }
}

impl Handler<Tell> for Peers {
    type Result = ();
    fn handle(&mut self, msg: Tell, _: &mut Self::Context) {
        match encode(&msg.0) {
            Ok(bytes) => {
                for line in &self.lines {
                    let _ = line.try_send(bytes.clone());
                }
            }
            Err(e) => tracing::error!("a frame could not be written: {e}"),
        }
    }
}

impl Handler<Heard> for Peers {
    type Result = ();
    fn handle(&mut self, msg: Heard, _: &mut Self::Context) {
        let Frame::Progress { token, jobs } = msg.0;
        if token >= self.token {
            self.token = token;
            self.cache.do_send(Counts(jobs));
        }
    }
}
