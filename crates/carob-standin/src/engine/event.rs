//! The events of an answer's stream.

use carob_wire::{event, sse};
use serde_json::{Value, json};

use super::generation::{Generation, Status};

/// Type of the event that begins the only output item.
const ITEM_ADDED: &str = "response.output_item.added";
/// Type of the event with the whole text.
const TEXT_DONE: &str = "response.output_text.done";

/// Adds the first two events.
pub(super) fn begin(generation: &mut Generation) {
    let response = response(generation);
    push(generation, event::CREATED, json!({ "response": response }));
    let item =
        json!({ "id": generation.item, "type": "message", "role": "assistant", "status": "in_progress" });
    push(generation, ITEM_ADDED, json!({ "output_index": 0, "item": item }));
}

/// Adds the event of one token.
pub(super) fn delta(generation: &mut Generation, word: &str) {
    let fields = json!({ "item_id": generation.item, "output_index": 0, "content_index": 0, "delta": word });
    push(generation, event::DELTA, fields);
}

/// Adds the last events.
pub(super) fn end(generation: &mut Generation) {
    if generation.status == Status::Completed {
        let fields = json!({
            "item_id": generation.item,
            "output_index": 0,
            "content_index": 0,
            "text": generation.text(),
        });
        push(generation, TEXT_DONE, fields);
    }
    let kind = match generation.status {
        Status::Completed => event::COMPLETED,
        Status::Failed => event::FAILED,
        _ => event::INCOMPLETE,
    };
    let response = response(generation);
    push(generation, kind, json!({ "response": response }));
}

/// The response object as it is now.
pub(super) fn response(generation: &Generation) -> Value {
    let mut response = json!({
        "id": generation.id,
        "object": "response",
        "status": generation.status.as_str(),
        "model": generation.model,
        "output": [],
    });
    if generation.status.is_terminal() {
        let text = json!([{ "type": "output_text", "text": generation.text() }]);
        response["output"] = json!([{
            "id": generation.item,
            "type": "message",
            "role": "assistant",
            "status": generation.status.as_str(),
            "content": text,
        }]);
        let tokens = generation.produced;
        response["usage"] = json!({
            "input_tokens": generation.plan.prompt_tokens,
            "output_tokens": tokens,
            "total_tokens": u64::from(generation.plan.prompt_tokens) + tokens as u64,
        });
    }
    response
}

fn push(generation: &mut Generation, kind: &str, mut fields: Value) {
    fields["type"] = json!(kind);
    fields["sequence_number"] = json!(generation.events.len());
    let framed = sse::encode(kind, fields.to_string().as_bytes());
    generation.events.push(framed);
}
