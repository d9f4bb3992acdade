//! Reads the published values over the read side of Consul's key-value HTTP protocol.

use crate::{
    PlatformError, PlatformReader, PlatformResponse, ReadFuture, escape_text,
    reader::reading_client,
};
use base64::{Engine, engine::general_purpose::STANDARD};
use kws_protocol::{PublishedValues, TreeRevision};
use ntex::client::{Client, ClientResponse};
use serde::Deserialize;
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Response header with the index that the next blocking query passes.
const INDEX_HEADER: &str = "x-consul-index";
/// Key of the fleet's revision. Consul's index also rises with writes of other users, so only a
/// revision of the fleet's own shows whether one was skipped.
const REVISION_KEY: &str = "revision";
/// Maximum size of a response in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// Reads all keys under one prefix, with one blocking query at a time.
#[derive(Debug)]
pub struct ConsulReader {
    address: String,
    prefix: String,
    client: Option<Client>,
    index: u64,
    revision: TreeRevision,
}

/// One key-value pair as Consul sends it.
#[derive(Debug, Deserialize)]
struct WireEntry {
    #[serde(rename = "Key")]
    key: String,
    #[serde(rename = "Value")]
    value: Option<String>,
}

impl ConsulReader {
    /// Creates a reader of `prefix` at the base URL `address`, such as `http://ip:port`.
    pub fn new(address: &str, prefix: &str) -> Self {
        Self {
            address: address.trim_end_matches('/').to_owned(),
            prefix: format!("{}/", prefix.trim_matches('/')),
            client: None,
            index: 0,
            revision: TreeRevision::default(),
        }
    }

    async fn read_when_changed(
        &mut self,
        known: TreeRevision,
        wait: Duration,
    ) -> Result<PlatformResponse, PlatformError> {
        // If the known revision isn't the last one read, index 0 makes Consul respond at once.
        let index = if known == self.revision {
            self.index
        } else {
            0
        };
        let url = format!(
            "{}/v1/kv/{}?recurse=true&index={index}&wait={}ms",
            self.address,
            escape_text(&self.prefix),
            wait.as_millis()
        );
        let client = self.client().await?;
        let (response_index, body) = fetch(&client, &url).await?;
        let bytes = body.len() as u64;
        if response_index == index && index != 0 {
            let revision = known;
            return Ok(PlatformResponse::Unchanged { revision, bytes });
        }
        let mut values = parse_values(&body, &self.prefix)?;
        let revision = take_revision(&mut values)?;
        self.index = response_index;
        self.revision = revision;
        if revision == known {
            return Ok(PlatformResponse::Unchanged { revision, bytes });
        }
        Ok(PlatformResponse::Values {
            values: PublishedValues { revision, values },
            bytes,
        })
    }

    async fn client(&mut self) -> Result<Client, PlatformError> {
        if let Some(client) = &self.client {
            return Ok(client.clone());
        }
        let client = reading_client(MAX_RESPONSE_BYTES).await?;
        self.client = Some(client.clone());
        Ok(client)
    }
}

impl PlatformReader for ConsulReader {
    fn read(&mut self, known: TreeRevision, wait: Duration) -> ReadFuture<'_> {
        Box::pin(self.read_when_changed(known, wait))
    }
}

async fn fetch(client: &Client, url: &str) -> Result<(u64, Vec<u8>), PlatformError> {
    let response = client
        .get(url)
        .send()
        .await
        .map_err(|error| PlatformError::Unreachable(error.to_string()))?;
    if response.status().as_u16() != 200 {
        return Err(PlatformError::Status(response.status().as_u16()));
    }
    let index = parse_index(&response)?;
    let body = response
        .body()
        .limit(MAX_RESPONSE_BYTES)
        .await
        .map_err(|error| PlatformError::Unreachable(error.to_string()))?;
    Ok((index, body.to_vec()))
}

fn parse_index(response: &ClientResponse) -> Result<u64, PlatformError> {
    response
        .header(INDEX_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .ok_or_else(|| {
            PlatformError::Malformed(format!("header {INDEX_HEADER} is missing or not a number"))
        })
}

fn take_revision(values: &mut BTreeMap<String, Arc<str>>) -> Result<TreeRevision, PlatformError> {
    let text = values
        .remove(REVISION_KEY)
        .ok_or_else(|| PlatformError::Malformed(format!("key {REVISION_KEY} is missing")))?;
    let number = text
        .trim()
        .parse()
        .map_err(|_| PlatformError::Malformed(format!("{REVISION_KEY}: not a whole number")))?;
    Ok(TreeRevision::first(number))
}

fn parse_values(body: &[u8], prefix: &str) -> Result<BTreeMap<String, Arc<str>>, PlatformError> {
    let entries: Vec<WireEntry> = serde_json::from_slice(body)
        .map_err(|error| PlatformError::Malformed(error.to_string()))?;
    let mut values = BTreeMap::new();
    for entry in entries {
        let key = entry.key.strip_prefix(prefix).ok_or_else(|| {
            PlatformError::Malformed(format!("key {} does not start with {prefix}", entry.key))
        })?;
        let text = decode_value(key, entry.value.as_deref().unwrap_or(""))?;
        values.insert(key.to_owned(), text);
    }
    Ok(values)
}

fn decode_value(key: &str, value: &str) -> Result<Arc<str>, PlatformError> {
    let bytes = STANDARD
        .decode(value)
        .map_err(|error| PlatformError::Malformed(format!("value of {key}: {error}")))?;
    let text = String::from_utf8(bytes)
        .map_err(|error| PlatformError::Malformed(format!("value of {key}: {error}")))?;
    Ok(Arc::from(text))
}
