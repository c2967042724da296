//! Carrying of notes between a part's leader, its standbys and its successor.

use crate::prelude::*;
use futures_util::{StreamExt, stream::FuturesUnordered};

/// Pause between two looks at the parts that this instance leads.
const SYNC_INTERVAL: Duration = Duration::from_millis(25);
/// Longest wait for a standby's answer.
const CALL_TIMEOUT: Duration = Duration::from_millis(150);

/// A part that this instance leads, with those that hold its notes.
#[derive(Clone, Debug)]
pub(crate) struct DedupGroup {
    pub(crate) part: PartId,
    pub(crate) authority: FenceToken,
    /// Other members of the trio.
    pub(crate) trio: Vec<InstanceId>,
}

/// What a member of the former trio holds.
struct MemberMarks {
    id: InstanceId,
    marks: ReplicaAuthorities,
}

impl DedupGroup {
    /// Lead of `part`.
    pub(crate) fn of(node: &InstanceNode, part: &LedPart) -> Self {
        let fence = part.fence;
        let record = &part.record;
        Self {
            part: record.id.clone(),
            authority: FenceToken {
                edition: 0,
                ..fence
            },
            trio: std::iter::once(&record.leader)
                .chain(&record.standbys)
                .filter(|member| **member != node.id)
                .cloned()
                .collect(),
        }
    }
}

/// Collects the notes of newly led parts and brings their standbys up to date.
pub(crate) async fn run(node: Arc<InstanceNode>) {
    loop {
        let leads: Vec<_> = {
            let led = node.tables.led_parts.lock().unwrap();
            led.values()
                .map(|part| DedupGroup::of(&node, part))
                .collect()
        };
        let work = FuturesUnordered::new();
        for lead in &leads {
            work.push(sync(&node, lead));
        }
        work.count().await;
        node.servers.close_idle();
        Timer::after(SYNC_INTERVAL).await;
    }
}

async fn sync(node: &Arc<InstanceNode>, lead: &DedupGroup) {
    if !node.dedup.leads(&lead.part, lead.authority) {
        collect(node, lead).await;
    }
    for member in node.dedup.untold(&lead.part, &lead.trio) {
        if send_whole(node, lead, &member).await {
            node.dedup.told(&lead.part, lead.authority, &member);
        }
    }
}

/// Collects the notes of the former trio and begins to decide on requests.
pub(crate) async fn collect(node: &Arc<InstanceNode>, lead: &DedupGroup) {
    let former = node.tables.former_leadership(&lead.part, lead.authority);
    let me = MemberMarks {
        id: node.id.clone(),
        marks: node.dedup.fence(&lead.part, lead.authority),
    };
    let mut heard = vec![me];
    let complete = match &former {
        FormerLeadership::None => true,
        FormerLeadership::Unknown => false,
        FormerLeadership::Known(record) => {
            let members = std::iter::once(&record.leader).chain(&record.standbys);
            let mut pulls: FuturesUnordered<_> = members
                .filter(|member| **member != node.id)
                .map(|member| pull(node, lead, member))
                .collect();
            while !is_complete(record, &heard)
                && let Some(marks) = pulls.next().await
            {
                heard.extend(marks);
            }
            is_complete(record, &heard)
        }
    };
    if !complete {
        log::warn!(
            "notes of {} are incomplete: earlier ids are forgotten",
            lead.part
        );
    }
    node.dedup
        .take_over(&lead.part, lead.authority, complete, wall_ms());
}

/// Whether the former leader, or each of its standbys, holds every note made.
fn is_complete(former: &PartRecord, heard: &[MemberMarks]) -> bool {
    let first = FenceToken {
        edition: 0,
        ..former.fence()
    };
    let latest = heard
        .iter()
        .flat_map(|member| [member.marks.led, member.marks.noted])
        .flatten()
        .fold(first, FenceToken::max);
    let held_by_leader = heard.iter().any(|member| member.marks.led == Some(latest));
    let held_by_standbys = !former.standbys.is_empty()
        && former.standbys.iter().all(|standby| {
            heard
                .iter()
                .any(|member| member.id == *standby && member.marks.whole == Some(latest))
        });
    held_by_leader || held_by_standbys
}

async fn pull(
    node: &Arc<InstanceNode>,
    lead: &DedupGroup,
    member: &InstanceId,
) -> Option<MemberMarks> {
    let address = node.tables.address_of(member)?;
    let mut after = Vec::new();
    loop {
        let call = PeerBody::DedupPull(DedupPullWire {
            part: lead.part.to_string(),
            term: lead.authority.term,
            rank: lead.authority.rank,
            after,
        });
        let reply = node.peers.call(address, call, CALL_TIMEOUT).await;
        let Ok(PeerBody::DedupPage(page)) = reply else {
            return None;
        };
        if !page.accepted {
            return None;
        }
        let marks = ReplicaAuthorities {
            led: page.led.map(FenceToken::from),
            whole: page.whole.map(FenceToken::from),
            noted: page.noted.map(FenceToken::from),
        };
        after = page
            .entries
            .last()
            .map(|entry| entry.id.clone())
            .unwrap_or_default();
        let last = DedupRegistry::is_last(&page);
        node.dedup.learn(&lead.part, page).ok()?;
        if last {
            return Some(MemberMarks {
                id: member.clone(),
                marks,
            });
        }
    }
}

async fn send_whole(node: &Arc<InstanceNode>, lead: &DedupGroup, member: &InstanceId) -> bool {
    let mut after = None;
    loop {
        let (wire, next) = node.dedup.page(&lead.part, lead.authority, after);
        let last = wire.whole;
        if !send(node, member, wire).await {
            return false;
        }
        if last {
            return true;
        }
        after = next;
    }
}

async fn send(node: &Arc<InstanceNode>, member: &InstanceId, wire: DedupUpdateWire) -> bool {
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

/// Notes a request that is about to run; true once a member of the trio holds the note.
pub(crate) async fn note(node: &Arc<InstanceNode>, lead: &DedupGroup, id: Uuid) -> bool {
    if lead.trio.is_empty() {
        return true;
    }
    let Some(change) = node.dedup.change_of(&lead.part, id) else {
        return false;
    };
    let wire = node.dedup.wire(&lead.part, lead.authority, &[change]);
    let (report, reports) = async_channel::bounded(lead.trio.len());
    for member in lead.trio.clone() {
        let (node, wire, report) = (node.clone(), wire.clone(), report.clone());
        node.pool.clone().spawn(async move {
            let _ = report.try_send(send(&node, &member, wire).await);
        });
    }
    drop(report);
    while let Ok(accepted) = reports.recv().await {
        if accepted {
            return true;
        }
    }
    false
}

/// Tells the trio how a request ended; a lost report leaves the request unclear there.
pub(crate) fn tell(node: &Arc<InstanceNode>, lead: &DedupGroup, change: DedupChange) {
    let wire = node.dedup.wire(&lead.part, lead.authority, &[change]);
    for member in node.tables.members_of(&lead.part) {
        if member == node.id {
            continue;
        }
        let (node, wire) = (node.clone(), wire.clone());
        node.pool.clone().spawn(async move {
            send(&node, &member, wire).await;
        });
    }
}

/// Milliseconds since the Unix epoch.
pub(crate) fn wall_ms() -> u64 {
    std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

#[cfg(test)]
mod dedup_worker_tests;
