//! A WebSocket link: its handshake, and the exchange of messages until it is lost.

use crate::{
    InboundMessage, LinkLiveness, MessageClass, PeerObserver,
    handshake::{
        HandshakeError, PeerSecret, WireHello, WireProof, WireWelcome, decode_frame, encode_frame,
    },
    link_socket::LinkSocket,
    liveness::LivenessState,
};
use futures_util::{
    SinkExt, StreamExt,
    stream::{SplitSink, SplitStream},
};
use kws_protocol::{
    CodecError, HostName, MAX_FRAME_BYTES, PeerMessage, decode_message, encode_message,
};
use std::{net::SocketAddr, time::Duration};
use thiserror::Error;
use tokio::{
    net::TcpStream,
    sync::mpsc::{Receiver, Sender},
    time::{Instant, sleep_until, timeout},
};
use tokio_tungstenite::{
    WebSocketStream, accept_async_with_config, client_async_with_config,
    tungstenite::{self, Bytes, Message, protocol::WebSocketConfig},
};

/// Timeout of dialling and of each step of the handshake.
const STEP_TIMEOUT: Duration = Duration::from_secs(1);
/// A ping is sent if nothing is received for this long after a write. Replies normally take a few
/// milliseconds; the rest leaves time for one or two TCP retransmissions.
const REPLY_TIMEOUT: Duration = Duration::from_millis(700);
/// A link is lost if nothing is received for this long after a ping.
const PONG_TIMEOUT: Duration = Duration::from_millis(1_300);
/// Interval after which a ping is sent on an idle link.
const IDLE_PING_INTERVAL: Duration = Duration::from_secs(30);
/// A link is lost if a single write takes longer than this.
const WRITE_TIMEOUT: Duration = Duration::from_secs(3);
/// Initial size of a link's read buffer, in bytes; most messages are far smaller.
const READ_BUFFER_BYTES: usize = 4 * 1024;

pub(crate) type LinkStream = WebSocketStream<LinkSocket>;

