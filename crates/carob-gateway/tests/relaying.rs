//! Messages about relayed connections say where a request may run, and are understood without that.

use carob_dispatch::{fleet::RelayedRequest, regions::Regions, residence::Residence};
use carob_gateway::relaying::{self, RelayReply, RelayRequest, RelayState};
use prost::Message;

/// A request as builds know it that do not say where it may run.
#[derive(Clone, PartialEq, Eq, Message)]
struct EarlierRequest {
    #[prost(string, tag = "1")]
    sender: String,
    #[prost(fixed64, tag = "2")]
    boot_id: u64,
    #[prost(fixed64, tag = "3")]
    upstream_hash: u64,
    #[prost(bytes = "bytes", tag = "4")]
    request: bytes::Bytes,
    #[prost(bool, tag = "5")]
    is_control: bool,
}

fn earlier() -> EarlierRequest {
    EarlierRequest {
        sender: "10.0.0.1:80".to_owned(),
        boot_id: 7,
        upstream_hash: 9,
        request: "r1".into(),
        is_control: true,
    }
}

fn decode(bytes: &[u8]) -> RelayRequest {
    RelayRequest::decode(bytes).expect("it is well formed")
}

/// Guards against regions that are lost on the way: all, some and none are three different things.
#[test]
fn a_request_arrives_with_its_regions() {
    let names = |names: &[&str]| Regions::only(names.iter().map(|name| Box::from(*name)));
    let lists = [Regions::any(), names(&["a"]), names(&["a", "b"]), names(&[])];
    for route in &lists {
        for account in &lists {
            for key_hash in [None, Some(0), Some(u64::MAX)] {
                let request = RelayedRequest {
                    residence: Residence::with_regions(route.clone(), account.clone(), 12),
                    host: "api.example:80".into(),
                    path: "/read/1".into(),
                    key_hash,
                };
                let sent = decode(&earlier().encode_to_vec()).with_request(&request);
                let bytes = sent.encode_to_vec();
                let received = decode(&bytes);
                assert_eq!((received.request(), &received), (Some(request), &sent));
                let known = EarlierRequest::decode(&bytes[..]).expect("later fields are passed over");
                assert_eq!(known, earlier());
            }
        }
    }
}

/// Guards against requests of earlier builds, or damaged ones, that are taken for unrestricted or forbidden ones.
#[test]
fn a_request_without_regions_says_nothing_of_them() {
    let mut request = decode(&earlier().encode_to_vec());
    assert_eq!(request.request(), None);
    assert_eq!(request.target_hash, None);
    request.target_hash = Some(3);
    assert_eq!(decode(&request.encode_to_vec()), request);
    request.residence = Some(relaying::Residence::default());
    assert_eq!(decode(&request.encode_to_vec()).request(), None);
}

/// Guards against a refusal that an earlier build takes for a connection.
#[test]
fn an_unknown_state_means_that_nothing_is_relayed() {
    let mut reply = RelayReply::default();
    reply.set_state(RelayState::Region);
    let received = RelayReply::decode(&reply.encode_to_vec()[..]).expect("it is well formed");
    assert_eq!(
        (received.state(), received.state().name()),
        (RelayState::Region, "region")
    );
    reply.state = 99;
    let received = RelayReply::decode(&reply.encode_to_vec()[..]).expect("it is well formed");
    assert_eq!(received.state(), RelayState::Unknown);
}
