//! The quick start: three backend servers and one daemon in one process, requests of two teams, a
//! refusal over the rate, and a sick server spared. Stays up for callers unless `--once` is given.

use eyre::{Result, WrapErr, bail, ensure};
use kws_daemon::{RunningDaemon, load_options, start_daemon};
use kws_protocol::StatusReport;
use kws_standin::backend::{BackendHandle, BackendScript, BackendServer};
use ntex::{
    SharedCfg,
    client::Client,
    rt::{DefaultRuntime, System},
};
use std::{net::SocketAddr, path::Path, time::Duration};
use tokio::time::{Instant, sleep};

const ORCHARD_KEY: &str = "demo-orchard-key";
const STALL_KEY: &str = "demo-stall-key";
/// How long the daemon may take to get ready, and the sick server to be ejected.
const PATIENCE: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(20);

fn main() -> Result<()> {
    let once = std::env::args().any(|argument| argument == "--once");
    System::new("quickstart", DefaultRuntime).block_on(run(once))
}

async fn run(once: bool) -> Result<()> {
    let servers = start_servers().await?;
    let mut options = load_options(Path::new("examples/quickstart/host.yaml"), None, None)?;
    options.drain_lag = Duration::ZERO;
    let daemon = start_daemon(&options)?;
    let client = Client::builder()
        .disable_timeout()
        .build(SharedCfg::default())
        .await
        .map_err(|error| eyre::eyre!("no client: {error}"))?;
    let caller = QuickCaller {
        client,
        base: format!("http://{}", daemon.address()),
        admin: format!("http://{}", daemon.admin()),
    };
    wait_ready(&daemon).await?;
    caller.wait_tokens().await?;
    show_requests(&caller).await?;
    show_sick_server(&caller, &servers).await?;
    if !once {
        println!("\nServing on {} until Ctrl-C. Try:", caller.base);
        println!(
            "  curl -i -H 'authorization: Bearer {ORCHARD_KEY}' {}/slots",
            caller.base
        );
        println!("  curl -s {}/status", caller.admin);
        tokio::signal::ctrl_c().await?;
    }
    daemon.stop().await;
    println!("\nquick start: ok");
    Ok(())
}

async fn start_servers() -> Result<Vec<BackendHandle>> {
    let mut servers = Vec::new();
    for port in 18081..=18083 {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let server = BackendServer::start_at(address, BackendScript::default())
            .await
            .wrap_err_with(|| format!("backend server on {address}"))?;
        servers.push(server);
    }
    Ok(servers)
}

struct QuickCaller {
    client: Client,
    base: String,
    admin: String,
}

impl QuickCaller {
    async fn get(&self, path: &str, key: Option<&str>) -> Result<u16> {
        let mut request = self.client.get(format!("{}{path}", self.base));
        if let Some(key) = key {
            request = request.bearer_auth(key);
        }
        let response = request
            .send()
            .await
            .map_err(|error| eyre::eyre!("{path}: {error}"))?;
        let status = response.status().as_u16();
        let _ = response.body().await;
        Ok(status)
    }

    /// A new daemon spends none of a team's rate until hosts that it can't know of have let go.
    async fn wait_tokens(&self) -> Result<()> {
        let deadline = Instant::now() + PATIENCE;
        while self.get("/slots", Some(ORCHARD_KEY)).await? != 200 {
            ensure!(
                Instant::now() < deadline,
                "no request of orchard was admitted"
            );
            sleep(PAUSE * 10).await;
        }
        Ok(())
    }

    async fn status(&self) -> Result<StatusReport> {
        let response = self
            .client
            .get(format!("{}/status", self.admin))
            .send()
            .await
            .map_err(|error| eyre::eyre!("status: {error}"))?;
        response.json().await.wrap_err("status isn't JSON")
    }
}

async fn wait_ready(daemon: &RunningDaemon) -> Result<()> {
    let deadline = Instant::now() + PATIENCE;
    while !daemon.is_ready() {
        ensure!(Instant::now() < deadline, "the daemon didn't get ready");
        sleep(PAUSE).await;
    }
    println!("ready on {}", daemon.address());
    Ok(())
}

async fn expect(caller: &QuickCaller, path: &str, key: Option<&str>, wanted: u16) -> Result<()> {
    let status = caller.get(path, key).await?;
    println!("  GET {path} as {:<17} {status}", key.unwrap_or("nobody"));
    ensure!(status == wanted, "expected {wanted}");
    Ok(())
}

async fn show_requests(caller: &QuickCaller) -> Result<()> {
    println!("\nrequests of two teams:");
    expect(caller, "/rows", None, 200).await?;
    expect(caller, "/slots", None, 401).await?;
    expect(caller, "/slots", Some("withdrawn-key"), 401).await?;
    expect(caller, "/slots", Some(ORCHARD_KEY), 200).await?;
    println!("\nover the rate:");
    let mut served = 0;
    for _ in 0..200 {
        match caller.get("/slots", Some(STALL_KEY)).await? {
            200 => served += 1,
            429 if served > 0 => break,
            429 => sleep(PAUSE * 10).await,
            status => bail!("status {status}"),
        }
    }
    expect(caller, "/slots", Some(STALL_KEY), 429).await?;
    expect(caller, "/slots", Some(ORCHARD_KEY), 200).await
}

async fn show_sick_server(caller: &QuickCaller, servers: &[BackendHandle]) -> Result<()> {
    println!("\nlisting-2 fails every request but passes its health check:");
    let sick = BackendScript {
        status: 500,
        ..BackendScript::default()
    };
    servers[1].set_script(sick);
    let begun = Instant::now();
    let mut failed = 0;
    loop {
        ensure!(begun.elapsed() < PATIENCE, "listing-2 wasn't ejected");
        failed += u32::from(caller.get("/rows", None).await? != 200);
        let status = caller.status().await?;
        if let Some(server) = status
            .servers
            .iter()
            .find(|server| server.state == "ejected")
        {
            println!("  {} ejected after {:?}", server.server, begun.elapsed());
            break;
        }
        sleep(PAUSE).await;
    }
    let mut after = 0;
    for _ in 0..50 {
        after += u32::from(caller.get("/rows", None).await? != 200);
    }
    println!("  failed answers: {failed} before, {after} of 50 after");
    ensure!(after == 0, "a sick server still answers callers");
    Ok(())
}
