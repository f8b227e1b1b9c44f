//! Calls of the etcd v3 API, in the JSON encoding of etcd's gateway.

use std::{cmp::Ordering, time::Duration};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::{Map, Value, json};

use super::data::{Change, Data, KeyRange, KeyValue};

carob_base::plain! {
    /// Kind of call.
    pub(super) enum Call {
        Range,
        Put,
        Txn,
        DeleteRange,
        Grant,
        KeepAlive,
        Revoke,
        TimeToLive,
        Watch,
    }
}

impl Call {
    /// Key of the call in [`Store::call_counts`](super::Store::call_counts).
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Range => "range",
            Self::Put => "put",
            Self::Txn => "txn",
            Self::DeleteRange => "deleterange",
            Self::Grant => "grant",
            Self::KeepAlive => "keepalive",
            Self::Revoke => "revoke",
            Self::TimeToLive => "timetolive",
            Self::Watch => "watch",
        }
    }
}

/// Returns the call that `path` stands for. The gateway serves some lease calls under two paths.
pub(super) fn call_for_path(path: &str) -> Option<Call> {
    Some(match path {
        "/v3/kv/range" => Call::Range,
        "/v3/kv/put" => Call::Put,
        "/v3/kv/txn" => Call::Txn,
        "/v3/kv/deleterange" => Call::DeleteRange,
        "/v3/lease/grant" => Call::Grant,
        "/v3/lease/keepalive" => Call::KeepAlive,
        "/v3/lease/revoke" | "/v3/kv/lease/revoke" => Call::Revoke,
        "/v3/lease/timetolive" | "/v3/kv/lease/timetolive" => Call::TimeToLive,
        "/v3/watch" => Call::Watch,
        _ => return None,
    })
}

/// Error response of a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallError {
    /// HTTP status.
    pub(super) status: u16,
    /// gRPC status code.
    code: u8,
    message: &'static str,
}

impl CallError {
    const LEASE_NOT_FOUND: Self = Self {
        status: 404,
        code: 5,
        message: "etcdserver: requested lease not found",
    };

    const fn invalid_argument(message: &'static str) -> Self {
        Self {
            status: 400,
            code: 3,
            message,
        }
    }

    pub(super) fn to_json(self) -> Value {
        json!({ "error": self.message, "message": self.message, "code": self.code })
    }
}

/// Executes any call except a watch, which is served as a stream by [`watch`](super::watch).
pub(super) fn execute(data: &mut Data, call: Call, body: &Value) -> Result<Value, CallError> {
    data.expire_due();
    let reply = match call {
        Call::Range => range(data, body)?,
        Call::Put | Call::DeleteRange => {
            let revision = data.next_revision();
            let (reply, count) = execute_change(data, revision, call, body)?;
            if count > 0 {
                data.commit(revision);
            }
            reply
        }
        Call::Txn => execute_txn(data, body)?,
        Call::Grant => {
            let ttl = parse_int(&body["TTL"]).max(1);
            let id = data.grant(parse_int(&body["ID"]), Duration::from_secs(ttl as u64));
            json!({ "ID": id.to_string(), "TTL": ttl.to_string() })
        }
        Call::KeepAlive => {
            let id = parse_int(&body["ID"]);
            let mut result = json!({ "ID": id.to_string() });
            if let Some(ttl) = data.renew(id) {
                result["TTL"] = json!(ttl.as_secs().to_string());
            }
            return Ok(json!({ "result": with_header(data, result) }));
        }
        Call::Revoke if data.revoke(parse_int(&body["ID"])) => json!({}),
        Call::Revoke => return Err(CallError::LEASE_NOT_FOUND),
        Call::TimeToLive => time_to_live(data, parse_int(&body["ID"])),
        Call::Watch => return Err(CallError::invalid_argument("a watch is a stream")),
    };
    Ok(with_header(data, reply))
}

fn time_to_live(data: &Data, id: i64) -> Value {
    let Some(lease) = data.lease(id) else {
        return json!({ "ID": id.to_string(), "TTL": "-1" });
    };
    let left = lease
        .expires_at
        .saturating_duration_since(std::time::Instant::now());
    let keys: Vec<String> = data.lease_keys(id).iter().map(|key| encode(key)).collect();
    json!({
        "ID": id.to_string(),
        "TTL": left.as_secs().to_string(),
        "grantedTTL": lease.ttl.as_secs().to_string(),
        "keys": keys,
    })
}

fn range(data: &Data, body: &Value) -> Result<Value, CallError> {
    let pairs = data.range(&parse_range(body)?);
    let limit = parse_int(&body["limit"]);
    let limit = if limit > 0 { limit as usize } else { usize::MAX };
    let mut reply = json!({});
    if pairs.is_empty() {
        return Ok(reply);
    }
    reply["count"] = json!(pairs.len().to_string());
    if pairs.len() > limit {
        reply["more"] = json!(true);
    }
    let kvs: Vec<Value> = pairs.iter().take(limit).map(pair_to_json).collect();
    reply["kvs"] = Value::Array(kvs);
    Ok(reply)
}

