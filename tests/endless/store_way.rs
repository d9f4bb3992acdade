//! The daemon's way to the store, on which the store's responses can become endless.

use crate::server::{EndlessShape, serve};
use std::{net::SocketAddr, sync::atomic::AtomicUsize};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
    sync::watch,
};

/// A listener in front of the store.
pub struct StoreWay {
    /// Where it listens.
    pub address: SocketAddr,
    shape: watch::Sender<Option<EndlessShape>>,
}

impl StoreWay {
    /// Starts a listener that passes all connections on to `store`.
    pub async fn start(store: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("binds");
        let address = listener.local_addr().expect("has an address");
        let (shape, changes) = watch::channel(None);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass(stream, store, changes.clone()));
            }
        });
        Self { address, shape }
    }

    /// Cuts all connections. Each request on later ones is answered with `shape`.
    pub fn set_endless(&self, shape: EndlessShape) {
        self.shape.send_replace(Some(shape));
    }
}

async fn pass(
    mut stream: TcpStream,
    store: SocketAddr,
    mut changes: watch::Receiver<Option<EndlessShape>>,
) {
    let shape = *changes.borrow_and_update();
    if let Some(shape) = shape {
        serve(stream, shape, &AtomicUsize::new(0)).await;
        return;
    }
    let Ok(mut onward) = TcpStream::connect(store).await else {
        return;
    };
    tokio::select! {
        _ = copy_bidirectional(&mut stream, &mut onward) => {}
        _ = changes.changed() => {}
    }
}
