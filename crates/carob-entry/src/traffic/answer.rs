//! Ids under which callers resume and cancel answers.

use carob_base::Name;
use carob_stream::Generation;
use carob_wire::answer::AnswerId;

use crate::shared::Shared;

/// The id under which the caller of `account` can resume or cancel the generation at `upstream`.
pub fn id_of(shared: &Shared, account: &Name, upstream: &Name, generation: &Generation) -> String {
    let answer = AnswerId {
        upstream: upstream.to_string(),
        incarnation: generation.incarnation.unwrap_or_default(),
        engine_id: generation.answer_id.clone().unwrap_or_default(),
        account: account.to_string(),
    };
    answer.encode(&shared.options.answer_key)
}
