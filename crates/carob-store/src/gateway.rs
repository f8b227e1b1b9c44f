//! JSON bodies of the gateway of etcd v3, which has integers as strings, and keys and values in base64.

use base64::{Engine as _, engine::general_purpose::STANDARD};
use bytes::Bytes;
use serde::{Deserialize, Deserializer};
use serde_json::{Value, json};

use crate::call::{Call, Entry, Expect, Lease};

/// Path and body of the request for `call`.
pub(crate) fn request(call: &Call) -> (&'static str, Value) {
    match call {
        Call::Get { key } => ("/v3/kv/range", json!({ "key": encode(key) })),
        Call::Scan { prefix } => ("/v3/kv/range", range(prefix)),
        Call::Swap {
            key,
            expect,
            value,
            lease,
        } => {
            let mut put = json!({ "key": encode(key), "value": encode(value) });
            if let Some(lease) = lease {
                put["lease"] = json!(lease.0.to_string());
            }
            (
                "/v3/kv/txn",
                transaction(key, *expect, &json!({ "request_put": put })),
            )
        }
        Call::Delete { key, revision } => {
            let delete = json!({ "request_delete_range": { "key": encode(key) } });
            ("/v3/kv/txn", transaction(key, Expect::At(*revision), &delete))
        }
        Call::Grant { ttl } => (
            "/v3/lease/grant",
            json!({ "TTL": ttl.as_secs().max(1).to_string() }),
        ),
        Call::Renew { lease } => ("/v3/lease/keepalive", lease_body(*lease)),
        Call::Revoke { lease } => ("/v3/lease/revoke", lease_body(*lease)),
    }
}

/// Body of the request to watch all keys that start with `prefix`, for changes from the store revision `from`
/// on.
pub(crate) fn watch(prefix: &[u8], from: u64) -> Value {
    let mut create = range(prefix);
    create["start_revision"] = json!(from.to_string());
    create["progress_notify"] = json!(true);
    json!({ "create_request": create })
}

fn range(prefix: &[u8]) -> Value {
    json!({ "key": encode(prefix), "range_end": encode(&range_end(prefix)) })
}

fn lease_body(lease: Lease) -> Value {
    json!({ "ID": lease.0.to_string() })
}

fn transaction(key: &[u8], expect: Expect, change: &Value) -> Value {
    let key = encode(key);
    let compare = match expect {
        Expect::Absent => {
            json!({ "key": key, "target": "CREATE", "result": "EQUAL", "create_revision": "0" })
        }
        Expect::At(revision) => {
            let revision = revision.to_string();
            json!({ "key": key, "target": "MOD", "result": "EQUAL", "mod_revision": revision })
        }
    };
    json!({
        "compare": [compare],
        "success": [change],
        "failure": [{ "request_range": { "key": key } }],
    })
}

/// The first key after all keys that start with `prefix`. If there is none, a single zero byte, which stands
/// for no end of the range.
fn range_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}

/// Header of every reply.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct Header {
    #[serde(default, deserialize_with = "number")]
    pub(crate) revision: u64,
}

/// A key and its value in the gateway's format.
#[derive(Debug, Deserialize)]
pub(crate) struct KeyValue {
    #[serde(default, deserialize_with = "base64")]
    key: Bytes,
    #[serde(default, deserialize_with = "base64")]
    value: Bytes,
    #[serde(default, deserialize_with = "number")]
    mod_revision: u64,
}

impl From<KeyValue> for Entry {
    fn from(kv: KeyValue) -> Self {
        Self {
            key: kv.key,
            value: kv.value,
            revision: kv.mod_revision,
        }
    }
}

#[derive(Debug, Deserialize)]
pub(crate) struct Range {
    #[serde(default)]
    pub(crate) header: Header,
    #[serde(default)]
    pub(crate) kvs: Vec<KeyValue>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct Txn {
    #[serde(default)]
    pub(crate) header: Header,
    #[serde(default)]
    pub(crate) succeeded: bool,
    #[serde(default)]
    pub(crate) responses: Vec<Response>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct Response {
    pub(crate) response_range: Option<Range>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct LeaseReply {
    #[serde(default, rename = "ID", deserialize_with = "number")]
    pub(crate) id: u64,
    #[serde(default, rename = "TTL", deserialize_with = "number")]
    pub(crate) ttl: u64,
}

/// One line of a streamed reply.
#[derive(Debug, Deserialize)]
pub(crate) struct StreamLine<T> {
    pub(crate) result: Option<T>,
}

#[derive(Debug, Default, Deserialize)]
pub(crate) struct WatchReply {
    #[serde(default)]
    pub(crate) header: Header,
    #[serde(default)]
    pub(crate) canceled: bool,
    #[serde(default, deserialize_with = "number")]
    pub(crate) compact_revision: u64,
    #[serde(default)]
    pub(crate) events: Vec<Event>,
}

#[derive(Debug, Deserialize)]
pub(crate) struct Event {
    /// `DELETE`, or absent for a put.
    #[serde(default, rename = "type")]
    pub(crate) kind: Option<String>,
    pub(crate) kv: KeyValue,
}

/// Parses an integer that is given as a string or as a JSON number.
fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let value = Value::deserialize(deserializer)?;
    let parsed = match &value {
        Value::String(text) => text.parse().ok(),
        Value::Number(number) => number.as_u64(),
        _ => None,
    };
    parsed.ok_or_else(|| serde::de::Error::custom(format!("expected a whole number, got {value}")))
}

fn base64<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    let text = String::deserialize(deserializer)?;
    STANDARD
        .decode(text)
        .map(Bytes::from)
        .map_err(serde::de::Error::custom)
}
