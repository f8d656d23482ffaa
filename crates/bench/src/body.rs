//! Bodies that tell a stand-in what to do, with the answer that it must give.

use balsamchute_base::prelude::*;
use balsamchute_inventory::config::Kind;
use balsamchute_standin::prompt::Prompt;

/// Returns the body of a call and the answer to it. The answer holds `id`, so
/// that no two calls have the same one.
#[must_use]
pub fn make(kind: Kind, id: &str, cost: Cost) -> (Vec<u8>, String) {
    match kind {
        Kind::Engine => {
            let prompt = Prompt::new(cost.0).with_text(id);
            let answer = (0..cost.0).map(|index| prompt.token(index)).collect();
            (prompt.to_body().into_bytes(), answer)
        }
        Kind::Plain => {
            let prompt = Prompt::call(cost.0).with_text(id);
            (prompt.to_body().into_bytes(), prompt.answer())
        }
    }
}
