//! Requests whose regions change while they wait or run, whatever route or account they belong to by then.

mod fleet;

use std::{
    collections::BTreeSet,
    sync::{Mutex, PoisonError},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use self::Change::{
    Account, AccountGone, Deeper, KeyGone, KeyMoved, NoRoute, OtherHost, OtherPrefix, Renamed, Split, Twice,
};
use carob_platform_standin::{
    Upstream,
    client::{self, Outcome, Request},
    config::{self, Route},
};
use fleet::{CLIENT_KEY, Fleet, LONG, generation_request, wait_until};

/// Interval between two events of a generation, which goes on for longer than a change of the configuration takes.
const EVENT_INTERVAL: Duration = Duration::from_millis(20);
const EVENTS: u64 = 250;

/// Time that plain upstreams work while a configuration changes, and that they work otherwise.
const CHANGE_TIME: Duration = Duration::from_secs(3);
const WORK_TIME: Duration = Duration::from_millis(2);

/// Time between the announcement that an upstream leaves and its end.
const NOTICE: Duration = Duration::from_millis(1_600);

/// Time in which a request is refused that may run nowhere any more.
const REFUSAL: Duration = Duration::from_millis(700);

/// Requests that an upstream with one slot may have.
const BACKLOG: usize = 3;

type Regions = &'static [&'static str];

const ANY: Regions = &[];
const NORTH: Regions = &["north"];
const SOUTH: Regions = &["south"];
/// A region without upstreams.
const WEST: Regions = &["west"];

const PATH: &str = "/w/deep/x";
const PLAIN: Route = Route::new("/w/", "safe", "plain")
    .with_name("w")
    .with_timeout(20_000)
    .with_target_latency(20_000);
const DRAFT: Route = Route::new("/w/", "streaming", "engines")
    .with_name("w")
    .with_timeout(20_000);
const RESUMABLE: Route = DRAFT.with_max_attempts(2).with_resumable();

/// Held by the test whose cases run, since all cases at once are more processes than processors bear.
static TURN: Mutex<()> = Mutex::new(());

/// Routes of other requests, whose regions do not change.
const OTHERS: [Route; 3] = [
    PLAIN
        .with_name("north")
        .with_prefix("/north/")
        .with_anonymous()
        .with_regions(NORTH),
    PLAIN
        .with_name("south")
        .with_prefix("/south/")
        .with_anonymous()
        .with_regions(SOUTH),
    DRAFT.with_name("earn").with_prefix("/earn/").with_anonymous(),
];

/// Routes of a configuration, and the keys and regions of its accounts.
type Config = (Vec<Route>, Vec<(Regions, Regions)>);

const KEYS: Regions = &[CLIENT_KEY];
const OTHER_KEYS: Regions = &["another-key"];

/// What becomes of the route and the account that a request was admitted by, for any region.
#[derive(Clone, Copy, Debug)]
enum Change {
    /// A route with a longer prefix comes beside its own.
    Deeper,
    /// The same in the place of its own.
    Split,
    Renamed,
    /// Its name is that of a route for another host, and another route has its place.
    OtherHost,
    /// The same with another prefix.
    OtherPrefix,
    /// The route goes, and the account is restricted.
    NoRoute,
    /// The account is restricted.
    Account,
    KeyMoved,
    /// The account is restricted, and its key replaced.
    KeyGone,
    /// The account is restricted, and then removed.
    AccountGone,
    /// The route is restricted to the north, and then to what is left.
    Twice,
}

const ALL: [Change; 11] = [
    Deeper,
    Split,
    Renamed,
    OtherHost,
    OtherPrefix,
    NoRoute,
    Account,
    KeyMoved,
    KeyGone,
    AccountGone,
    Twice,
];

