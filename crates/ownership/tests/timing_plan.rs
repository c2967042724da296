//! Which combinations of times are refused.

use {geraniummast_ownership::TimingPlan, std::time::Duration};

#[test]
fn the_default_plan_has_no_findings() {
    assert_eq!(TimingPlan::default().findings(), Vec::<String>::new());
}

#[test]
fn each_broken_order_is_found_and_names_its_settings() {
    let ms = Duration::from_millis;
    type Change = fn(&mut TimingPlan, Duration);
    let cases: [(&str, Change, Duration); 6] = [
        ("heartbeat-ms", |plan, span| plan.heartbeat = span, ms(101)),
        ("grant-ms", |plan, span| plan.grant = span, ms(301)),
        (
            "grant-renewal-ms",
            |plan, span| plan.grant_renewal = span,
            ms(101),
        ),
        ("suspicion-ms", |plan, span| plan.suspicion = span, ms(301)),
        (
            "server-suspicion-ms",
            |plan, span| plan.server_suspicion = span,
            ms(159),
        ),
        ("more than 0", |plan, span| plan.heartbeat = span, ms(0)),
    ];
    for (setting, change, span) in cases {
        let mut plan = TimingPlan::default();
        change(&mut plan, span);
        let findings = plan.findings();
        assert_eq!(findings.len(), 1, "{setting}: {findings:?}");
        assert!(findings[0].contains(setting), "{findings:?}");
    }
}
