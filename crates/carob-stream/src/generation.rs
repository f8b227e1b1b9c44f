//! The identity of one generation, by which foreign events are recognised.

use carob_wire::event::Head;

carob_base::value! {
    /// What identifies one generation. Fields fill in as the engine reveals them and never change afterwards.
    #[derive(Default)]
    pub struct Generation {
        /// Incarnation of the engine, from its response header.
        pub incarnation: Option<u64>,
        /// The engine's id of the answer, from the first event.
        pub answer: Option<String>,
        /// Id of the output item that every piece of text carries.
        pub item: Option<String>,
    }
}

carob_base::plain! {
    /// How an event relates to a generation.
    pub enum Match {
        /// The event carries an id of this generation.
        Same,
        /// The event carries no id.
        Unmarked,
        /// The event belongs to another generation.
        Foreign,
    }
}

impl Generation {
    /// The generation that an authenticated answer id names; `incarnation` 0 means unknown.
    pub fn of_answer(incarnation: u64, answer: impl Into<String>) -> Self {
        Self {
            incarnation: (incarnation != 0).then_some(incarnation),
            answer: Some(answer.into()),
            item: None,
        }
    }

    /// Takes in a response header's incarnation (0 if there is none); false if it is another one.
    pub fn admit(&mut self, incarnation: u64) -> bool {
        if incarnation == 0 {
            return self.incarnation.is_none();
        }
        *self.incarnation.get_or_insert(incarnation) == incarnation
    }

    /// Compares an event with the generation and learns ids that are still unknown.
    pub fn check(&mut self, head: &Head) -> Match {
        let answer = compare(&mut self.answer, head.answer.as_ref());
        let item = compare(&mut self.item, head.item.as_ref());
        match (answer, item) {
            (Match::Foreign, _) | (_, Match::Foreign) => Match::Foreign,
            (Match::Unmarked, Match::Unmarked) => Match::Unmarked,
            _ => Match::Same,
        }
    }
}

fn compare(known: &mut Option<String>, seen: Option<&String>) -> Match {
    let Some(seen) = seen else {
        return Match::Unmarked;
    };
    if known.get_or_insert_with(|| seen.clone()) == seen {
        Match::Same
    } else {
        Match::Foreign
    }
}