impl Change {
    /// Configurations that leave the request with the regions `left`.
    fn later(self, route: &Route, left: Regions) -> Vec<Config> {
        let route = || route.clone();
        let heir = || route().with_name("heir").with_regions(left);
        let free = || vec![(KEYS, ANY)];
        let config = match self {
            Self::Deeper => (vec![route(), heir().with_prefix("/w/deep/")], free()),
            Self::Split => (vec![heir().with_prefix("/w/deep/")], free()),
            Self::Renamed => (vec![heir()], free()),
            Self::OtherHost => {
                let moved = route().with_host("other.example").with_regions(NORTH);
                (vec![moved, heir()], free())
            }
            Self::OtherPrefix => {
                let moved = route().with_prefix("/other/").with_regions(NORTH);
                (vec![moved, heir()], free())
            }
            Self::NoRoute => (vec![], vec![(KEYS, left)]),
            Self::Account => (vec![route()], vec![(KEYS, left)]),
            Self::KeyMoved => (vec![route()], vec![(OTHER_KEYS, ANY), (KEYS, left)]),
            Self::KeyGone => (vec![route()], vec![(OTHER_KEYS, left)]),
            Self::AccountGone => {
                let mut configs = Self::Account.later(&route(), left);
                configs.push((vec![route()], vec![]));
                return configs;
            }
            Self::Twice => {
                let changed = |regions| (vec![route().with_regions(regions)], free());
                return vec![changed(NORTH), changed(left)];
            }
        };
        vec![config]
    }
}

/// A gateway and a request whose regions change.
struct Trial {
    fleet: Fleet,
    route: Route,
    /// Regions that the change leaves.
    left: Regions,
    later: Vec<Config>,
}

impl Trial {
    fn start_plain(&self, domain: &str, id: &str, time: Duration) -> Upstream {
        self.known(self.fleet.start_plain_in(domain, id, time))
    }

    fn start_engine(&self, domain: &str, id: &str) -> Upstream {
        self.known(self.fleet.start_engine_in(domain, id, EVENTS, EVENT_INTERVAL))
    }

    fn known(&self, upstream: Upstream) -> Upstream {
        let text = format!("\"directory entry\",\"upstream\":\"{}\"", upstream.id());
        wait_until("the gateway knows it", || self.fleet.gateways[0].logged(&text));
        upstream
    }

    fn configure(&self, version: usize, (routes, accounts): &Config) {
        let mut config = config::config(version as u64, &[routes, &OTHERS[..]].concat(), &[]);
        config::set_accounts(&mut config, accounts);
        self.fleet.store.put(config::KEY, &config);
        let version = format!("\"version\":{version},");
        wait_until("the configuration is in force", || {
            let lines = self.fleet.gateways[0].log_lines();
            let mut lines = lines.iter();
            lines.any(|line| line.contains("\"configuration in force\"") && line.contains(&version))
        });
    }

    /// Puts the configuration in force that admits the request.
    fn admit(&self) {
        self.configure(1, &(vec![self.route.clone()], vec![(KEYS, ANY)]));
        self.fleet.wait_ready();
    }

    /// Changes the regions of the request. Returns when that was in force.
    fn change(&self) -> Instant {
        for (version, config) in (2..).zip(&self.later) {
            self.configure(version, config);
        }
        let changed = Instant::now();
        thread::sleep(Duration::from_millis(100));
        changed
    }

    /// Lets the gateway repeat requests to a service, by requests to it.
    fn earn_repeats(&self, request: impl Fn(&str) -> Request) {
        for number in 0..10 {
            let earning = request(&format!("earn{number}"));
            assert_eq!(self.fleet.send(0, &earning).status, 200);
        }
    }

    /// Sends a request and returns its client with the time at which it was answered.
    fn send(&self, request: Request) -> JoinHandle<(Outcome, Instant)> {
        let address = self.fleet.gateways[0].caller_address;
        thread::spawn(move || (client::send(address, &request), Instant::now()))
    }

    /// Starts a generation, and then two more engines, one in each region.
    fn start_generation(&self) -> (JoinHandle<(Outcome, Instant)>, [Upstream; 2]) {
        let client = self.send(generation("w", PATH));
        wait_until("it runs", || self.fleet.ledger.run_count("w") == 1);
        let engines = [("a", "n"), ("b", "s")].map(|(domain, id)| self.start_engine(domain, id));
        (client, engines)
    }

    /// Waits until all that is called to stop has ended.
    fn expect_stopped(&self) {
        wait_until("its first run has ended", || {
            self.fleet.gateways[0].logged("\"calls to stop a run have ended\"")
        });
        assert_eq!(self.fleet.ledger.running_engines("w"), 0);
    }

