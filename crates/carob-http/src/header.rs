//! Headers of a message.

use smallvec::SmallVec;

carob_base::value! {
    /// Headers in the order in which they were received or added; names are in lower case.
    #[derive(Default)]
    pub struct Headers(SmallVec<[(String, String); 8]>);
}

impl Headers {
    /// Creates an empty list of headers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a header. Names and values that are not valid in HTTP are left out when the message is sent.
    #[must_use]
    pub fn with(mut self, name: &str, value: impl Into<String>) -> Self {
        self.push(name, value);
        self
    }

    /// Adds a header, like [`with`](Self::with).
    pub fn push(&mut self, name: &str, value: impl Into<String>) {
        self.0.push((name.to_ascii_lowercase(), value.into()));
    }

    /// The value of the first header with this name, which is compared without regard to case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value)
    }

    /// Names and values of all headers.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Converts the headers of a received message. Headers whose values are not UTF-8 are left out.
    pub(crate) fn from_map(map: &hyper::HeaderMap) -> Self {
        let pairs = map.iter().filter_map(|(name, value)| {
            let value = std::str::from_utf8(value.as_bytes()).ok()?;
            Some((name.as_str().to_owned(), value.to_owned()))
        });
        Self(pairs.collect())
    }

    /// Adds the valid headers to an outgoing message, except for those that describe its framing and its
    /// connection, which the HTTP library sets.
    pub(crate) fn add_to(&self, map: &mut hyper::HeaderMap) {
        for (name, value) in self.iter() {
            if matches!(name, "content-length" | "transfer-encoding" | "connection") {
                continue;
            }
            let name = hyper::header::HeaderName::from_bytes(name.as_bytes());
            let value = hyper::header::HeaderValue::from_str(value);
            if let (Ok(name), Ok(value)) = (name, value) {
                map.append(name, value);
            }
        }
    }
}
