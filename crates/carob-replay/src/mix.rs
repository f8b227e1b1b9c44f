//! Distributions of client accounts, prompts and answers that synthetic traces are drawn from.

use carob_base::Name;
use carob_config::Account;
use rand::{RngExt, rngs::SmallRng};
use rand_distr::{Distribution, LogNormal};
use smallvec::SmallVec;

/// Maximum length of an answer, in tokens.
pub(crate) const MAX_ANSWER_TOKENS: u32 = 30_000;
/// Number of distinct prefixes per client account and request class.
const PREFIX_VARIANTS: u32 = 3;

/// Class of requests with similar lengths.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestClass {
    /// Share of the requests, from 0 to 1.
    pub share: f64,
    /// Length of the prompt's shared prefix, in tokens.
    pub prefix: u32,
    /// Median length of the prompt after the shared prefix, in tokens.
    pub prompt: f64,
    /// Median length of the answer, in tokens.
    pub answer: f64,
    /// Standard deviation of the natural logarithm of the answer's length.
    pub answer_sigma: f64,
}

/// Traffic profile of a client account.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AccountProfile {
    /// Share of the requests, from 0 to 1.
    pub share: f64,
    /// Length of the answers relative to the average over accounts.
    pub length_factor: f64,
}

const fn profile(share: f64, length_factor: f64) -> AccountProfile {
    AccountProfile { share, length_factor }
}

/// Client accounts; three large ones send 68% of the requests.
pub(crate) const ACCOUNTS: [AccountProfile; 10] = [
    profile(0.30, 1.0),
    profile(0.22, 0.8),
    profile(0.16, 1.3),
    profile(0.08, 1.0),
    profile(0.06, 0.6),
    profile(0.05, 1.2),
    profile(0.05, 1.0),
    profile(0.04, 0.7),
    profile(0.03, 1.5),
    profile(0.01, 1.0),
];

pub(crate) fn account_name(index: usize) -> Name {
    name(&format!("account-{index}"))
}

pub(crate) fn account(index: usize) -> Account {
    Account {
        name: account_name(index),
        key_hash: [index as u8; 32],
        weight: 1,
        max_requests: 10_000,
        services: SmallVec::new(),
    }
}

/// Draws the client account of a request, by the accounts' shares.
pub(crate) fn draw_account(random: &mut SmallRng) -> usize {
    let mut remaining: f64 = random.random_range(0.0..1.0);
    for (index, profile) in ACCOUNTS.iter().enumerate() {
        remaining -= profile.share;
        if remaining < 0.0 {
            return index;
        }
    }
    ACCOUNTS.len() - 1
}

/// Draws a request: its class and the lengths of its prompt and its answer, in tokens. `length_factor` scales
/// the answer.
pub(crate) fn draw_request(
    classes: &[RequestClass; 2],
    length_factor: f64,
    random: &mut SmallRng,
) -> (usize, u32, u32) {
    let class = usize::from(random.random_range(0.0..1.0) >= classes[0].share);
    let RequestClass {
        prefix,
        prompt,
        answer,
        answer_sigma,
        ..
    } = classes[class];
    let prompt = log_normal(prompt, 0.5, random) as u32;
    let answer = (log_normal(answer, answer_sigma, random) * length_factor) as u32;
    (
        class,
        prefix + prompt.clamp(1, 8_000),
        answer.clamp(2, MAX_ANSWER_TOKENS),
    )
}

/// Draws from a log-normal distribution; `sigma` is the standard deviation of the logarithm.
pub(crate) fn log_normal(median: f64, sigma: f64, random: &mut SmallRng) -> f64 {
    LogNormal::new(median.ln(), sigma)
        .expect("the standard deviation is finite")
        .sample(random)
}

/// Hashes and lengths of a prompt's cacheable prefixes: the first half is common to the class, the full one
/// to requests of the same account and class that draw the same one of [`PREFIX_VARIANTS`] prefixes.
pub(crate) fn prefix(
    account: usize,
    class: usize,
    length: u32,
    random: &mut SmallRng,
) -> SmallVec<[(u64, u32); 4]> {
    let variant = random.random_range(0..PREFIX_VARIANTS);
    let hash = 1_000 + (account as u64 * 10 + class as u64) * 10 + u64::from(variant);
    SmallVec::from_slice(&[(class as u64 + 1, length / 2), (hash, length)])
}

pub(crate) fn name(text: &str) -> Name {
    Name::new(text).expect("generated names are valid")
}
