//! The listener of a backend server.

use super::{
    answer::{AfterAnswer, AnswerSubject, write_answer},
    refusal::RefusalLog,
    request::{SeenRequest, read_body, read_head},
    script::{BackendFault, BackendScript},
};
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncWriteExt, BufReader},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::oneshot,
    task::{AbortHandle, JoinSet, spawn, yield_now},
    time::{Instant, sleep},
};

/// Time limit for an address to be free again.
const REBIND_TIMEOUT: Duration = Duration::from_secs(5);
/// The pause between two attempts to bind it.
const REBIND_PAUSE: Duration = Duration::from_millis(5);

/// Starts backend servers.
#[derive(Debug)]
pub struct BackendServer;

/// A running backend server; dropping it stops it.
#[derive(Debug)]
pub struct BackendHandle {
    address: SocketAddr,
    state: Arc<ServerState>,
    task: Mutex<AbortHandle>,
    bound: Mutex<Option<TcpSocket>>,
}

/// A request that waits for another to swap answers with.
#[derive(Debug)]
struct SwapPartner {
    id: String,
    reply: oneshot::Sender<String>,
}

#[derive(Debug)]
struct ServerState {
    script: Mutex<BackendScript>,
    seen: Mutex<Vec<SeenRequest>>,
    partner: Mutex<Option<SwapPartner>>,
    /// Number of connections so far.
    connections: AtomicU64,
}

impl BackendServer {
    /// Starts a server on a free port of the loopback address.
    ///
    /// # Errors
    /// When no port can be had.
    pub async fn start(script: BackendScript) -> io::Result<BackendHandle> {
        Self::start_at((Ipv4Addr::LOCALHOST, 0).into(), script).await
    }

    /// Starts a server at an address.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn start_at(address: SocketAddr, script: BackendScript) -> io::Result<BackendHandle> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(ServerState {
            script: Mutex::new(script),
            seen: Mutex::default(),
            partner: Mutex::default(),
            connections: AtomicU64::new(0),
        });
        let task = spawn(accept(listener, Arc::clone(&state))).abort_handle();
        Ok(BackendHandle {
            address,
            state,
            task: Mutex::new(task),
            bound: Mutex::default(),
        })
    }
}

impl BackendHandle {
    /// Where the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The requests that arrived, in the order of their heads.
    pub fn seen(&self) -> Vec<SeenRequest> {
        lock(&self.state.seen).clone()
    }

    /// Changes what the server does with the requests to come.
    pub fn set_script(&self, script: BackendScript) {
        *lock(&self.state.script) = script;
    }

    /// Ends the listener and every connection; new connections are refused from then on.
    ///
    /// The port stays bound, so that no other listener takes it while the handle lives.
    pub async fn stop(&self) {
        self.end_task().await;
        *lock(&self.bound) = bind_only(self.address).ok();
    }

    /// Ends every connection and starts again at the same address; what was seen before is kept.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub async fn restart(&self, script: BackendScript) -> io::Result<()> {
        self.end_task().await;
        lock(&self.bound).take();
        self.set_script(script);
        let listener = bind_again(self.address).await?;
        let task = spawn(accept(listener, Arc::clone(&self.state))).abort_handle();
        *lock(&self.task) = task;
        Ok(())
    }

    async fn end_task(&self) {
        let task = lock(&self.task).clone();
        task.abort();
        while !task.is_finished() {
            yield_now().await;
        }
    }
}

impl Drop for BackendHandle {
    fn drop(&mut self) {
        lock(&self.task).abort();
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Binds an address whose listener has just closed. A process that another thread starts at this moment
/// holds a copy of the listener until it executes its program.
async fn bind_again(address: SocketAddr) -> io::Result<TcpListener> {
    let end = Instant::now() + REBIND_TIMEOUT;
    loop {
        match TcpListener::bind(address).await {
            Err(error) if error.kind() == io::ErrorKind::AddrInUse && Instant::now() < end => {
                sleep(REBIND_PAUSE).await;
            }
            bound => return bound,
        }
    }
}

fn bind_only(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

/// The connections live in the set, and end with this task.
async fn accept(listener: TcpListener, state: Arc<ServerState>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let number = state.connections.fetch_add(1, Ordering::Relaxed);
        let state = Arc::clone(&state);
        connections.spawn(async move {
            let _ = serve(stream, number, &state).await;
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn serve(mut stream: TcpStream, connection: u64, state: &ServerState) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let (reader, mut writer) = stream.split();
    let mut reader = BufReader::new(reader);
    let mut refusals = RefusalLog::default();
    loop {
        refusals.wait_request(&mut reader, &mut writer).await?;
        let Some(mut request) = read_head(&mut reader).await? else {
            return Ok(());
        };
        let mut script = lock(&state.script).clone();
        request.connection = connection;
        request.refusal = refusals.next_refusal(&script, &request);
        request.fault = answer_fault(&script, &request);
        let index = state.note(request.clone());
        if request.fault != BackendFault::Early {
            let read = read_body(&mut reader, &mut request).await;
            lock(&state.seen)[index] = request.clone();
            read?;
        }
        if request.line().starts_with("GET /health ") {
            writer.write_all(health(script.healthy)).await?;
            continue;
        }
        let subject = state.subject(&script, &request).await;
        refusals
            .precede_answer(&mut writer, &mut script, &subject)
            .await?;
        script.fault = request.fault;
        if write_answer(&mut writer, &script, &subject).await? == AfterAnswer::Close {
            return writer.shutdown().await;
        }
    }
}

/// How the answer to a request is broken.
fn answer_fault(script: &BackendScript, request: &SeenRequest) -> BackendFault {
    match script.fault {
        _ if !request.has_run() => BackendFault::NotRun,
        BackendFault::RepeatedRefusal | BackendFault::CopiedRefusals(_) => BackendFault::None,
        fault => fault,
    }
}

fn health(healthy: bool) -> &'static [u8] {
    if healthy {
        b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok"
    } else {
        b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n"
    }
}

impl ServerState {
    fn note(&self, request: SeenRequest) -> usize {
        let mut seen = lock(&self.seen);
        seen.push(request);
        seen.len() - 1
    }

    async fn subject(&self, script: &BackendScript, request: &SeenRequest) -> AnswerSubject {
        let id = request
            .header(&script.id_header)
            .unwrap_or_default()
            .to_owned();
        let id = match script.fault {
            BackendFault::Swapped if request.has_run() => self.swap(id).await,
            _ => id,
        };
        AnswerSubject {
            id,
            head_only: request.line().starts_with("HEAD "),
            refusal: request.refusal,
        }
    }

    /// The identifier of the next request that comes here.
    async fn swap(&self, id: String) -> String {
        let waiting = lock(&self.partner).take();
        if let Some(partner) = waiting {
            let _ = partner.reply.send(id);
            return partner.id;
        }
        let (reply, other) = oneshot::channel();
        *lock(&self.partner) = Some(SwapPartner { id, reply });
        other.await.unwrap_or_default()
    }
}
