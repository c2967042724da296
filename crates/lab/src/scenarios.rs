//! All scenarios, each in a file of its own.

use crate::prelude::*;

mod cold_start;
mod config_storm;
mod drain;
mod hot_key;
mod hot_key_move;
mod instance_loss;
mod instance_pause;
mod lagging_watch;
mod late_answers;
mod lying_health;
mod one_greedy_caller;
mod overload;
mod partition;
mod preset_during_outage;
mod preset_race;
mod rebalance;
mod repeat_after_instance_loss;
mod repeat_elsewhere;
mod restart_on_old_copy;
mod rolling_restart;
mod server_freeze;
mod server_loss;
mod shedding_server;
mod silent_connection;
mod slow_server;
mod steady;
mod store_lost_answer;
mod store_outage;
mod store_outage_instance_loss;
mod store_outage_server_loss;
mod unchecked_server;
mod watcher_loss;

/// Scenarios that also have a baseline without instances.
const BASELINES: [fn() -> ScenarioPlan; 4] = [
    steady::plan,
    hot_key::plan,
    hot_key_move::plan,
    overload::plan,
];
/// Numbers of instances of the `scale` scenarios.
const SCALES: [usize; 5] = [4, 8, 16, 32, 64];

/// Returns all scenarios, the most important ones first.
pub(crate) fn all() -> Vec<ScenarioPlan> {
    let plans = [
        server_loss::plan,
        instance_loss::plan,
        store_outage::plan,
        server_freeze::plan,
        instance_pause::plan,
        store_lost_answer::plan,
        partition::plan,
        unchecked_server::plan,
        rolling_restart::plan,
        rebalance::plan,
        store_outage_instance_loss::plan,
        store_outage_server_loss::plan,
        steady::plan,
        hot_key::plan,
        overload::plan,
        silent_connection::plan,
        repeat_elsewhere::plan,
        repeat_after_instance_loss::plan,
        drain::plan,
        slow_server::plan,
        shedding_server::plan,
        lying_health::plan,
        cold_start::plan,
        late_answers::plan,
        one_greedy_caller::plan,
        hot_key_move::plan,
        preset_race::plan,
        preset_during_outage::plan,
        watcher_loss::plan,
        lagging_watch::plan,
        restart_on_old_copy::plan,
        config_storm::plan,
    ];
    let mut all: Vec<_> = plans.into_iter().map(|plan| plan()).collect();
    all.extend(BASELINES.iter().map(|plan| plan().baseline()));
    all.extend(SCALES.map(scale));
    all
}

/// Scenario that measures the cost of `instances` without load, with a change of configuration
/// each second.
fn scale(instances: usize) -> ScenarioPlan {
    let mut plan = ScenarioPlan::new(&format!("scale-{instances}"))
        .load(0, 0.0)
        .with_links();
    plan.cluster.instances = instances;
    plan.cluster.workers = 1;
    for (second, preset) in ["peak", "ordinary", "peak", "ordinary"].iter().enumerate() {
        plan = plan.at(
            2_500 + 1_000 * second as u64,
            FaultEvent::SwitchPreset(preset),
        );
    }
    plan
}