    /// Expects that only `first` and what the regions that are left permit was to run the request or got its memory.
    fn expect_reached(&self, first: Option<&Upstream>, others: &[Upstream]) {
        let arrivals = self.fleet.ledger.arrivals();
        let arrived = arrivals.iter().filter(|arrival| arrival.id == "w");
        let involved = self.fleet.ledger.involved();
        let involved = others.iter().filter(|upstream| {
            involved
                .iter()
                .any(|(id, address)| id == "w" && *address == upstream.address())
        });
        let reached: BTreeSet<&str> = arrived
            .map(|arrival| &*arrival.upstream)
            .chain(involved.map(Upstream::id))
            .collect();
        let left = (self.left == SOUTH).then_some("s");
        let expected: BTreeSet<&str> = first.map(Upstream::id).into_iter().chain(left).collect();
        assert_eq!(reached, expected);
    }
}

fn generation(id: &str, path: &str) -> Request {
    let mut generation = generation_request(id);
    path.clone_into(&mut generation.path);
    generation
}

/// Runs trials of one way on which requests are sent, with all changes that leave the south and with some that leave nothing.
fn expect(way: fn(&Trial), route: &Route, nowhere: &[Change]) {
    let run = |(change, left): (&Change, Regions)| {
        let name = format!("{change:?}, {left:?}");
        let (route, later) = (route.clone(), change.later(route, left));
        let run = thread::spawn(move || {
            let fleet = Fleet::start(1);
            way(&Trial {
                fleet,
                route,
                left,
                later,
            });
        });
        (name, run)
    };
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let cases = ALL.iter().map(|change| (change, SOUTH));
    let cases = cases.chain(nowhere.iter().map(|change| (change, WEST)));
    let runs: Vec<_> = cases.map(run).collect();
    let ended = runs.into_iter().map(|(name, run)| (name, run.join()));
    let failed = ended.filter_map(|(name, ended)| Some((name, ended.err()?.downcast::<String>().ok())));
    let failed: Vec<_> = failed.collect();
    assert!(failed.is_empty(), "{failed:#?}");
}

fn expect_whole(client: JoinHandle<(Outcome, Instant)>) {
    let outcome = client.join().expect("the client ends").0;
    assert_eq!((outcome.status, outcome.complete), (200, true));
    assert_eq!(outcome.events(), (1..=EVENTS).collect::<Vec<_>>());
}

/// A request that waited was sent by the regions of its admission, or waited in vain until its time was over.
#[test]
fn a_request_waits_by_regions_that_are_not_its_own_any_more() {
    let way = |trial: &Trial| {
        // The one in the north has room first.
        let times = [
            ("a", "n", CHANGE_TIME),
            ("b", "s", CHANGE_TIME + Duration::from_secs(1)),
        ];
        let upstreams = times.map(|(domain, id, time)| {
            let upstream = trial.start_plain(domain, id, time);
            upstream.set_room(1, 100);
            upstream
        });
        trial.admit();
        for (path, number) in ["/north/x", "/south/x"]
            .into_iter()
            .flat_map(|path| (0..BACKLOG).map(move |n| (path, n)))
        {
            trial.send(Request::new(&format!("{path}{number}"), "GET", path).with_timeout(LONG));
        }
        wait_until("both are full", || {
            trial.fleet.ledger.arrivals().len() == 2 * BACKLOG
        });
        let client = trial.send(fleet::request("w", "GET", PATH).with_timeout(LONG));
        thread::sleep(Duration::from_millis(200));
        assert!(
            !client.is_finished() && trial.fleet.ledger.run_count("w") == 0,
            "it waits"
        );
        let changed = trial.change();
        let is_sent = || {
            trial
                .fleet
                .ledger
                .arrivals()
                .iter()
                .any(|arrival| arrival.id == "w")
        };
        wait_until("it is sent or refused", || client.is_finished() || is_sent());
        if trial.left == WEST {
            let (outcome, answered) = client.join().expect("the client ends");
            assert_eq!(outcome.status, 503);
            let took = answered - changed;
            assert!(took < REFUSAL, "refused at once: {took:?}");
        }
        trial.expect_reached(None, &upstreams);
    };
    expect(way, &PLAIN, &[Split, NoRoute, KeyMoved, AccountGone]);
}

