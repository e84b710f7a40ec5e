//! Answers to the calls of other hosts.

use crate::{
    advice_client,
    leader::{HostContext, LeaderSlot},
    peers::{AdviceCall, AdviceReply, Body, LeaderInfo},
};

/// Answers calls from other hosts: what this host knows, what it relays, and what its leader decides.
#[derive(Debug)]
pub struct PeerCalls {
    /// Services of this host.
    pub context: HostContext,
    /// This host's own leader; set during its term.
    pub leader: LeaderSlot,
}

impl PeerCalls {
    /// Answers a call.
    pub async fn answer(&self, body: Body) -> Body {
        match body {
            Body::Advise(call) => Body::AdviceReply(self.query_advice(&call).await),
            Body::GetLeader(_) => Body::LeaderInfo(self.leader_info()),
            Body::Hold(_)
            | Body::Start(_)
            | Body::Stop(_)
            | Body::Pace(_)
            | Body::Payload(_)
            | Body::LateOrders(_) => {
                let relayed = self.context.relay.relay(body).await;
                relayed.unwrap_or(Body::NotHandled(true))
            }
            _ => {
                let own = self.leader.borrow().clone();
                match own {
                    Some(leader) => leader.answer(body).await,
                    None => Body::NotHandled(true),
                }
            }
        }
    }

    async fn query_advice(&self, call: &AdviceCall) -> AdviceReply {
        let Some(address) = self.context.settings.current().advice_address else {
            return AdviceReply::default();
        };
        advice_client::query(&self.context.pool, address, call).await
    }

    fn leader_info(&self) -> LeaderInfo {
        let members = &self.context.members;
        let address = members.leader_address().map(|address| address.to_string());
        LeaderInfo {
            address: address.unwrap_or_default(),
            process: members.own_process_id(),
            leaving: members.is_leaving(),
        }
    }
}
