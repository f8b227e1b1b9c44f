//! The calls in the JSON of etcd's gateway.

use std::{cmp::Ordering, time::Duration};

use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::{Map, Value, json};

use super::data::{Change, Data, Pair, Span};

carob_base::plain! {
    /// A kind of call.
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

/// The call of a path.
pub(super) fn call_of(path: &str) -> Option<Call> {
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

/// A call that is not carried out.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refusal {
    pub(super) status: u16,
    code: u8,
    message: &'static str,
}

impl Refusal {
    const LEASE: Self = Self {
        status: 404,
        code: 5,
        message: "etcdserver: requested lease not found",
    };

    const fn bad(message: &'static str) -> Self {
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

/// Carries out any call but a watch.
pub(super) fn run(data: &mut Data, call: Call, body: &Value) -> Result<Value, Refusal> {
    data.sweep();
    let reply = match call {
        Call::Range => range(data, body)?,
        Call::Put | Call::DeleteRange => {
            let revision = data.begin();
            let (reply, count) = change(data, revision, call, body)?;
            if count > 0 {
                data.commit(revision);
            }
            reply
        }
        Call::Txn => transact(data, body)?,
        Call::Grant => {
            let ttl = number(&body["TTL"]).max(1);
            let id = data.grant(number(&body["ID"]), Duration::from_secs(ttl as u64));
            json!({ "ID": id.to_string(), "TTL": ttl.to_string() })
        }
        Call::KeepAlive => {
            let id = number(&body["ID"]);
            let mut result = json!({ "ID": id.to_string() });
            if let Some(ttl) = data.renew(id) {
                result["TTL"] = json!(ttl.as_secs().to_string());
            }
            return Ok(json!({ "result": with_header(data, result) }));
        }
        Call::Revoke if data.revoke(number(&body["ID"])) => json!({}),
        Call::Revoke => return Err(Refusal::LEASE),
        Call::TimeToLive => time_to_live(data, number(&body["ID"])),
        Call::Watch => return Err(Refusal::bad("a watch is a stream")),
    };
    Ok(with_header(data, reply))
}

fn time_to_live(data: &Data, id: i64) -> Value {
    let Some(lease) = data.lease(id) else {
        return json!({ "ID": id.to_string(), "TTL": "-1" });
    };
    let left = lease.end.saturating_duration_since(std::time::Instant::now());
    let keys: Vec<String> = data.lease_keys(id).iter().map(|key| encode(key)).collect();
    json!({
        "ID": id.to_string(),
        "TTL": left.as_secs().to_string(),
        "grantedTTL": lease.ttl.as_secs().to_string(),
        "keys": keys,
    })
}

fn range(data: &Data, body: &Value) -> Result<Value, Refusal> {
    let pairs = data.range(&span(body)?);
    let limit = number(&body["limit"]);
    let limit = if limit > 0 { limit as usize } else { usize::MAX };
    let mut reply = json!({});
    if pairs.is_empty() {
        return Ok(reply);
    }
    reply["count"] = json!(pairs.len().to_string());
    if pairs.len() > limit {
        reply["more"] = json!(true);
    }
    let kvs: Vec<Value> = pairs.iter().take(limit).map(render).collect();
    reply["kvs"] = Value::Array(kvs);
    Ok(reply)
}

/// Puts or deletes; returns the reply and how many keys changed.
fn change(data: &mut Data, revision: u64, call: Call, body: &Value) -> Result<(Value, u64), Refusal> {
    if call == Call::DeleteRange {
        let count = data.delete(revision, &span(body)?);
        let reply = if count == 0 {
            json!({})
        } else {
            json!({ "deleted": count.to_string() })
        };
        return Ok((reply, count));
    }
    let key = decode(&body["key"])?;
    if key.is_empty() {
        return Err(Refusal::bad("etcdserver: key is not provided"));
    }
    let lease = number(&body["lease"]);
    if lease != 0 && data.lease(lease).is_none() {
        return Err(Refusal::LEASE);
    }
    data.put(revision, &key, decode(&body["value"])?, lease);
    Ok((json!({}), 1))
}

fn transact(data: &mut Data, body: &Value) -> Result<Value, Refusal> {
    let compares = list(&body["compare"]);
    let mut succeeded = true;
    for compare in compares {
        succeeded &= holds(data, compare)?;
    }
    let operations = list(&body[if succeeded { "success" } else { "failure" }]);
    let revision = data.begin();
    let mut changed = 0;
    let mut responses = Vec::new();
    for operation in operations {
        let (response, count) = operate(data, revision, operation)?;
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

fn operate(data: &mut Data, revision: u64, operation: &Value) -> Result<(Value, u64), Refusal> {
    let (name, call) = [
        ("range", Call::Range),
        ("put", Call::Put),
        ("delete_range", Call::DeleteRange),
    ]
    .into_iter()
    .find(|(name, _)| operation.get(format!("request_{name}")).is_some())
    .ok_or(Refusal::bad("unknown operation"))?;
    let body = &operation[format!("request_{name}")];
    let (reply, count) = if call == Call::Range {
        (range(data, body)?, 0)
    } else {
        change(data, revision, call, body)?
    };
    let reply = with_header(data, reply);
    Ok((json!({ format!("response_{name}"): reply }), count))
}

fn holds(data: &Data, compare: &Value) -> Result<bool, Refusal> {
    let pair = data.get(&decode(&compare["key"])?);
    let order = match compare["target"].as_str().unwrap_or("VERSION") {
        "VERSION" => (pair.version as i64).cmp(&number(&compare["version"])),
        "CREATE" => (pair.created as i64).cmp(&number(&compare["create_revision"])),
        "MOD" => (pair.changed as i64).cmp(&number(&compare["mod_revision"])),
        "LEASE" => pair.lease.cmp(&number(&compare["lease"])),
        "VALUE" => pair.value.cmp(&decode(&compare["value"])?),
        _ => return Err(Refusal::bad("unknown target of a compare")),
    };
    Ok(match compare["result"].as_str().unwrap_or("EQUAL") {
        "EQUAL" => order == Ordering::Equal,
        "GREATER" => order == Ordering::Greater,
        "LESS" => order == Ordering::Less,
        "NOT_EQUAL" => order != Ordering::Equal,
        _ => return Err(Refusal::bad("unknown result of a compare")),
    })
}

pub(super) fn span(body: &Value) -> Result<Span, Refusal> {
    Ok(Span {
        from: decode(&body["key"])?,
        to: decode(&body["range_end"])?,
    })
}

pub(super) fn with_header(data: &Data, mut reply: Value) -> Value {
    reply["header"] = json!({
        "cluster_id": "1",
        "member_id": "1",
        "revision": data.revision().to_string(),
        "raft_term": "1",
    });
    reply
}

pub(super) fn render_change(change: &Change) -> Value {
    if change.deleted {
        let kv = json!({
            "key": encode(&change.pair.key),
            "mod_revision": change.revision.to_string(),
        });
        return json!({ "type": "DELETE", "kv": kv });
    }
    json!({ "kv": render(&change.pair) })
}

fn render(pair: &Pair) -> Value {
    let mut kv = Map::new();
    kv.insert("key".to_owned(), json!(encode(&pair.key)));
    if !pair.value.is_empty() {
        kv.insert("value".to_owned(), json!(encode(&pair.value)));
    }
    let numbers = [
        ("create_revision", pair.created.to_string()),
        ("mod_revision", pair.changed.to_string()),
        ("version", pair.version.to_string()),
        ("lease", pair.lease.to_string()),
    ];
    for (name, number) in numbers.into_iter().filter(|(_, number)| number != "0") {
        kv.insert(name.to_owned(), json!(number));
    }
    Value::Object(kv)
}

/// A number that travels as text or as itself; 0 if it is missing.
pub(super) fn number(value: &Value) -> i64 {
    match value {
        Value::String(text) => text.parse().unwrap_or_default(),
        other => other.as_i64().unwrap_or_default(),
    }
}

fn list(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

fn decode(value: &Value) -> Result<Vec<u8>, Refusal> {
    let text = value.as_str().unwrap_or_default();
    STANDARD.decode(text).map_err(|_error| Refusal::bad("not base64"))
}

fn encode(bytes: &[u8]) -> String {
    STANDARD.encode(bytes)
}
