//! Events of an answer's stream, and the response object in them.

use carob_wire::{event, sse};
use serde_json::{Value, json};

use super::generation::{Generation, Status};

/// Type of the event that starts the only output item.
const ITEM_ADDED: &str = "response.output_item.added";
/// Type of the event with the complete text.
const TEXT_DONE: &str = "response.output_text.done";

/// Appends the two events that start the stream.
pub(super) fn push_start(generation: &mut Generation) {
    let response = response(generation);
    push(generation, event::CREATED, json!({ "response": response }));
    let item =
        json!({ "id": generation.item_id, "type": "message", "role": "assistant", "status": "in_progress" });
    push(generation, ITEM_ADDED, json!({ "output_index": 0, "item": item }));
}

/// Appends the event for one token.
pub(super) fn push_delta(generation: &mut Generation, token: &str) {
    let fields =
        json!({ "item_id": generation.item_id, "output_index": 0, "content_index": 0, "delta": token });
    push(generation, event::DELTA, fields);
}

/// Appends the events that end the stream.
pub(super) fn push_end(generation: &mut Generation) {
    if generation.status == Status::Completed {
        let fields = json!({
            "item_id": generation.item_id,
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

/// Returns the current response object. Output and usage are included only once the request has ended.
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
            "id": generation.item_id,
            "type": "message",
            "role": "assistant",
            "status": generation.status.as_str(),
            "content": text,
        }]);
        let tokens = generation.generated;
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
    let encoded = sse::encode(kind, fields.to_string().as_bytes());
    generation.events.push(encoded);
}
