//! The mix of accounts, prompts and answers that traces are drawn from.

use carob_base::Name;
use carob_config::Account;
use rand::{RngExt, rngs::SmallRng};
use rand_distr::{Distribution, LogNormal};
use smallvec::SmallVec;

/// Longest answer, in tokens.
pub(crate) const LONGEST: u32 = 30_000;
/// Distinct prefixes per account.
const PREFIXES: u32 = 3;

/// One kind of request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Class {
    /// Share of the requests.
    pub part: f64,
    /// Length of the prompt's shared prefix, in tokens.
    pub prefix: u32,
    /// Median length of the rest of the prompt, in tokens.
    pub prompt: f64,
    /// Median length of the answer, in tokens.
    pub answer: f64,
    /// Spread of the answer's logarithm.
    pub spread: f64,
}

/// How an account uses the service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AccountProfile {
    /// Share of the requests.
    pub part: f64,
    /// Length of the answers relative to the mean account's.
    pub length: f64,
}

const fn habit(part: f64, length: f64) -> AccountProfile {
    AccountProfile { part, length }
}

/// The accounts, a few of them large.
pub(crate) const ACCOUNTS: [AccountProfile; 10] = [
    habit(0.30, 1.0),
    habit(0.22, 0.8),
    habit(0.16, 1.3),
    habit(0.08, 1.0),
    habit(0.06, 0.6),
    habit(0.05, 1.2),
    habit(0.05, 1.0),
    habit(0.04, 0.7),
    habit(0.03, 1.5),
    habit(0.01, 1.0),
];

pub(crate) fn account_name(at: usize) -> Name {
    name(&format!("account-{at}"))
}

pub(crate) fn account(at: usize) -> Account {
    Account {
        name: account_name(at),
        key_hash: [at as u8; 32],
        weight: 1,
        max_requests: 10_000,
        services: SmallVec::new(),
    }
}

pub(crate) fn draw_account(random: &mut SmallRng) -> usize {
    let mut left: f64 = random.random_range(0.0..1.0);
    for (at, habit) in ACCOUNTS.iter().enumerate() {
        left -= habit.part;
        if left < 0.0 {
            return at;
        }
    }
    ACCOUNTS.len() - 1
}

/// Draws a request: its class, its prompt's length and its answer's.
pub(crate) fn draw(classes: &[Class; 2], growth: f64, random: &mut SmallRng) -> (usize, u32, u32) {
    let class = usize::from(random.random_range(0.0..1.0) >= classes[0].part);
    let Class {
        prefix,
        prompt,
        answer,
        spread,
        ..
    } = classes[class];
    let prompt = log_normal(prompt, 0.5, random) as u32;
    let answer = (log_normal(answer, spread, random) * growth) as u32;
    (class, prefix + prompt.clamp(1, 8_000), answer.clamp(2, LONGEST))
}

pub(crate) fn log_normal(median: f64, spread: f64, random: &mut SmallRng) -> f64 {
    LogNormal::new(median.ln(), spread)
        .expect("the spread is finite")
        .sample(random)
}

/// The hashes of a prompt's shared prefix: the class's, then one of the account's.
pub(crate) fn prefix(
    account: usize,
    class: usize,
    length: u32,
    random: &mut SmallRng,
) -> SmallVec<[(u64, u32); 4]> {
    let own = random.random_range(0..PREFIXES);
    let hash = 1_000 + (account as u64 * 10 + class as u64) * 10 + u64::from(own);
    SmallVec::from_slice(&[(class as u64 + 1, length / 2), (hash, length)])
}

pub(crate) fn name(text: &str) -> Name {
    Name::new(text).expect("generated names are valid")
}