/// A request whose first upstream broke was repeated by the regions of its admission.
#[test]
fn a_request_is_repeated_where_it_may_not_run_any_more() {
    let way = |trial: &Trial| {
        let home = trial.start_plain("b", "s", WORK_TIME);
        trial.admit();
        trial.earn_repeats(|id| Request::new(id, "GET", "/south/x"));
        let first = trial.start_plain("a", "first", CHANGE_TIME);
        let client = trial.send(fleet::request("w", "GET", PATH).with_timeout(LONG));
        wait_until("it runs", || trial.fleet.ledger.run_count("w") == 1);
        let abroad = trial.start_plain("a", "n", WORK_TIME);
        trial.change();
        first.kill();
        let outcome = client.join().expect("the client ends").0;
        assert_eq!(outcome.status == 200, trial.left == SOUTH, "{}", outcome.status);
        trial.expect_reached(Some(&first), &[home, abroad]);
    };
    expect(way, &PLAIN.with_max_attempts(3), &[KeyGone, AccountGone]);
}

/// A stream that broke off ran on by the regions of its admission.
#[test]
fn a_stream_that_breaks_off_runs_on_by_the_regions_of_its_admission() {
    let way = |trial: &Trial| {
        let first = trial.start_engine("a", "e1");
        trial.admit();
        trial.earn_repeats(|id| generation(id, "/earn/x").with_events(1));
        let (client, others) = trial.start_generation();
        trial.change();
        first.kill();
        expect_whole(client);
        trial.expect_reached(Some(&first), &others);
    };
    expect(way, &RESUMABLE, &[]);
}

/// A generation moved on by the regions of its route's name, or by those of its admission if that name was gone: to the
/// nearest upstream, outside of its regions.
#[test]
fn a_generation_moves_by_the_regions_of_a_route_that_no_longer_matches() {
    let way = |trial: &Trial| {
        let first = trial.start_engine("a", "e1");
        trial.admit();
        let (client, others) = trial.start_generation();
        trial.change();
        thread::sleep(Duration::from_millis(300));
        first.leave(NOTICE);
        expect_whole(client);
        trial.expect_reached(Some(&first), &others);
    };
    expect(way, &DRAFT, &[]);
}

/// A call to stop a run named an upstream for its memory by the regions of its admission.
#[test]
fn a_run_is_stopped_by_the_regions_of_its_admission() {
    let way = |trial: &Trial| {
        let first = trial.start_engine("a", "e1");
        first.set_ignores_close(true);
        trial.admit();
        trial.earn_repeats(|id| generation(id, "/earn/x").with_events(1));
        let (client, others) = trial.start_generation();
        trial.change();
        first.lose_answer("w");
        expect_whole(client);
        trial.expect_stopped();
        trial.expect_reached(Some(&first), &others);
    };
    expect(way, &RESUMABLE, &[]);
}

/// Calls to stop a run went on to name the upstream that they had named before the regions changed.
#[test]
fn a_run_that_cannot_be_called_is_stopped_by_its_earlier_regions() {
    let way = |trial: &Trial| {
        let first = trial.start_engine("a", "e1");
        first.set_ignores_close(true);
        trial.admit();
        trial.earn_repeats(|id| generation(id, "/earn/x").with_events(1));
        let client = trial.send(generation("w", PATH));
        wait_until("it runs", || trial.fleet.ledger.run_count("w") == 1);
        let abroad = trial.start_engine("a", "n");
        first.set_refusing(true);
        first.lose_answer("w");
        // It may still run there, and may end where it is.
        wait_until("it goes on", || trial.fleet.ledger.run_count("w") == 2);
        let _home = trial.start_engine("b", "s");
        trial.change();
        first.set_refusing(false);
        expect_whole(client);
        trial.expect_stopped();
        let involved = trial.fleet.ledger.involved();
        let involved = involved
            .iter()
            .filter(|(id, address)| id == "w" && *address == abroad.address());
        assert_eq!(involved.count(), 1, "memory was copied abroad");
    };
    expect(way, &RESUMABLE, &[]);
}
