//! The identity of one generation, by which events of other generations are detected.

use carob_wire::event::Head;

carob_base::value! {
    /// Identity of one generation. Each field is set once, when the engine reveals it.
    #[derive(Default)]
    pub struct Generation {
        /// Incarnation of the engine, from its response header.
        pub incarnation: Option<u64>,
        /// The engine's id of the answer, from the first event.
        pub answer_id: Option<String>,
        /// Id of the output item, which every text delta carries.
        pub item_id: Option<String>,
    }
}

carob_base::plain! {
    /// How an event relates to a generation.
    pub enum Match {
        /// The event carries an id of this generation.
        Same,
        /// The event carries no id.
        Unidentified,
        /// The event belongs to another generation.
        Foreign,
    }
}

impl Generation {
    /// The generation that an authenticated answer id identifies; `incarnation` is 0 if unknown.
    pub fn from_answer_id(incarnation: u64, answer_id: impl Into<String>) -> Self {
        Self {
            incarnation: (incarnation != 0).then_some(incarnation),
            answer_id: Some(answer_id.into()),
            item_id: None,
        }
    }

    /// Compares the incarnation in a response header, 0 if absent, with the known one; the first one present
    /// is stored. Returns false on a mismatch, which includes an absent header once the incarnation is known.
    pub fn check_incarnation(&mut self, incarnation: u64) -> bool {
        if incarnation == 0 {
            return self.incarnation.is_none();
        }
        *self.incarnation.get_or_insert(incarnation) == incarnation
    }

    /// Compares the ids in an event with those of the generation. Ids that were unknown are stored unless the
    /// event is foreign.
    pub fn check_event(&mut self, head: &Head) -> Match {
        let answer = compare(self.answer_id.as_ref(), head.answer_id.as_ref());
        let item = compare(self.item_id.as_ref(), head.item_id.as_ref());
        let relation = match (answer, item) {
            (Match::Foreign, _) | (_, Match::Foreign) => return Match::Foreign,
            (Match::Unidentified, Match::Unidentified) => Match::Unidentified,
            _ => Match::Same,
        };
        self.answer_id = self.answer_id.take().or_else(|| head.answer_id.clone());
        self.item_id = self.item_id.take().or_else(|| head.item_id.clone());
        relation
    }
}

fn compare(known: Option<&String>, seen: Option<&String>) -> Match {
    match (known, seen) {
        (_, None) => Match::Unidentified,
        (Some(known), Some(seen)) if known != seen => Match::Foreign,
        (_, Some(_)) => Match::Same,
    }
}