/// Executes a put or a delete. Returns the reply and the number of keys that changed.
fn execute_change(
    data: &mut Data,
    revision: u64,
    call: Call,
    body: &Value,
) -> Result<(Value, u64), CallError> {
    if call == Call::DeleteRange {
        let count = data.delete(revision, &parse_range(body)?);
        let reply = if count == 0 {
            json!({})
        } else {
            json!({ "deleted": count.to_string() })
        };
        return Ok((reply, count));
    }
    let key = decode(&body["key"])?;
    if key.is_empty() {
        return Err(CallError::invalid_argument("etcdserver: key is not provided"));
    }
    let lease = parse_int(&body["lease"]);
    if lease != 0 && data.lease(lease).is_none() {
        return Err(CallError::LEASE_NOT_FOUND);
    }
    data.put(revision, &key, decode(&body["value"])?, lease);
    Ok((json!({}), 1))
}

fn execute_txn(data: &mut Data, body: &Value) -> Result<Value, CallError> {
    let compares = elements(&body["compare"]);
    let mut succeeded = true;
    for compare in compares {
        succeeded &= compare_holds(data, compare)?;
    }
    let operations = elements(&body[if succeeded { "success" } else { "failure" }]);
    let revision = data.next_revision();
    let mut changed = 0;
    let mut responses = Vec::new();
    for operation in operations {
        let (response, count) = execute_operation(data, revision, operation)?;
        changed += count;
        responses.push(response);
    }
    if changed > 0 {
        data.commit(revision);
    }
    let mut reply = json!({});
    if succeeded {
        reply["succeeded"] = json!(true);
    }
    if !responses.is_empty() {
        reply["responses"] = Value::Array(responses);
    }
    Ok(reply)
}

/// Executes one operation of a transaction. Returns the reply and the number of keys that changed.
fn execute_operation(data: &mut Data, revision: u64, operation: &Value) -> Result<(Value, u64), CallError> {
    let (name, call) = [
        ("range", Call::Range),
        ("put", Call::Put),
        ("delete_range", Call::DeleteRange),
    ]
    .into_iter()
    .find(|(name, _)| operation.get(format!("request_{name}")).is_some())
    .ok_or(CallError::invalid_argument("unknown operation"))?;
    let body = &operation[format!("request_{name}")];
    let (reply, count) = if call == Call::Range {
        (range(data, body)?, 0)
    } else {
        execute_change(data, revision, call, body)?
    };
    let reply = with_header(data, reply);
    Ok((json!({ format!("response_{name}"): reply }), count))
}

/// Returns whether one compare of a transaction holds. A missing target or result has its protobuf default.
fn compare_holds(data: &Data, compare: &Value) -> Result<bool, CallError> {
    let pair = data.get(&decode(&compare["key"])?);
    let order = match compare["target"].as_str().unwrap_or("VERSION") {
        "VERSION" => (pair.version as i64).cmp(&parse_int(&compare["version"])),
        "CREATE" => (pair.create_revision as i64).cmp(&parse_int(&compare["create_revision"])),
        "MOD" => (pair.mod_revision as i64).cmp(&parse_int(&compare["mod_revision"])),
        "LEASE" => pair.lease.cmp(&parse_int(&compare["lease"])),
        "VALUE" => pair.value.cmp(&decode(&compare["value"])?),
        _ => return Err(CallError::invalid_argument("unknown target of a compare")),
    };
    Ok(match compare["result"].as_str().unwrap_or("EQUAL") {
        "EQUAL" => order == Ordering::Equal,
        "GREATER" => order == Ordering::Greater,
        "LESS" => order == Ordering::Less,
        "NOT_EQUAL" => order != Ordering::Equal,
        _ => return Err(CallError::invalid_argument("unknown result of a compare")),
    })
}

pub(super) fn parse_range(body: &Value) -> Result<KeyRange, CallError> {
    Ok(KeyRange {
        start: decode(&body["key"])?,
        end: decode(&body["range_end"])?,
    })
}

/// Adds the response header with the current revision.
pub(super) fn with_header(data: &Data, mut reply: Value) -> Value {
    reply["header"] = json!({
        "cluster_id": "1",
        "member_id": "1",
        "revision": data.revision().to_string(),
        "raft_term": "1",
    });
    reply
}

pub(super) fn change_to_json(change: &Change) -> Value {
    if change.deleted {
        let kv = json!({
            "key": encode(&change.pair.key),
            "mod_revision": change.revision.to_string(),
        });
        return json!({ "type": "DELETE", "kv": kv });
    }
    json!({ "kv": pair_to_json(&change.pair) })
}

fn pair_to_json(pair: &KeyValue) -> Value {
    let mut kv = Map::new();
    kv.insert("key".to_owned(), json!(encode(&pair.key)));
    if !pair.value.is_empty() {
        kv.insert("value".to_owned(), json!(encode(&pair.value)));
    }
    let numbers = [
        ("create_revision", pair.create_revision.to_string()),
        ("mod_revision", pair.mod_revision.to_string()),
        ("version", pair.version.to_string()),
        ("lease", pair.lease.to_string()),
    ];
    for (name, number) in numbers.into_iter().filter(|(_, number)| number != "0") {
        kv.insert(name.to_owned(), json!(number));
    }
    Value::Object(kv)
}

/// Parses an integer that is encoded as a string or as a number; 0 if it is missing or invalid.
pub(super) fn parse_int(value: &Value) -> i64 {
    match value {
        Value::String(text) => text.parse().unwrap_or_default(),
        other => other.as_i64().unwrap_or_default(),
    }
}

fn elements(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn decode(value: &Value) -> Result<Vec<u8>, CallError> {
    let text = value.as_str().unwrap_or_default();
    STANDARD
        .decode(text)
        .map_err(|_error| CallError::invalid_argument("not base64"))
}

fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}
