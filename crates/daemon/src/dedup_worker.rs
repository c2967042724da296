//! Replication of dedup entries from a part's leader to the other members, and their collection by
//! a new leader.

use crate::prelude::*;
use futures_util::{StreamExt, stream::FuturesUnordered};

/// Pause between two rounds of synchronization.
const SYNC_INTERVAL: Duration = Duration::from_millis(25);
/// Longest wait for a member's answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// A part that this instance leads, with the other members that replicate its dedup table.
#[derive(Clone, Debug)]
pub(crate) struct DedupGroup {
    pub(crate) part: PartId,
    /// Term and rank under which this instance leads; the edition is always 0.
    pub(crate) authority: FenceToken,
    pub(crate) other_members: Vec<InstanceId>,
}

/// Authorities of the replica that a member holds.
struct MemberAuthorities {
    id: InstanceId,
    authorities: ReplicaAuthorities,
}

impl DedupGroup {
    /// Group of the led `part`.
    pub(crate) fn of(node: &InstanceNode, part: &LedPart) -> Self {
        let fence = part.fence;
        let record = &part.record;
        Self {
            part: record.id.clone(),
            authority: FenceToken {
                edition: 0,
                ..fence
            },
            other_members: std::iter::once(&record.leader)
                .chain(&record.standbys)
                .filter(|member| **member != node.id)
                .cloned()
                .collect(),
        }
    }
}

/// Collects the entries of newly led parts and sends the entire table to members that lack it.
///
/// Each round also closes connections to servers that have been idle for too long.
pub(crate) async fn run(node: Arc<InstanceNode>) {
    loop {
        let groups: Vec<_> = {
            let led = node.tables.led_parts.lock().unwrap();
            led.values()
                .map(|part| DedupGroup::of(&node, part))
                .collect()
        };
        let work = FuturesUnordered::new();
        for group in &groups {
            work.push(sync(&node, group));
        }
        work.count().await;
        node.servers.close_idle();
        Timer::after(SYNC_INTERVAL).await;
    }
}

/// Collects a part's entries unless that is done or a newer leader has taken over, then sends the
/// entire table to the unsynced members.
async fn sync(node: &Arc<InstanceNode>, group: &DedupGroup) {
    if !node
        .dedup
        .is_collected_or_deposed(&group.part, group.authority)
    {
        collect(node, group).await;
    }
    for member in node
        .dedup
        .unsynced_members(&group.part, &group.other_members)
    {
        if send_full_copy(node, group, &member).await {
            node.dedup
                .mark_synced(&group.part, group.authority, &member);
        }
    }
}

/// Collects the entries that the former members hold, then starts deciding on requests.
pub(crate) async fn collect(node: &Arc<InstanceNode>, group: &DedupGroup) {
    let former = node.tables.former_leadership(&group.part, group.authority);
    let own = MemberAuthorities {
        id: node.id.clone(),
        authorities: node.dedup.raise_fence(&group.part, group.authority),
    };
    let mut responses = vec![own];
    let complete = match &former {
        FormerLeadership::None => true,
        FormerLeadership::Unknown => false,
        FormerLeadership::Known(record) => {
            let members = std::iter::once(&record.leader).chain(&record.standbys);
            let mut pulls: FuturesUnordered<_> = members
                .filter(|member| **member != node.id)
                .map(|member| pull(node, group, member))
                .collect();
            while !is_complete(record, &responses)
                && let Some(authorities) = pulls.next().await
            {
                responses.extend(authorities);
            }
            is_complete(record, &responses)
        }
    };
    if !complete {
        log::warn!(
            "dedup entries of {} are incomplete: refusing earlier request ids",
            group.part
        );
    }
    node.dedup
        .take_over(&group.part, group.authority, complete, unix_time_ms());
}

/// Whether the responses contain every entry made: those of the latest known leader itself, or a
/// full copy of its table from each standby.
fn is_complete(former: &PartRecord, responses: &[MemberAuthorities]) -> bool {
    let first = FenceToken {
        edition: 0,
        ..former.fence()
    };
    let latest = responses
        .iter()
        .flat_map(|member| [member.authorities.led, member.authorities.updated])
        .flatten()
        .fold(first, FenceToken::max);
    let held_by_leader = responses
        .iter()
        .any(|member| member.authorities.led == Some(latest));
    let held_by_standbys = !former.standbys.is_empty()
        && former.standbys.iter().all(|standby| {
            responses
                .iter()
                .any(|member| member.id == *standby && member.authorities.full_copy == Some(latest))
        });
    held_by_leader || held_by_standbys
}

