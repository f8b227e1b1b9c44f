//! Which failure domains are out of service, while keys come, go, and may be written again.

use carob_gateway::evacuations::Evacuations;

fn in_force(evacuations: &Evacuations) -> Vec<&str> {
    evacuations.in_force().iter().map(|domain| &**domain).collect()
}

/// A failure domain must be back in service as soon as its key is removed, and out of it again with the next one.
#[test]
fn keys_put_domains_out_of_service_and_back() {
    let mut evacuations = Evacuations::new();
    assert!(evacuations.set("a"));
    assert!(!evacuations.set("a"));
    assert!(evacuations.set("b"));
    assert_eq!(in_force(&evacuations), ["a", "b"]);
    assert!(evacuations.remove("a", false));
    assert!(!evacuations.remove("a", false));
    assert_eq!(in_force(&evacuations), ["b"]);
    assert!(evacuations.set("a"));
}

/// A store that has come back from a copy may lack a key for a moment; requests must not go there meanwhile.
#[test]
fn a_key_that_may_be_written_again_stays_in_force() {
    let mut evacuations = Evacuations::new();
    evacuations.set("a");
    evacuations.set("b");
    assert!(!evacuations.remove("a", true));
    assert!(!evacuations.remove("b", true));
    assert!(!evacuations.set("b"), "written again");
    assert_eq!(in_force(&evacuations), ["a", "b"]);
    assert!(evacuations.end_reappearance());
    assert!(!evacuations.end_reappearance());
    assert_eq!(in_force(&evacuations), ["b"]);
}
