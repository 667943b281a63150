//! Finds out when the terms of former leaders have ended.
//!
//! A leader that does not know yet that it was superseded may still send orders. A new leader asks
//! the hosts of all former terms whose orders may still have an effect, until each has answered.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use crate::clock;
use crate::queue::control::ControlInput;
use crate::queue::host_state::HostState;
use crate::queue::peer;
use crate::queue::record::LeaderRecord;
use crate::queue::scheduler::Event;

/// Pause before a former leader is asked again, in milliseconds.
const QUERY_GAP_MS: u64 = 200;

/// Time for which a former leader is asked, in milliseconds. Its orders have certainly lost their
/// effect by then.
const QUERY_MS: u64 = 12_000;

/// Asks all former leaders at once; each end of a term is sent to the control loop.
pub async fn await_ends(
    shared: Arc<HostState>,
    inputs: async_channel::Sender<ControlInput>,
    former_leaders: Vec<LeaderRecord>,
) {
    let queries: Vec<_> = former_leaders
        .into_iter()
        .map(|former| task::spawn(await_end(Arc::clone(&shared), inputs.clone(), former)))
        .collect();
    for query in queries {
        query.await;
    }
}

/// Asks one former leader until its term has ended or this one has.
async fn await_end(
    shared: Arc<HostState>,
    inputs: async_channel::Sender<ControlInput>,
    former: LeaderRecord,
) {
    let ends_ms = clock::now_ms() + QUERY_MS;
    while !inputs.is_closed() && clock::now_ms() < ends_ms {
        let ordered_ms = if shared.is_this_host(&former) {
            shared.ordered_until_ms(former.nonce)
        } else {
            // A host that is down or cut off is asked again.
            peer::query_term(&shared, &former).await.ok().flatten()
        };
        if let Some(ordered_ms) = ordered_ms {
            let ended = Event::FormerTermEnded { nonce: former.nonce, ordered_ms };
            // A closed channel means that this term has ended.
            let _ = inputs.send(ControlInput::Event(ended)).await;
            return;
        }
        task::sleep(Duration::from_millis(QUERY_GAP_MS)).await;
    }
}
