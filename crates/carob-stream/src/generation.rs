//! The identity of one generation, by which foreign events are recognised.

use carob_wire::event::Head;

carob_base::value! {
    /// What identifies one generation. Fields fill in as the engine reveals them and never change afterwards.
    #[derive(Default)]
    pub struct Generation {
        /// Incarnation of the engine, from its response header.
        pub incarnation: Option<u64>,
        /// The engine's id of the answer, from the first event.
        pub answer_id: Option<String>,
        /// Id of the output item that every piece of text carries.
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
    /// The generation that an authenticated answer id names; `incarnation` 0 means unknown.
    pub fn from_answer_id(incarnation: u64, answer: impl Into<String>) -> Self {
        Self {
            incarnation: (incarnation != 0).then_some(incarnation),
            answer_id: Some(answer.into()),
            item_id: None,
        }
    }

    /// Takes in a response header's incarnation (0 if there is none); false if it is another one.
    pub fn check_incarnation(&mut self, incarnation: u64) -> bool {
        if incarnation == 0 {
            return self.incarnation.is_none();
        }
        *self.incarnation.get_or_insert(incarnation) == incarnation
    }

    /// Compares an event with the generation and learns ids that are still unknown, unless it is foreign.
    pub fn check_event(&mut self, head: &Head) -> Match {
        let answer = compare(self.answer_id.as_ref(), head.answer.as_ref());
        let item = compare(self.item_id.as_ref(), head.item.as_ref());
        let relation = match (answer, item) {
            (Match::Foreign, _) | (_, Match::Foreign) => return Match::Foreign,
            (Match::Unidentified, Match::Unidentified) => Match::Unidentified,
            _ => Match::Same,
        };
        self.answer_id = self.answer_id.take().or_else(|| head.answer.clone());
        self.item_id = self.item_id.take().or_else(|| head.item.clone());
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