/// Merges all pages of a member's replica; `None` if it did not answer or refused.
async fn pull(
    node: &Arc<InstanceNode>,
    group: &DedupGroup,
    member: &InstanceId,
) -> Option<MemberAuthorities> {
    let address = node.tables.address_of(member)?;
    let mut after = Vec::new();
    loop {
        let call = PeerBody::DedupPull(DedupPullWire {
            part: group.part.to_string(),
            term: group.authority.term,
            rank: group.authority.rank,
            after,
        });
        let reply = node.peers.call(address, call, CALL_TIMEOUT).await;
        let Ok(PeerBody::DedupPage(page)) = reply else {
            return None;
        };
        if !page.accepted {
            return None;
        }
        let authorities = ReplicaAuthorities {
            led: page.led.map(FenceToken::from),
            full_copy: page.full_copy.map(FenceToken::from),
            updated: page.updated.map(FenceToken::from),
        };
        after = page
            .entries
            .last()
            .map(|entry| entry.id.clone())
            .unwrap_or_default();
        let last = DedupRegistry::is_last(&page);
        node.dedup.merge_page(&group.part, page).ok()?;
        if last {
            return Some(MemberAuthorities {
                id: member.clone(),
                authorities,
            });
        }
    }
}

/// Sends the entire table to a member, page by page; true when it has accepted all.
async fn send_full_copy(node: &Arc<InstanceNode>, group: &DedupGroup, member: &InstanceId) -> bool {
    let mut after = None;
    loop {
        let (wire, next) = node
            .dedup
            .full_copy_page(&group.part, group.authority, after);
        let last = wire.completes_copy;
        if !send_update(node, member, wire).await {
            return false;
        }
        if last {
            return true;
        }
        after = next;
    }
}

async fn send_update(node: &Arc<InstanceNode>, member: &InstanceId, wire: DedupUpdateWire) -> bool {
    let Some(address) = node.tables.address_of(member) else {
        return false;
    };
    let call = PeerBody::DedupUpdate(wire);
    matches!(
        node.peers.call(address, call, CALL_TIMEOUT).await,
        Ok(PeerBody::DedupUpdateReply(DedupUpdateReplyWire {
            accepted: true
        }))
    )
}

/// Replicates the entry of a request that is about to run; true once another member has accepted
/// it, or if there is none.
pub(crate) async fn replicate(node: &Arc<InstanceNode>, group: &DedupGroup, id: Uuid) -> bool {
    if group.other_members.is_empty() {
        return true;
    }
    let Some(change) = node.dedup.current_change(&group.part, id) else {
        return false;
    };
    let wire = node
        .dedup
        .update_wire(&group.part, group.authority, &[change]);
    let (sender, results) = async_channel::bounded(group.other_members.len());
    for member in group.other_members.clone() {
        let (node, wire, sender) = (node.clone(), wire.clone(), sender.clone());
        node.pool.clone().spawn(async move {
            let _ = sender.try_send(send_update(&node, &member, wire).await);
        });
    }
    drop(sender);
    while let Ok(accepted) = results.recv().await {
        if accepted {
            return true;
        }
    }
    false
}

/// Sends a change to the other members without waiting for them; a member that misses how a request
/// ended treats it as unclear when it takes over.
pub(crate) fn broadcast(node: &Arc<InstanceNode>, group: &DedupGroup, change: DedupChange) {
    let wire = node
        .dedup
        .update_wire(&group.part, group.authority, &[change]);
    for member in node.tables.members_of(&group.part) {
        if member == node.id {
            continue;
        }
        let (node, wire) = (node.clone(), wire.clone());
        node.pool.clone().spawn(async move {
            send_update(&node, &member, wire).await;
        });
    }
}

/// Milliseconds since the Unix epoch.
pub(crate) fn unix_time_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

#[cfg(test)]
mod dedup_worker_tests;