/// Reason why a link ended.
#[derive(Debug, Error)]
pub(crate) enum LinkError {
    #[error("peer did not respond in time")]
    Timeout,
    #[error("link closed")]
    Closed,
    #[error(transparent)]
    Codec(#[from] CodecError),
    #[error(transparent)]
    Handshake(#[from] HandshakeError),
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    WebSocket(#[from] Box<tungstenite::Error>),
}

impl From<tungstenite::Error> for LinkError {
    fn from(error: tungstenite::Error) -> Self {
        Self::WebSocket(Box::new(error))
    }
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(READ_BUFFER_BYTES)
        .write_buffer_size(0)
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

async fn with_step_timeout<F, T, E>(work: F) -> Result<T, LinkError>
where
    F: Future<Output = Result<T, E>>,
    LinkError: From<E>,
{
    let done = timeout(STEP_TIMEOUT, work).await;
    Ok(done.map_err(|_| LinkError::Timeout)??)
}

/// Dials `wanted`, authenticates, and returns the link with the name that the accepting host gave.
pub(crate) async fn dial_link(
    secret: &PeerSecret,
    host: &HostName,
    wanted: &HostName,
    address: SocketAddr,
) -> Result<(LinkStream, HostName), LinkError> {
    let stream = with_step_timeout(TcpStream::connect(address)).await?;
    stream.set_nodelay(true)?;
    let url = format!("ws://{address}/peer");
    let connect = client_async_with_config(url, LinkSocket::new(stream), Some(socket_config()));
    let (mut link, _) = with_step_timeout(connect).await?;
    let hello = WireHello::new(host);
    send_frame(&mut link, encode_frame(&hello)?).await?;
    let welcome: WireWelcome = decode_frame(&receive_frame(&mut link).await?)?;
    let proof = welcome.verify_acceptor(secret, &hello, wanted)?;
    send_frame(&mut link, encode_frame(&proof)?).await?;
    link.get_mut().set_authenticated();
    Ok((link, welcome.host))
}

/// Authenticates an accepted link and returns it with the name of the host that dialled.
pub(crate) async fn accept_link(
    secret: &PeerSecret,
    host: &HostName,
    stream: TcpStream,
) -> Result<(LinkStream, HostName), LinkError> {
    stream.set_nodelay(true)?;
    let accept = accept_async_with_config(LinkSocket::new(stream), Some(socket_config()));
    let mut link = with_step_timeout(accept).await?;
    let hello: WireHello = decode_frame(&receive_frame(&mut link).await?)?;
    let welcome = WireWelcome::reply(secret, host, &hello)?;
    send_frame(&mut link, encode_frame(&welcome)?).await?;
    let proof: WireProof = decode_frame(&receive_frame(&mut link).await?)?;
    welcome.verify_dialler(secret, &hello, &proof)?;
    link.get_mut().set_authenticated();
    Ok((link, hello.host))
}

async fn send_frame(link: &mut LinkStream, frame: Vec<u8>) -> Result<(), LinkError> {
    with_step_timeout(link.send(Message::Binary(frame.into()))).await
}

async fn receive_frame(link: &mut LinkStream) -> Result<Bytes, LinkError> {
    let next = timeout(STEP_TIMEOUT, link.next()).await;
    match next.map_err(|_| LinkError::Timeout)? {
        Some(Ok(Message::Binary(frame))) => Ok(frame),
        Some(Ok(_)) => Err(HandshakeError::Malformed.into()),
        Some(Err(error)) => Err(error.into()),
        None => Err(LinkError::Closed),
    }
}

/// Sends and receives messages until the link is lost or its queue is closed.
pub(crate) async fn run_link(
    link: LinkStream,
    peer: &HostName,
    (queue, liveness): (&mut Receiver<PeerMessage>, &LinkLiveness),
    inbound: &Sender<InboundMessage>,
    observer: &dyn PeerObserver,
) -> LinkError {
    let (mut sink, mut stream) = link.split();
    liveness.record_received();
    tokio::select! {
        error = write_messages(&mut sink, queue, liveness, observer) => error,
        error = read_messages(&mut stream, peer, inbound, liveness, observer) => error,
    }
}

/// When a link in `state` needs a ping or, after a ping, is considered lost.
fn check_due_at(state: LivenessState) -> Instant {
    match state {
        LivenessState::Idle(since) => since + IDLE_PING_INTERVAL,
        LivenessState::AwaitingReply(since) => since + REPLY_TIMEOUT,
        LivenessState::Pinged(since) => since + PONG_TIMEOUT,
    }
}

async fn write_messages(
    sink: &mut SplitSink<LinkStream, Message>,
    queue: &mut Receiver<PeerMessage>,
    liveness: &LinkLiveness,
    observer: &dyn PeerObserver,
) -> LinkError {
    loop {
        let frame = tokio::select! {
            message = queue.recv() => match message {
                Some(message) => {
                    liveness.record_write();
                    message_frame(&message, observer)
                }
                None => return LinkError::Closed,
            },
            () = sleep_until(check_due_at(liveness.state())) => match liveness.state() {
                // The state changed during the sleep, so that the check is due later.
                state if Instant::now() < check_due_at(state) => continue,
                LivenessState::Pinged(_) => return LinkError::Timeout,
                LivenessState::Idle(_) | LivenessState::AwaitingReply(_) => {
                    liveness.record_ping();
                    Ok(Message::Ping(Bytes::new()))
                }
            }
        };
        let sent = match frame {
            Ok(frame) => timeout(WRITE_TIMEOUT, sink.send(frame)).await,
            Err(error) => return error,
        };
        match sent {
            Ok(Ok(())) => {}
            Ok(Err(error)) => return error.into(),
            Err(_) => return LinkError::Timeout,
        }
    }
}

fn message_frame(message: &PeerMessage, observer: &dyn PeerObserver) -> Result<Message, LinkError> {
    let frame = encode_message(message)?;
    observer.sent(MessageClass::of(message), frame.len());
    Ok(Message::Binary(frame.into()))
}

async fn read_messages(
    stream: &mut SplitStream<LinkStream>,
    peer: &HostName,
    inbound: &Sender<InboundMessage>,
    liveness: &LinkLiveness,
    observer: &dyn PeerObserver,
) -> LinkError {
    loop {
        let next = stream.next().await;
        liveness.record_received();
        let frame = match next {
            Some(Ok(Message::Binary(frame))) => frame,
            Some(Ok(Message::Close(_))) | None => return LinkError::Closed,
            Some(Ok(_)) => continue,
            Some(Err(error)) => return error.into(),
        };
        let message = match decode_message(&frame) {
            Ok(message) => message,
            Err(error) => return error.into(),
        };
        let class = MessageClass::of(&message);
        observer.received(class, frame.len());
        let from = peer.clone();
        if inbound.try_send(InboundMessage { from, message }).is_err() {
            observer.dropped(class);
        }
    }
}
